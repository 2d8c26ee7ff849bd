package rules

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

const (
	// MaxBytes limits the size of a rules file.
	MaxBytes = 1 << 20
	// MaxRules limits the number of rules in a file.
	MaxRules = 10_000
	// maxDiagnostics limits the errors reported for one file.
	maxDiagnostics = 200
)

// Diagnostic describes one error in a rules file.
type Diagnostic struct {
	// Line and Column count from 1; Column counts characters.
	Line   int `json:"line" cbor:"1,keyasint"`
	Column int `json:"column" cbor:"2,keyasint"`
	// Problem describes the error.
	Problem string `json:"problem" cbor:"3,keyasint"`
	// Fix tells the operator what to write instead.
	Fix string `json:"mend" cbor:"4,keyasint"`
}

// String formats the diagnostic as "line:column: problem; fix".
func (d Diagnostic) String() string {
	return fmt.Sprintf("%d:%d: %s; %s", d.Line, d.Column, d.Problem, d.Fix)
}

// Parse parses a rules file and checks it against the topology. It reports the
// errors in order of line, up to maxDiagnostics; the Set is valid only if there
// are none.
func Parse(text string, topology Topology) (Set, []Diagnostic) {
	p := &parser{topology: topology, subjects: newSubjectIndex()}
	if len(text) > MaxBytes {
		p.report(1, 1, fmt.Sprintf("the file is longer than %d bytes", MaxBytes), "remove rules that are no longer needed")
		return Set{}, p.diagnostics
	}
	for i, line := range strings.Split(text, "\n") {
		p.parseLine(i+1, strings.TrimSuffix(line, "\r"))
	}
	p.checkZoneRemains()
	return Set{Rules: p.rules}, p.diagnostics
}

// parser collects the rules and the errors of one file.
type parser struct {
	topology    Topology
	subjects    *subjectIndex
	rules       []Rule
	diagnostics []Diagnostic
}

func (p *parser) report(line, column int, problem, fix string) {
	if len(p.diagnostics) < maxDiagnostics {
		p.diagnostics = append(p.diagnostics, Diagnostic{Line: line, Column: column, Problem: problem, Fix: fix})
	}
}

// parseLine parses one line. Blank lines and lines with only a comment are skipped.
func (p *parser) parseLine(number int, line string) {
	if !utf8.ValidString(line) {
		p.report(number, 1, "the line is not UTF-8", "save the file as UTF-8")
		return
	}
	body, comment, hasComment := strings.Cut(line, "#")
	tokens := tokenize(body)
	if len(tokens) == 0 {
		return
	}
	if len(p.rules) >= MaxRules {
		p.report(number, 1, fmt.Sprintf("more than %d rules", MaxRules), "remove rules that are no longer needed")
		return
	}
	comment = strings.TrimSpace(comment)
	if !hasComment || comment == "" {
		column := utf8.RuneCountInString(strings.TrimRight(body, " \t")) + 1
		p.report(number, column, "no comment names who asked for the rule", "append \"# NAME, reason\"")
	}
	rule := Rule{Line: number, Text: strings.TrimSpace(body), Comment: comment}
	s := &ruleParser{parser: p, line: number, tokens: tokens, rule: &rule}
	before := len(p.diagnostics)
	s.parse()
	if len(p.diagnostics) == before && p.subjects.add(s) {
		p.rules = append(p.rules, rule)
	}
}

// token is a word of a line and the column where it starts.
type token struct {
	text   string
	column int
}

// tokenize splits a line into words at spaces and tabs.
func tokenize(body string) []token {
	var tokens []token
	column, start := 1, 0
	var word strings.Builder
	flush := func() {
		if word.Len() > 0 {
			tokens = append(tokens, token{text: word.String(), column: start})
			word.Reset()
		}
	}
	for _, r := range body {
		if r == ' ' || r == '\t' {
			flush()
		} else {
			if word.Len() == 0 {
				start = column
			}
			word.WriteRune(r)
		}
		column++
	}
	flush()
	return tokens
}
