package settings

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// Setting describes a setting for the operators' documentation.
type Setting struct {
	// Key is the dotted TOML key.
	Key     string
	Unit    string
	Default string
	// Rule is the validation rule of the value.
	Rule string
	Doc  string
}

// Describe returns the settings of a struct that holds the defaults, in the order
// of its fields. Fields without a toml tag are not settings.
func Describe(defaults any) []Setting {
	return describe("", reflect.Indirect(reflect.ValueOf(defaults)))
}

func describe(table string, value reflect.Value) []Setting {
	var entries []Setting
	for i := range value.NumField() {
		field := value.Type().Field(i)
		name := strings.Split(field.Tag.Get("toml"), ",")[0]
		if name == "" || name == "-" {
			continue
		}
		key := strings.TrimPrefix(table+"."+name, ".")
		if field.Type.Kind() == reflect.Struct {
			entries = append(entries, describe(key, value.Field(i))...)
			continue
		}
		entries = append(entries, Setting{
			Key: key, Unit: field.Tag.Get("unit"), Default: defaultText(value.Field(i)),
			Rule: field.Tag.Get("validate"), Doc: field.Tag.Get("doc"),
		})
	}
	return entries
}

func defaultText(value reflect.Value) string {
	if d, ok := value.Interface().(time.Duration); ok {
		return d.String()
	}
	if value.IsZero() && value.Kind() != reflect.Int && value.Kind() != reflect.Bool {
		return ""
	}
	return fmt.Sprint(value.Interface())
}
