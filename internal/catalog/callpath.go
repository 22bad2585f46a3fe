package catalog

import (
	"net/url"
	"path"
	"strings"
)

// CallPath is the path of a service call, query included, as declarations are
// matched against it: decoded and without parameters of its elements, as
// services read it. Matched as written, "/%63onfirm" or "/confirm;x" would pass
// for a call that may be repeated. False: the path is not absolute, or has
// elements that a service may resolve to another one.
func CallPath(target string) (string, bool) {
	escaped, _, _ := strings.Cut(target, "?")
	decoded, err := url.PathUnescape(escaped)
	if err != nil || !strings.HasPrefix(decoded, "/") {
		return "", false
	}
	if cleaned := path.Clean(decoded); decoded != cleaned && decoded != cleaned+"/" {
		return "", false
	}
	elements := strings.Split(decoded, "/")
	for i, element := range elements {
		elements[i], _, _ = strings.Cut(element, ";")
	}
	return strings.Join(elements, "/"), true
}
