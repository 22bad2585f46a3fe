package catalog

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/findings"
	"github.com/jayproxy/jayproxy/internal/settings"
)

// fileEnding of declarations.
const fileEnding = ".toml"

// maxFileBytes bounds one file of declarations.
const maxFileBytes = 16 << 20

// LoadDir reads every *.toml file of a folder and the folders below it and
// checks the whole set. The findings are all of one run, each with file and
// line; the error is only for a folder that can't be read.
func LoadDir(dir string) ([]*jayv1.Resource, findings.List, error) {
	files, err := declarationFiles(dir)
	if err != nil {
		return nil, nil, err
	}
	l := newLoader()
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, nil, eris.Wrapf(err, "read %s", file)
		}
		l.file(file, text)
	}
	if len(files) == 0 {
		l.found.AddAt(dir, 0, "", "no %s file in the folder", fileEnding)
	}
	return l.finish()
}

// Parse reads declarations from text; file only names the place.
func Parse(file string, text []byte) ([]*jayv1.Resource, findings.List) {
	l := newLoader()
	l.file(file, text)
	resources, found, _ := l.finish()
	return resources, found
}

func declarationFiles(dir string) ([]string, error) {
	var files []string
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if !entry.IsDir() && strings.HasSuffix(path, fileEnding) {
			files = append(files, path)
		}
		return nil
	})
	sort.Strings(files)
	return files, eris.Wrapf(err, "read folder %s", dir)
}

// place is where a resource is declared.
type place struct {
	file  string
	lines map[string]int
	// prefix of its keys in lines, e.g. pool[0].
	prefix string
}

func (p place) line(key string) int { return settings.LineOf(p.lines, join(p.prefix, key)) }

func join(prefix, key string) string {
	if key == "" {
		return prefix
	}
	return prefix + "." + key
}

// loader gathers resources and findings over many files.
type loader struct {
	found     findings.List
	resources []*jayv1.Resource
	places    map[string]place
	// faulty keys as kind/name.key: a value that could not be read is empty, and
	// what follows from that is no finding of its own.
	faulty map[string]bool
}

func newLoader() *loader { return &loader{places: map[string]place{}, faulty: map[string]bool{}} }

// finish adds the findings about the whole set, with their places.
func (l *loader) finish() ([]*jayv1.Resource, findings.List, error) {
	for _, finding := range Check(l.resources) {
		name, key := l.splitPath(finding.Path)
		top, _, _ := strings.Cut(key, ".")
		if l.faulty[join(name, top)] {
			continue
		}
		if p, ok := l.places[name]; ok {
			finding.File, finding.Line = p.file, p.line(key)
		}
		l.found = append(l.found, finding)
	}
	l.found.Sort()
	return l.resources, l.found, nil
}

// splitPath parts kind/name.key; names may hold dots, so the longest declared
// name counts.
func (l *loader) splitPath(path string) (name, key string) {
	for cut := len(path); cut > 0; cut = strings.LastIndexByte(path[:cut], '.') {
		if _, ok := l.places[path[:cut]]; ok {
			return path[:cut], strings.TrimPrefix(path[cut:], ".")
		}
	}
	return path, ""
}

func (l *loader) file(file string, text []byte) {
	if len(text) > maxFileBytes {
		l.found.AddAt(file, 0, "", "file is longer than %d bytes", maxFileBytes)
		return
	}
	var document map[string]any
	if err := toml.Unmarshal(text, &document); err != nil {
		l.syntax(file, err)
		return
	}
	lines := settings.Lines(text)
	for kind, value := range document {
		if newDecl(kind) == nil {
			l.found.AddAt(file, firstLine(lines, kind), kind, "unknown table; known are [[workspace]], [[pool]], [[service]], [[backend_server]], [[rule]]")
			continue
		}
		elements, ok := value.([]any)
		if !ok {
			l.found.AddAt(file, firstLine(lines, kind), kind, "write [[%s]], with two brackets", kind)
			continue
		}
		for i, element := range elements {
			l.element(kind, element, place{file: file, lines: lines, prefix: fmt.Sprintf("%s[%d]", kind, i)})
		}
	}
}

func (l *loader) syntax(file string, err error) {
	var fault *toml.DecodeError
	if errors.As(err, &fault) {
		row, _ := fault.Position()
		l.found.AddAt(file, row, strings.Join(fault.Key(), "."), "%s", fault.Error())
		return
	}
	l.found.AddAt(file, 0, "", "%s", err.Error())
}

// firstLine finds the line of a top-level key, whether it is a table or a value.
func firstLine(lines map[string]int, key string) int {
	if line, ok := lines[key]; ok {
		return line
	}
	return lines[key+"[0]"]
}

// element decodes one declaration, key by key, so that one fault does not hide
// the next.
func (l *loader) element(kind string, element any, at place) {
	table, ok := element.(map[string]any)
	if !ok {
		l.found.AddAt(at.file, at.line(""), kind, "write [[%s]] and its keys below", kind)
		return
	}
	declared := newDecl(kind)
	var faulty []string
	for key, value := range table {
		if err := decodeKey(key, value, declared); err != nil {
			faulty = append(faulty, key)
			l.key(kind, key, err, at)
		}
	}
	resource := declared.resource()
	name := NameOf(resource)
	for _, key := range faulty {
		l.faulty[join(name, key)] = true
	}
	if first, doubled := l.places[name]; doubled {
		l.found.AddAt(at.file, at.line("name"), name, "declared twice, first at %s:%d", first.file, first.line("name"))
		return
	}
	if _, named := table["name"]; !named {
		l.found.AddAt(at.file, at.line(""), kind, "name is missing")
		return
	}
	l.places[name] = at
	l.resources = append(l.resources, resource)
}

// decodeKey puts one key into the declaration, strictly.
func decodeKey(key string, value any, into decl) error {
	text, err := toml.Marshal(map[string]any{key: value})
	if err != nil {
		return eris.Wrapf(err, "key %q", key)
	}
	decoder := toml.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

// key reports the faults of one key. Places inside the key come from the key's
// own path, because the text that was decoded is not the file's.
func (l *loader) key(kind, key string, err error, at place) {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		for _, fault := range strict.Errors {
			path := strings.Join(fault.Key(), ".")
			l.found.AddAt(at.file, at.line(path), kind+"."+path, "unknown key")
		}
		return
	}
	message := err.Error()
	var fault *toml.DecodeError
	if errors.As(err, &fault) {
		message = strings.TrimPrefix(fault.Error(), "toml: ")
	}
	l.found.AddAt(at.file, at.line(key), kind+"."+key, "%s", message)
}
