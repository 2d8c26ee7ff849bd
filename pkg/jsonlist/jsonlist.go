// Package jsonlist reads a JSON object with one long array of objects in which single
// elements may be malformed, because several writers add to it. A malformed element
// costs only itself: the elements before and after it are kept.
//
// Elements are found by their quotes and brackets. Where these do not match, the next
// well-formed object after a comma is taken as the next element. It may be a part of
// the malformed one; the caller has to check what it says.
package jsonlist

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// Limits bound one element.
type Limits struct {
	// Bytes is the maximum length of an element.
	Bytes int
	// Depth is the maximum depth of its nested arrays and objects.
	Depth int
}

// Errors with which elements are skipped, and ErrIncomplete with which Parse fails.
var (
	ErrTooDeep   = errors.New("element is nested too deeply")
	ErrMalformed = errors.New("element is malformed or too long")
	// ErrIncomplete means that the end of the list is missing. Elements may be missing
	// as well, so the list must not be taken as whole.
	ErrIncomplete = errors.New("the list is incomplete")
)

// List is a parsed list.
type List struct {
	// Elements are the well-formed elements, in order.
	Elements []json.RawMessage
	// Skipped are the reasons why elements were skipped.
	Skipped []error
	// Members are the other members of the object.
	Members map[string]json.RawMessage
}

// maxResyncs bounds the places at which Parse looks for the next element after
// malformed ones, and so the time that it takes.
const maxResyncs = 4096

type parser struct {
	text []byte
	at   int
	// last is the member that follows the list.
	last   string
	limits Limits
	// wellFormedEnd is the end of the last well-formed element.
	wellFormedEnd int
	resyncs       int
	list          List
}

// Parse parses an object whose given member is the list. After a malformed last
// element, the end of the list is found by the member named last, which follows it.
func Parse(text []byte, member, last string, limits Limits) (*List, error) {
	p := &parser{text: text, last: last, limits: limits, list: List{Members: make(map[string]json.RawMessage)}}
	if !p.enterList(member) {
		return nil, fmt.Errorf("no list %q: %w", member, ErrIncomplete)
	}
	p.wellFormedEnd = p.at
	for {
		p.skipSpace()
		switch {
		case p.endList(p.at):
			return &p.list, nil
		case p.takeElement():
		case !p.resync():
			return nil, ErrIncomplete
		}
	}
}

// enterList moves to the first element. The members before the list must be
// well-formed.
func (p *parser) enterList(member string) bool {
	p.skipSpace()
	if !p.take('{') {
		return false
	}
	for {
		name, ok := p.takeName()
		if !ok {
			return false
		}
		if name == member {
			return p.take('[')
		}
		v, ok := p.takeValue()
		if !ok || !p.take(',') {
			return false
		}
		p.list.Members[name] = v
	}
}

// takeName takes the name of a member and the colon after it.
func (p *parser) takeName() (string, bool) {
	raw, ok := p.takeValue()
	if !ok {
		return "", false
	}
	var name string
	if json.Unmarshal(raw, &name) != nil {
		return "", false
	}
	return name, p.take(':')
}

// takeValue takes a well-formed value.
func (p *parser) takeValue() (json.RawMessage, bool) {
	p.skipSpace()
	end, _, ok := p.endOfValue(p.at)
	if !ok || !json.Valid(p.text[p.at:end]) {
		return nil, false
	}
	raw := p.text[p.at:end]
	p.at = end
	p.skipSpace()
	return raw, true
}

// takeElement takes an element and the comma after it. It returns false, and takes
// nothing, if its borders are unknown.
func (p *parser) takeElement() bool {
	end, depth, ok := p.endOfValue(p.at)
	if !ok {
		return false
	}
	raw := p.text[p.at:end]
	next := p.spaceEnd(end)
	if next >= len(p.text) || p.text[next] != ',' && p.text[next] != ']' {
		return false
	}
	switch {
	case depth > p.limits.Depth:
		p.list.Skipped = append(p.list.Skipped, ErrTooDeep)
	case raw[0] == '[' || !json.Valid(raw):
		// An array that was left open holds the elements up to the end of the list.
		return false
	case raw[0] != '{':
		p.list.Skipped = append(p.list.Skipped, ErrMalformed)
	default:
		p.list.Elements = append(p.list.Elements, raw)
		p.wellFormedEnd = end
	}
	p.at = next
	if p.text[next] == ',' {
		p.at++
	}
	return true
}

