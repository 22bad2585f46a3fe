package settings

import (
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"
)

var durationType = reflect.TypeFor[time.Duration]()

// expandDurations replaces durations written as strings ("250ms", "1m30s") by their
// number of nanoseconds, where the target's field is a time.Duration, because the
// decoder accepts only numbers there. Line numbers do not change. A string that is
// not a duration is left to the decoder, which rejects it.
func expandDurations(text []byte, target any) []byte {
	type replacement struct {
		from, to int
		value    string
	}
	var found []replacement
	table := []string{}
	parser := unstable.Parser{}
	parser.Reset(text)
	for parser.NextExpression() {
		node := parser.Expression()
		key := joinKey(node.Key())
		if node.Kind == unstable.Table || node.Kind == unstable.ArrayTable {
			table = strings.Split(key, ".")
			continue
		}
		if node.Kind != unstable.KeyValue || node.Value().Kind != unstable.String {
			continue
		}
		path := append(append([]string{}, table...), strings.Split(key, ".")...)
		if fieldType(reflect.TypeOf(target), path) != durationType {
			continue
		}
		value := node.Value()
		if d, err := time.ParseDuration(string(value.Data)); err == nil {
			from := int(value.Raw.Offset)
			found = append(found, replacement{from, from + int(value.Raw.Length), strconv.FormatInt(int64(d), 10)})
		}
	}
	expanded := append([]byte{}, text...)
	for i := len(found) - 1; i >= 0; i-- {
		r := found[i]
		expanded = append(expanded[:r.from:r.from], append([]byte(r.value), expanded[r.to:]...)...)
	}
	return expanded
}

// fieldType returns the type of the field that the TOML keys lead to, nil if there
// is no such field.
func fieldType(at reflect.Type, path []string) reflect.Type {
	for at != nil && at.Kind() == reflect.Pointer {
		at = at.Elem()
	}
	if len(path) == 0 || at == nil {
		return at
	}
	if at.Kind() != reflect.Struct {
		return nil
	}
	for i := range at.NumField() {
		field := at.Field(i)
		if strings.Split(field.Tag.Get("toml"), ",")[0] == path[0] {
			return fieldType(field.Type, path[1:])
		}
	}
	return nil
}
