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

// fileExtension of files with declarations.
const fileExtension = ".toml"

// maxFileBytes is the maximum size of one file of declarations.
const maxFileBytes = 16 << 20

// LoadDir reads all *.toml files of a folder and its subfolders and checks the
// resources together. It returns all findings, warnings included, each with file and
// line. The error is non-nil only if the folder or a file can't be read.
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
		l.addFile(file, text)
	}
	if len(files) == 0 {
		l.found.AddAt(dir, 0, "", "no %s file in the folder", fileExtension)
	}
	return l.finish()
}

// Parse reads and checks declarations from text. The file name is used in
// findings only.
func Parse(file string, text []byte) ([]*jayv1.Resource, findings.List) {
	l := newLoader()
	l.addFile(file, text)
	resources, found, _ := l.finish()
	return resources, found
}

func declarationFiles(dir string) ([]string, error) {
	var files []string
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if !entry.IsDir() && strings.HasSuffix(path, fileExtension) {
			files = append(files, path)
		}
		return nil
	})
	sort.Strings(files)
	return files, eris.Wrapf(err, "read folder %s", dir)
}

// position is where a resource is declared.
type position struct {
	file  string
	lines map[string]int
	// prefix of the resource's keys in lines, for example "pool[0]".
	prefix string
}

func (p position) line(key string) int { return settings.LineOf(p.lines, joinKey(p.prefix, key)) }

func joinKey(prefix, key string) string {
	if key == "" {
		return prefix
	}
	return prefix + "." + key
}

// loader collects resources and findings from many files.
type loader struct {
	found     findings.List
	resources []*jayv1.Resource
	positions map[string]position
	// invalid holds keys, as kind/name.key, whose value could not be decoded.
	// They are left empty, and findings about the empty value are suppressed.
	invalid map[string]bool
}

func newLoader() *loader {
	return &loader{positions: map[string]position{}, invalid: map[string]bool{}}
}

// finish checks the whole set and adds the findings with file and line.
func (l *loader) finish() ([]*jayv1.Resource, findings.List, error) {
	all := Check(l.resources)
	if len(l.found) == 0 {
		// A key that could not be decoded is empty, which matches more traffic.
		all = append(all, Warnings(l.resources)...)
	}
	for _, finding := range all {
		name, key := l.splitPath(finding.Path)
		top, _, _ := strings.Cut(key, ".")
		if l.invalid[joinKey(name, top)] {
			continue
		}
		if p, ok := l.positions[name]; ok {
			finding.File, finding.Line = p.file, p.line(key)
		}
		l.found = append(l.found, finding)
	}
	l.found.Sort()
	return l.resources, l.found, nil
}

// splitPath splits kind/name.key. Names may contain dots, so it takes the longest
// declared name.
func (l *loader) splitPath(path string) (name, key string) {
	for cut := len(path); cut > 0; cut = strings.LastIndexByte(path[:cut], '.') {
		if _, ok := l.positions[path[:cut]]; ok {
			return path[:cut], strings.TrimPrefix(path[cut:], ".")
		}
	}
	return path, ""
}

func (l *loader) addFile(file string, text []byte) {
	if len(text) > maxFileBytes {
		l.found.AddAt(file, 0, "", "file is larger than the maximum of %d bytes", maxFileBytes)
		return
	}
	var document map[string]any
	if err := toml.Unmarshal(text, &document); err != nil {
		l.addSyntaxError(file, err)
		return
	}
	lines := settings.Lines(text)
	for kind, value := range document {
		if newDecl(kind) == nil {
			l.found.AddAt(file, firstLine(lines, kind), kind, "unknown table; allowed are [[workspace]], [[pool]], [[service]], [[backend_server]], [[rule]]")
			continue
		}
		elements, ok := value.([]any)
		if !ok {
			l.found.AddAt(file, firstLine(lines, kind), kind, "must be an array of tables: write [[%s]] with two brackets", kind)
			continue
		}
		for i, element := range elements {
			l.addElement(kind, element, position{file: file, lines: lines, prefix: fmt.Sprintf("%s[%d]", kind, i)})
		}
	}
}

func (l *loader) addSyntaxError(file string, err error) {
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		row, _ := decodeErr.Position()
		l.found.AddAt(file, row, strings.Join(decodeErr.Key(), "."), "%s", decodeErr.Error())
		return
	}
	l.found.AddAt(file, 0, "", "%s", err.Error())
}

// firstLine returns the first line of a top-level key, which is a value or an
// array of tables.
func firstLine(lines map[string]int, key string) int {
	if line, ok := lines[key]; ok {
		return line
	}
	return lines[key+"[0]"]
}

// addElement decodes one declaration key by key, so that all invalid keys are
// reported.
func (l *loader) addElement(kind string, element any, pos position) {
	table, ok := element.(map[string]any)
	if !ok {
		l.found.AddAt(pos.file, pos.line(""), kind, "must be a table: write [[%s]] and its keys below it", kind)
		return
	}
	declared := newDecl(kind)
	var invalid []string
	for key, value := range table {
		if err := decodeKey(key, value, declared); err != nil {
			invalid = append(invalid, key)
			l.addKeyErrors(kind, key, err, pos)
		}
	}
	resource := declared.resource()
	name := NameOf(resource)
	for _, key := range invalid {
		l.invalid[joinKey(name, key)] = true
	}
	if first, duplicate := l.positions[name]; duplicate {
		l.found.AddAt(pos.file, pos.line("name"), name, "declared twice, first at %s:%d", first.file, first.line("name"))
		return
	}
	if _, hasName := table["name"]; !hasName {
		l.found.AddAt(pos.file, pos.line(""), kind, "name is missing")
		return
	}
	l.positions[name] = pos
	l.resources = append(l.resources, resource)
}

// decodeKey decodes one key into the declaration; unknown keys are an error.
func decodeKey(key string, value any, into decl) error {
	text, err := toml.Marshal(map[string]any{key: value})
	if err != nil {
		return eris.Wrapf(err, "encode key %q", key)
	}
	decoder := toml.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

// addKeyErrors adds a finding for each error of one key. Lines are looked up by
// the path of the key, since the lines in the error are those of the re-encoded
// text, not of the file.
func (l *loader) addKeyErrors(kind, key string, err error, pos position) {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		for _, decodeErr := range strict.Errors {
			path := strings.Join(decodeErr.Key(), ".")
			l.found.AddAt(pos.file, pos.line(path), kind+"."+path, "unknown key")
		}
		return
	}
	message := err.Error()
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		message = strings.TrimPrefix(decodeErr.Error(), "toml: ")
	}
	l.found.AddAt(pos.file, pos.line(key), kind+"."+key, "%s", message)
}
