package rules

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

const (
	// MaxBytes bounds the text of a file of rules.
	MaxBytes = 1 << 20
	// MaxRules bounds the number of rules in a file.
	MaxRules = 10_000
	// maxMistakes bounds the mistakes that one run reports.
	maxMistakes = 200
)

// Diagnostic is one thing that is wrong with a file of rules.
type Diagnostic struct {
	// Line and Column count from 1; Column counts characters.
	Line   int `json:"line" cbor:"1,keyasint"`
	Column int `json:"column" cbor:"2,keyasint"`
	// Problem says what is wrong.
	Problem string `json:"problem" cbor:"3,keyasint"`
	// Fix says what to write instead.
	Fix string `json:"mend" cbor:"4,keyasint"`
}

// String returns the mistake as "line:column: problem; mend".
func (m Diagnostic) String() string {
	return fmt.Sprintf("%d:%d: %s; %s", m.Line, m.Column, m.Problem, m.Fix)
}

// Parse reads a file of rules and checks it against what is known. It reports
// every mistake of the file in order of line; the Set is of use only if there
// is none.
func Parse(text string, known Topology) (Set, []Diagnostic) {
	p := &parser{known: known, seen: newSeen()}
	if len(text) > MaxBytes {
		p.mistake(1, 1, fmt.Sprintf("the file is longer than %d bytes", MaxBytes), "remove rules that are no longer needed")
		return Set{}, p.mistakes
	}
	for i, line := range strings.Split(text, "\n") {
		p.line(i+1, strings.TrimSuffix(line, "\r"))
	}
	p.checkZonesLeft()
	return Set{Rules: p.rules}, p.mistakes
}

// parser collects the rules and the mistakes of one file.
type parser struct {
	known    Topology
	seen     *seen
	rules    []Rule
	mistakes []Diagnostic
}

func (p *parser) mistake(line, column int, problem, mend string) {
	if len(p.mistakes) < maxMistakes {
		p.mistakes = append(p.mistakes, Diagnostic{Line: line, Column: column, Problem: problem, Fix: mend})
	}
}

// line reads one line; blank lines and lines with only a comment hold no rule.
func (p *parser) line(number int, line string) {
	if !utf8.ValidString(line) {
		p.mistake(number, 1, "the line is not UTF-8", "save the file as UTF-8")
		return
	}
	body, comment, hasComment := strings.Cut(line, "#")
	tokens := split(body)
	if len(tokens) == 0 {
		return
	}
	if len(p.rules) >= MaxRules {
		p.mistake(number, 1, fmt.Sprintf("more than %d rules", MaxRules), "remove rules that are no longer needed")
		return
	}
	comment = strings.TrimSpace(comment)
	if !hasComment || comment == "" {
		column := utf8.RuneCountInString(strings.TrimRight(body, " \t")) + 1
		p.mistake(number, column, "no comment names who asked for the rule", "append \"# NAME, reason\"")
	}
	rule := Rule{Line: number, Text: strings.TrimSpace(body), Comment: comment}
	s := &statement{parser: p, line: number, tokens: tokens, rule: &rule}
	before := len(p.mistakes)
	s.parse()
	if len(p.mistakes) == before && p.seen.add(s) {
		p.rules = append(p.rules, rule)
	}
}

// token is a word of a line.
type token struct {
	text   string
	column int
}

// split returns the words of a line with the column of each.
func split(body string) []token {
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
