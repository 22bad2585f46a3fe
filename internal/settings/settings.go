// Package settings reads a process's TOML settings into a typed struct and
// checks them. All findings of a file come in one report with file and line.
// It knows no process: each binary declares its own struct with defaults.
//
// Struct tags: `toml` names the key, `validate` is a go-playground/validator
// rule, `unit` and `doc` feed the operators' page.
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

// Load fills target, a pointer to a struct that already holds the defaults,
// from the file and validates it. The error is a *findings.Error for faults of
// the content.
func Load(file string, target any) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrapf(err, "read settings %s", file)
	}
	return Parse(file, text, target)
}

// Parse is Load for text that is already at hand; file only names the place.
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
			row, _ := e.Position()
			found.AddAt(file, row, strings.Join(e.Key(), "."), "unknown setting")
		}
	case errors.As(err, &syntax):
		row, _ := syntax.Position()
		found.AddAt(file, row, strings.Join(syntax.Key(), "."), "%s", syntax.Error())
	default:
		found.AddAt(file, 0, "", "%s", err.Error())
	}
	return found
}

func validate(file string, lines map[string]int, target any) findings.List {
	var found findings.List
	checker := newChecker()
	checker.RegisterTagNameFunc(func(f reflect.StructField) string {
		return strings.Split(f.Tag.Get("toml"), ",")[0]
	})
	err := checker.Struct(target)
	var faults validator.ValidationErrors
	if err != nil && !errors.As(err, &faults) {
		found.AddAt(file, 0, "", "%s", err.Error())
		return found
	}
	for _, fault := range faults {
		_, path, _ := strings.Cut(fault.Namespace(), ".")
		rule := fault.Tag()
		if fault.Param() != "" {
			rule += "=" + fault.Param()
		}
		found.AddAt(file, lineOf(lines, path), path, "value %v breaks the rule %s", fault.Value(), rule)
	}
	return found
}

// LineOf finds the line of a key in what Lines returned, or the line of the
// nearest table around it; 0 when there is none.
func LineOf(lines map[string]int, path string) int { return lineOf(lines, path) }

// newChecker adds ip_port, an address by IP number; port 0 takes a free one.
func newChecker() *validator.Validate {
	checker := validator.New(validator.WithRequiredStructEnabled())
	err := checker.RegisterValidation("ip_port", func(level validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(level.Field().String())
		return err == nil
	})
	if err != nil {
		panic(err) // Only a bad name fails, and the name is ours.
	}
	return checker
}

// lineOf finds the line of a key, or of the nearest table around it.
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

// Lines maps each dotted key of a TOML text to its line, counted from 1.
// Elements of an array of tables are written name[0], name[1], and so on.
// Text that does not parse gives the keys in front of the fault.
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

// indexed rewrites a dotted key so that each array of tables on its way
// carries the index of its latest element.
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
