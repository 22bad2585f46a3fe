package catalog

import (
	"net/url"
	"path"
	"strings"
)

// CallPath returns the normalized path of a service call's target, to be matched
// against declarations: without query, percent-decoded, and without parameters
// (";...") of path elements. Otherwise "/%63onfirm" or "/confirm;x" would not match
// a declared "/confirm" and would count as repeatable. It returns false if the
// path is not absolute, can't be decoded, or is not clean, that is, contains
// "//", "." or ".." elements that services may resolve differently.
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