// endList reports whether the list and the object end at at, with well-formed members
// in between, and stores these. A stray bracket in a malformed element does not end
// the list.
func (p *parser) endList(at int) bool {
	if at >= len(p.text) || p.text[at] != ']' {
		return false
	}
	rest := bytes.TrimSpace(p.text[at+1:])
	if len(rest) > p.limits.Bytes {
		return false
	}
	rest = bytes.TrimPrefix(rest, []byte(","))
	object := append([]byte("{"), rest...)
	var members map[string]json.RawMessage
	if json.Unmarshal(object, &members) != nil {
		return false
	}
	if _, ok := members[p.last]; !ok && at != p.at {
		return false
	}
	for name, value := range members {
		p.list.Members[name] = value
	}
	return true
}

// resync moves to the next well-formed object that follows a comma, or else to the
// end of the list. It returns false if there is neither.
func (p *parser) resync() bool {
	p.list.Skipped = append(p.list.Skipped, ErrMalformed)
	for from := p.at; ; {
		comma := bytes.IndexByte(p.text[min(from, len(p.text)):], ',')
		if comma < 0 {
			return p.seekEnd()
		}
		from += comma + 1
		start := p.spaceEnd(from)
		if start >= len(p.text) || p.text[start] != '{' {
			continue
		}
		if p.resyncs++; p.resyncs > maxResyncs {
			return false
		}
		if end, depth, ok := p.endOfValue(start); ok && depth <= p.limits.Depth && json.Valid(p.text[start:end]) {
			p.at = start
			return true
		}
	}
}

// seekEnd moves to the end of the list after a malformed last element.
func (p *parser) seekEnd() bool {
	least := max(p.wellFormedEnd, len(p.text)-p.limits.Bytes)
	// The text at p.at itself is known not to end the list.
	p.at = len(p.text)
	for at := len(p.text) - 1; at >= least; at-- {
		if p.text[at] != ']' {
			continue
		}
		if p.resyncs++; p.resyncs > maxResyncs {
			return false
		}
		if p.endList(at) {
			p.at = at
			return true
		}
	}
	return false
}

// endOfValue returns the end of the value at start, and its depth, by its quotes and
// brackets alone. It returns false if the value does not end within the limit.
func (p *parser) endOfValue(start int) (end, depth int, ok bool) {
	limit := min(len(p.text), start+p.limits.Bytes)
	// open holds the closing brackets that are still to come.
	var open []byte
	for at := start; at < limit; at++ {
		c := p.text[at]
		switch {
		case c == '"':
			if at, ok = p.endOfString(at, limit); !ok {
				return 0, 0, false
			}
		case c == '{' || c == '[':
			open = append(open, c+closingOffset)
			depth = max(depth, len(open))
		case len(open) == 0 && bytes.IndexByte(delimiters, c) >= 0:
			// A number or a word ends before its delimiter.
			return at, depth, at > start
		case c == '}' || c == ']':
			if open[len(open)-1] != c {
				return 0, 0, false
			}
			open = open[:len(open)-1]
		default:
			continue
		}
		if len(open) == 0 {
			return at + 1, depth, true
		}
	}
	return 0, 0, false
}

var delimiters = []byte("]},:")

// closingOffset is the difference between a closing bracket and its opening one, the
// same for both kinds.
const closingOffset = '}' - '{'

// endOfString returns the index of the quote that ends the string that starts at
// start.
func (p *parser) endOfString(start, limit int) (int, bool) {
	for at := start + 1; at < limit; at++ {
		switch p.text[at] {
		case '\\':
			at++
		case '"':
			return at, true
		}
	}
	return limit, false
}

func (p *parser) take(c byte) bool {
	if p.at >= len(p.text) || p.text[p.at] != c {
		return false
	}
	p.at++
	p.skipSpace()
	return true
}

func (p *parser) skipSpace() { p.at = p.spaceEnd(p.at) }

// spaceEnd returns the index of the first byte from at on that is no white space.
func (p *parser) spaceEnd(at int) int {
	for at < len(p.text) && (p.text[at] == ' ' || p.text[at] == '\t' || p.text[at] == '\n' || p.text[at] == '\r') {
		at++
	}
	return at
}
