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

// Syntax of the rules, as shown to operators in diagnostics.
const (
	syntaxZone  = "zone AVAILABILITY-ZONE out"
	syntaxMove  = "move COLLECTION from VERSION to VERSION by 2026-12-05T05:00Z [first 1%]"
	syntaxLimit = "limit caller CALLER 50/s"
	syntaxDrain = "drain target COLLECTION/SERVICE/leaf-N/slot-N"
)

// minuteLayout is RFC 3339 without seconds.
const minuteLayout = "2006-01-02T15:04Z07:00"

// ruleParser parses the words of one rule.
type ruleParser struct {
	*parser
	line   int
	tokens []token
	next   int
	rule   *Rule
	// subject is the word that names the zone, collection, caller or target of
	// the rule.
	subject token
}

func (s *ruleParser) parse() {
	first := s.tokens[0]
	s.next = 1
	switch first.text {
	case "zone":
		s.parseZone()
	case "move":
		s.parseMove()
	case "limit":
		s.parseLimit()
	case "drain":
		s.parseDrain()
	default:
		s.reportAt(first, fmt.Sprintf("unknown rule %q", first.text), "start the line with zone, move, limit or drain")
	}
}

func (s *ruleParser) reportAt(t token, problem, fix string) {
	s.report(s.line, t.column, problem, fix)
}

// nextWord returns the next word. At the end of the line it reports an
// incomplete rule and shows its syntax.
func (s *ruleParser) nextWord(syntax string) (token, bool) {
	if s.next < len(s.tokens) {
		s.next++
		return s.tokens[s.next-1], true
	}
	last := s.tokens[len(s.tokens)-1]
	end := token{column: last.column + utf8.RuneCountInString(last.text)}
	s.reportAt(end, "the rule is not complete", "write it as: "+syntax)
	return token{}, false
}

// expectKeyword reads the next word and reports an error unless it is want.
func (s *ruleParser) expectKeyword(want, syntax string) bool {
	t, ok := s.nextWord(syntax)
	if !ok {
		return false
	}
	if t.text != want {
		s.reportAt(t, fmt.Sprintf("found %q, expected %q", t.text, want), "write it as: "+syntax)
		return false
	}
	return true
}

// expectEnd reports an error if words follow the end of the rule.
func (s *ruleParser) expectEnd(syntax string) {
	if s.next < len(s.tokens) {
		t := s.tokens[s.next]
		s.reportAt(t, fmt.Sprintf("unexpected %q", t.text), "write it as: "+syntax)
	}
}

func (s *ruleParser) parseZone() {
	t, ok := s.nextWord(syntaxZone)
	if !ok {
		return
	}
	s.subject = t
	zone := model.AvailabilityZoneID(t.text)
	if !slices.Contains(s.topology.AvailabilityZones, zone) {
		s.reportAt(t, fmt.Sprintf("unknown availability zone %q", t.text), "use one of "+join(s.topology.AvailabilityZones))
	}
	if s.expectKeyword("out", syntaxZone) {
		s.expectEnd(syntaxZone)
	}
	s.rule.ZoneOut = &ZoneOut{AvailabilityZone: zone}
}

func (s *ruleParser) parseMove() {
	t, ok := s.nextWord(syntaxMove)
	if !ok {
		return
	}
	s.subject = t
	m := &Move{Collection: model.CollectionID(t.text)}
	s.rule.Move = m
	s.checkCollection(t, t.text)
	if !s.expectKeyword("from", syntaxMove) {
		return
	}
	from, ok := s.nextWord(syntaxMove)
	if !ok || !s.expectKeyword("to", syntaxMove) {
		return
	}
	to, ok := s.nextWord(syntaxMove)
	if !ok || !s.expectKeyword("by", syntaxMove) {
		return
	}
	m.From, m.To = model.VersionID(from.text), model.VersionID(to.text)
	if m.From == m.To {
		s.reportAt(to, "the move starts and ends at the same version", "name the new version")
	}
	s.parseMoveDeadline(m)
	s.parseMoveFirstShare(m)
	s.expectEnd(syntaxMove)
}

func (s *ruleParser) parseMoveDeadline(m *Move) {
	t, ok := s.nextWord(syntaxMove)
	if !ok {
		return
	}
	by, err := time.Parse(minuteLayout, t.text)
	if err != nil {
		by, err = time.Parse(time.RFC3339, t.text)
	}
	if err != nil {
		s.reportAt(t, fmt.Sprintf("%q is not a time", t.text), "write it like 2026-12-05T05:00Z")
		return
	}
	m.By = by.UTC()
}

func (s *ruleParser) parseMoveFirstShare(m *Move) {
	if s.next >= len(s.tokens) || s.tokens[s.next].text != "first" {
		return
	}
	s.next++
	t, ok := s.nextWord(syntaxMove)
	if !ok {
		return
	}
	number, hasPercentSign := strings.CutSuffix(t.text, "%")
	percent, err := strconv.ParseFloat(number, 64)
	if err != nil || !hasPercentSign || !(percent > 0 && percent <= 100) {
		s.reportAt(t, fmt.Sprintf("%q is not a share", t.text), "write a number above 0 and up to 100 with a percent sign, such as 1%")
		return
	}
	m.FirstShare = percent / 100
}

func (s *ruleParser) parseLimit() {
	if !s.expectKeyword("caller", syntaxLimit) {
		return
	}
	t, ok := s.nextWord(syntaxLimit)
	if !ok {
		return
	}
	s.subject = t
	rate, ok := s.nextWord(syntaxLimit)
	if !ok {
		return
	}
	number, hasUnit := strings.CutSuffix(rate.text, "/s")
	perSecond, err := strconv.ParseFloat(number, 64)
	if err != nil || !hasUnit || !(perSecond >= 0) || math.IsInf(perSecond, 0) {
		s.reportAt(rate, fmt.Sprintf("%q is not a rate", rate.text), "write requests per second, such as 50/s")
	}
	s.expectEnd(syntaxLimit)
	s.rule.Limit = &Limit{Caller: model.CallerID(t.text), PerSecond: perSecond}
}

func (s *ruleParser) parseDrain() {
	if !s.expectKeyword("target", syntaxDrain) {
		return
	}
	t, ok := s.nextWord(syntaxDrain)
	if !ok {
		return
	}
	s.subject = t
	s.checkTarget(t)
	s.expectEnd(syntaxDrain)
	s.rule.Drain = &Drain{Target: model.TargetID(t.text)}
}
