// Package settings reads TOML settings into a struct and validates them. It reports
// all errors of a file together, with file and line. Each binary declares its own
// struct with defaults.
//
// Struct tags: `toml` is the key, `validate` a go-playground/validator rule, `unit`
// and `doc` are used in the operators' documentation.
package settings

import (
	"bytes"
	"errors"
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/findings"
)

// Load reads the file into target, a pointer to a struct that holds the defaults,
// and validates it. The error is a *findings.Error if the content is invalid.
func Load(file string, target any) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrapf(err, "read settings %s", file)
	}
	return Parse(file, text, target)
}

// Parse is like Load for text that is already read. file is used in findings only.
func Parse(file string, text []byte, target any) error {
	lines := Lines(text)
	found := decode(file, text, target)
	if len(found) == 0 {
		found = append(found, validate(file, lines, target)...)
	}
	found.Sort()
	return found.Err()
}

func decode(file string, text []byte, target any) findings.List {
	var found findings.List
	decoder := toml.NewDecoder(bytes.NewReader(expandDurations(text, target)))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	var strict *toml.StrictMissingError
	var syntax *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &strict):
		for _, e := range strict.Errors {
			line, _ := e.Position()
			found.AddAt(file, line, strings.Join(e.Key(), "."), "unknown setting")
		}
	case errors.As(err, &syntax):
		line, _ := syntax.Position()
		found.AddAt(file, line, strings.Join(syntax.Key(), "."), "%s", syntax.Error())
	default:
		found.AddAt(file, 0, "", "%s", err.Error())
	}
	return found
}

func validate(file string, lines map[string]int, target any) findings.List {
	var found findings.List
	checker := newValidator()
	checker.RegisterTagNameFunc(func(f reflect.StructField) string {
		return strings.Split(f.Tag.Get("toml"), ",")[0]
	})
	err := checker.Struct(target)
	var invalid validator.ValidationErrors
	if err != nil && !errors.As(err, &invalid) {
		found.AddAt(file, 0, "", "%s", err.Error())
		return found
	}
	for _, field := range invalid {
		_, path, _ := strings.Cut(field.Namespace(), ".")
		rule := field.Tag()
		if field.Param() != "" {
			rule += "=" + field.Param()
		}
		found.AddAt(file, lineOf(lines, path), path, "value %v breaks the rule %s", field.Value(), rule)
	}
	return found
}

// LineOf returns the line of a key, given the result of Lines, or the line of the
// innermost table around it; 0 if there is none.
func LineOf(lines map[string]int, path string) int { return lineOf(lines, path) }

// newValidator returns a validator with the additional rule ip_port: an IP address
// with a port, which may be 0.
func newValidator() *validator.Validate {
	checker := validator.New(validator.WithRequiredStructEnabled())
	err := checker.RegisterValidation("ip_port", func(level validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(level.Field().String())
		return err == nil
	})
	if err != nil {
		panic(err) // Fails only if the name of the rule is invalid.
	}
	return checker
}

// lineOf implements LineOf.
func lineOf(lines map[string]int, path string) int {
	for path != "" {
		if line, ok := lines[path]; ok {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return 0
		}
		path = path[:cut]
	}
	return 0
}

// Lines maps each dotted key of a TOML text to its line, counted from 1. Elements of
// an array of tables are written name[0], name[1] and so on. If the text has a syntax
// error, only the keys before it are returned.
func Lines(text []byte) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{}
	table := ""
	parser := unstable.Parser{}
	parser.Reset(text)
	for parser.NextExpression() {
		node := parser.Expression()
		key := joinKey(node.Key())
		switch node.Kind {
		case unstable.Table:
			table = indexed(counts, key)
			lines[table] = keyLine(&parser, node)
		case unstable.ArrayTable:
			parent := indexed(counts, parentOf(key))
			full := strings.TrimPrefix(parent+"."+lastOf(key), ".")
			table = full + "[" + strconv.Itoa(counts[full]) + "]"
			counts[full]++
			lines[table] = keyLine(&parser, node)
		case unstable.KeyValue:
			lines[strings.TrimPrefix(table+"."+key, ".")] = keyLine(&parser, node)
		}
	}
	return lines
}

// indexed returns the dotted key with the index of the current element added to each
// array of tables in it.
func indexed(counts map[string]int, key string) string {
	if key == "" {
		return ""
	}
	full := ""
	for _, part := range strings.Split(key, ".") {
		full = strings.TrimPrefix(full+"."+part, ".")
		if n := counts[full]; n > 0 {
			full += "[" + strconv.Itoa(n-1) + "]"
		}
	}
	return full
}

func parentOf(key string) string {
	if cut := strings.LastIndex(key, "."); cut >= 0 {
		return key[:cut]
	}
	return ""
}

func lastOf(key string) string {
	return key[strings.LastIndex(key, ".")+1:]
}

func joinKey(it unstable.Iterator) string {
	var parts []string
	for it.Next() {
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, ".")
}

func keyLine(parser *unstable.Parser, node *unstable.Node) int {
	it := node.Key()
	if !it.Next() {
		return 0
	}
	return parser.Shape(it.Node().Raw).Start.Line
}
