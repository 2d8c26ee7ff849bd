package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"
)

// Diagnostic is one fault in a settings file.
type Diagnostic struct {
	// Line and Column count from 1.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path names the field, such as "collections[0].connections".
	Path    string `json:"path"`
	Problem string `json:"problem"`
	// Fix says what to write instead.
	Fix string `json:"mend"`
}

// String returns the mistake as one line.
func (m Diagnostic) String() string {
	return fmt.Sprintf("%d:%d: %s: %s; %s", m.Line, m.Column, m.Path, m.Problem, m.Fix)
}

// InvalidError lists every error in a settings file.
type InvalidError struct {
	File        string
	Diagnostics []Diagnostic
}

// Error returns one line for each mistake.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Diagnostics))
	for _, m := range e.Diagnostics {
		lines = append(lines, e.File+":"+m.String())
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file. Mistakes are returned all at once, as
// an *InvalidError.
func Load(file string) (*Settings, error) {
	if file == "" {
		return nil, errors.New("no settings file is named; use -config FILE")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, mistakes := Parse(text)
	if len(mistakes) > 0 {
		return nil, &InvalidError{File: file, Diagnostics: mistakes}
	}
	return s, nil
}
