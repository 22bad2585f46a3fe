// Package findings collects everything that is wrong with an input, each with
// its place, so that one run reports all of it. It never stops at the first.
package findings

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one fault of an input.
type Finding struct {
	// File is the path as the user gave it; empty when the input is no file.
	File string `json:"file,omitempty"`
	// Line counts from 1; 0 when unknown.
	Line int `json:"line,omitempty"`
	// Path is the key or resource, e.g. "pool/modelos.active_version".
	Path string `json:"path,omitempty"`
	// Message says what is wrong and what would be right.
	Message string `json:"message"`
}

// String renders the finding as file:line: path: message.
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&b, ":%d", f.Line)
		}
		b.WriteString(": ")
	}
	if f.Path != "" {
		b.WriteString(f.Path)
		b.WriteString(": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// List is a set of findings. The zero value is empty and ready to use.
type List []Finding

// Add appends a finding that has a key but no line.
func (l *List) Add(path, format string, args ...any) {
	*l = append(*l, Finding{Path: path, Message: fmt.Sprintf(format, args...)})
}

// AddAt appends a finding with its place.
func (l *List) AddAt(file string, line int, path, format string, args ...any) {
	*l = append(*l, Finding{File: file, Line: line, Path: path, Message: fmt.Sprintf(format, args...)})
}

// Sort orders the findings by file, line and path.
func (l List) Sort() {
	sort.SliceStable(l, func(i, j int) bool {
		a, b := l[i], l[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Path < b.Path
	})
}

// Err returns nil for an empty list, else an *Error that holds all of it.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return &Error{Findings: l}
}

// Error is a list of findings as an error; test for it with errors.As.
type Error struct {
	Findings List
}

// Error renders one finding a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
