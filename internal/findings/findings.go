// Package findings collects all errors and warnings about an input with their positions,
// so that they can be reported together.
package findings

import (
	"fmt"
	"sort"
	"strings"
)

// Severity says whether an input with a finding can be used.
type Severity string

const (
	// SeverityError says that the input, or a part of it, can't work. It is the zero value.
	SeverityError Severity = ""
	// SeverityWarning says that the input is accepted, but probably not meant as it is.
	SeverityWarning Severity = "warning"
)

// Finding is one error or warning about an input.
type Finding struct {
	// File is the path as given by the user; empty if the input is not a file.
	File string `json:"file,omitempty"`
	// Line is the line number, counted from 1; 0 if unknown.
	Line int `json:"line,omitempty"`
	// Path identifies the key or resource, e.g. "pool/models.active_version".
	Path string `json:"path,omitempty"`
	// Severity is omitted for errors.
	Severity Severity `json:"severity,omitempty"`
	// Message describes the error and what is allowed.
	Message string `json:"message"`
}

// String returns the finding as file:line: path: message, without unknown parts. The
// message of a warning begins with "warning: ".
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
	if f.Severity == SeverityWarning {
		b.WriteString("warning: ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// List is a list of findings. The zero value is an empty list.
type List []Finding

// Add appends a finding without file and line.
func (l *List) Add(path, format string, args ...any) {
	*l = append(*l, Finding{Path: path, Message: fmt.Sprintf(format, args...)})
}

// AddAt appends a finding with its file and line.
func (l *List) AddAt(file string, line int, path, format string, args ...any) {
	*l = append(*l, Finding{File: file, Line: line, Path: path, Message: fmt.Sprintf(format, args...)})
}

// Warn appends a warning without file and line.
func (l *List) Warn(path, format string, args ...any) {
	*l = append(*l, Finding{Path: path, Severity: SeverityWarning, Message: fmt.Sprintf(format, args...)})
}

// WarnAt appends a warning with its file and line.
func (l *List) WarnAt(file string, line int, path, format string, args ...any) {
	*l = append(*l, Finding{File: file, Line: line, Path: path, Severity: SeverityWarning, Message: fmt.Sprintf(format, args...)})
}

// Errors returns the findings that are not warnings.
func (l List) Errors() List {
	var errs List
	for _, f := range l {
		if f.Severity != SeverityWarning {
			errs = append(errs, f)
		}
	}
	return errs
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

// Err returns nil if the list is empty, else an *Error with all findings.
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

// Error returns the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
