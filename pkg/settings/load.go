package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"
)

// Diagnostic describes one error in a settings file.
type Diagnostic struct {
	// Line and Column count from 1.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path names the field, such as "collections[0].connections".
	Path    string `json:"path"`
	Problem string `json:"problem"`
	// Fix tells the operator what to write instead.
	Fix string `json:"mend"`
}

// String formats the diagnostic as one line.
func (d Diagnostic) String() string {
	return fmt.Sprintf("%d:%d: %s: %s; %s", d.Line, d.Column, d.Path, d.Problem, d.Fix)
}

// InvalidError lists every error in a settings file.
type InvalidError struct {
	File        string
	Diagnostics []Diagnostic
}

// Error returns one line for each diagnostic.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Diagnostics))
	for _, m := range e.Diagnostics {
		lines = append(lines, e.File+":"+m.String())
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file. All errors in it are returned together,
// as an *InvalidError.
func Load(file string) (*Settings, error) {
	if file == "" {
		return nil, errors.New("no settings file given; use -config FILE")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, diagnostics := Parse(text)
	if len(diagnostics) > 0 {
		return nil, &InvalidError{File: file, Diagnostics: diagnostics}
	}
	return s, nil
}
