package rules

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"radishturn.example/radishturn/pkg/model"
)

// Forms of the rules, as shown to operators.
const (
	formZone  = "zone AVAILABILITY-ZONE out"
	formMove  = "move COLLECTION from VERSION to VERSION by 2026-12-05T05:00Z [first 1%]"
	formLimit = "limit caller CALLER 50/s"
	formDrain = "drain target COLLECTION/SERVICE/leaf-N/slot-N"
)

// minuteLayout is RFC 3339 without seconds.
const minuteLayout = "2006-01-02T15:04Z07:00"

// statement reads the words of one rule.
type statement struct {
	*parser
	line   int
	tokens []token
	next   int
	rule   *Rule
	// subject is the word that names what the rule is about.
	subject token
}

func (s *statement) parse() {
	first := s.tokens[0]
	s.next = 1
	switch first.text {
	case "zone":
		s.zone()
	case "move":
		s.move()
	case "limit":
		s.limit()
	case "drain":
		s.drain()
	default:
		s.wrong(first, fmt.Sprintf("unknown rule %q", first.text), "start the line with zone, move, limit or drain")
	}
}

func (s *statement) wrong(t token, problem, mend string) {
	s.mistake(s.line, t.column, problem, mend)
}

// word returns the next word. At the end of the line it reports form.
func (s *statement) word(form string) (token, bool) {
	if s.next < len(s.tokens) {
		s.next++
		return s.tokens[s.next-1], true
	}
	last := s.tokens[len(s.tokens)-1]
	end := token{column: last.column + utf8.RuneCountInString(last.text)}
	s.wrong(end, "the rule is not complete", "write it as: "+form)
	return token{}, false
}

// keyword reads the next word and reports any but want.
func (s *statement) keyword(want, form string) bool {
	t, ok := s.word(form)
	if !ok {
		return false
	}
	if t.text != want {
		s.wrong(t, fmt.Sprintf("%q in place of %q", t.text, want), "write it as: "+form)
		return false
	}
	return true
}

// end reports words after the end of the rule.
func (s *statement) end(form string) {
	if s.next < len(s.tokens) {
		t := s.tokens[s.next]
		s.wrong(t, fmt.Sprintf("unexpected %q", t.text), "write it as: "+form)
	}
}

func (s *statement) zone() {
	t, ok := s.word(formZone)
	if !ok {
		return
	}
	s.subject = t
	zone := model.AvailabilityZoneID(t.text)
	if !slices.Contains(s.known.AvailabilityZones, zone) {
		s.wrong(t, fmt.Sprintf("unknown availability zone %q", t.text), "use one of "+join(s.known.AvailabilityZones))
	}
	if s.keyword("out", formZone) {
		s.end(formZone)
	}
	s.rule.ZoneOut = &ZoneOut{AvailabilityZone: zone}
}

func (s *statement) move() {
	t, ok := s.word(formMove)
	if !ok {
		return
	}
	s.subject = t
	m := &Move{Collection: model.CollectionID(t.text)}
	s.rule.Move = m
	s.checkCollection(t, t.text)
	if !s.keyword("from", formMove) {
		return
	}
	from, ok := s.word(formMove)
	if !ok || !s.keyword("to", formMove) {
		return
	}
	to, ok := s.word(formMove)
	if !ok || !s.keyword("by", formMove) {
		return
	}
	m.From, m.To = model.VersionID(from.text), model.VersionID(to.text)
	if m.From == m.To {
		s.wrong(to, "the move ends at the version it starts from", "name the new version")
	}
	s.moveDeadline(m)
	s.moveFirstShare(m)
	s.end(formMove)
}

func (s *statement) moveDeadline(m *Move) {
	t, ok := s.word(formMove)
	if !ok {
		return
	}
	by, err := time.Parse(minuteLayout, t.text)
	if err != nil {
		by, err = time.Parse(time.RFC3339, t.text)
	}
	if err != nil {
		s.wrong(t, fmt.Sprintf("%q is not a time", t.text), "write it like 2026-12-05T05:00Z")
		return
	}
	m.By = by.UTC()
}

func (s *statement) moveFirstShare(m *Move) {
	if s.next >= len(s.tokens) || s.tokens[s.next].text != "first" {
		return
	}
	s.next++
	t, ok := s.word(formMove)
	if !ok {
		return
	}
	number, hasSign := strings.CutSuffix(t.text, "%")
	percent, err := strconv.ParseFloat(number, 64)
	if err != nil || !hasSign || !(percent > 0 && percent <= 100) {
		s.wrong(t, fmt.Sprintf("%q is not a share", t.text), "write a number above 0 and up to 100 with a percent sign, such as 1%")
		return
	}
	m.FirstShare = percent / 100
}

func (s *statement) limit() {
	if !s.keyword("caller", formLimit) {
		return
	}
	t, ok := s.word(formLimit)
	if !ok {
		return
	}
	s.subject = t
	rate, ok := s.word(formLimit)
	if !ok {
		return
	}
	number, hasUnit := strings.CutSuffix(rate.text, "/s")
	perSecond, err := strconv.ParseFloat(number, 64)
	if err != nil || !hasUnit || !(perSecond >= 0) || math.IsInf(perSecond, 0) {
		s.wrong(rate, fmt.Sprintf("%q is not a rate", rate.text), "write requests per second, such as 50/s")
	}
	s.end(formLimit)
	s.rule.Limit = &Limit{Caller: model.CallerID(t.text), PerSecond: perSecond}
}

func (s *statement) drain() {
	if !s.keyword("target", formDrain) {
		return
	}
	t, ok := s.word(formDrain)
	if !ok {
		return
	}
	s.subject = t
	s.checkTarget(t)
	s.end(formDrain)
	s.rule.Drain = &Drain{Target: model.TargetID(t.text)}
}
