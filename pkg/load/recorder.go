package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query"
)

// Range and precision of the histograms.
const (
	histogramMin    = int64(time.Microsecond)
	histogramMax    = int64(time.Minute)
	histogramDigits = 3
	// maxExamples bounds the violations of each kind that a report shows.
	maxExamples = 5
	// maxAnswered bounds the answered queries that the stand-in is asked about.
	maxAnswered = 2000
	// fullCoverage is the fraction of an answer that lacks nothing.
	fullCoverage = 1 - coverageTolerance
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(int64(d), histogramMin), histogramMax)) // the value is in range
}

// OutcomeCount counts the requests with the same outcome.
type OutcomeCount struct {
	Kind  string       `json:"kind"`
	Code  failure.Code `json:"code"`
	Ran   failure.Ran  `json:"ran"`
	Count int          `json:"count"`
}

type outcomeKey struct {
	kind kind
	code failure.Code
	ran  failure.Ran
}

// second is what callers felt of the requests meant for one second.
type second struct {
	sent, ok, partial int
	coverage          float64
	latency           *hdrhistogram.Histogram
}

// recorder collects the outcomes of a variant.
type recorder struct {
	load  *Load
	truth *truth

	mu         sync.Mutex
	outcomes   map[outcomeKey]int
	queries    *hdrhistogram.Histogram
	orders     *hdrhistogram.Histogram
	failures   *hdrhistogram.Histogram
	coverage   coverageStats
	seconds    []*second
	keys       map[string]*keyRecord
	notRun     []outcome
	answered   []model.RequestID
	requestIDs map[model.RequestID]bool
	violations map[ViolationKind]int
	examples   []Violation
	sent       int
	notSent    int
	late       int
	inTime     int
	// covered sums the covered fractions of the answers in time, and full
	// counts those that lack nothing. An order counts as covered.
	covered float64
	full    int
}

func newRecorder(l *Load, t *truth) *recorder {
	return &recorder{
		load:       l,
		truth:      t,
		outcomes:   make(map[outcomeKey]int),
		queries:    newHistogram(),
		orders:     newHistogram(),
		failures:   newHistogram(),
		keys:       make(map[string]*keyRecord),
		requestIDs: make(map[model.RequestID]bool),
		violations: make(map[ViolationKind]int),
	}
}

// skipped counts a request that was not sent because too many were in flight.
func (r *recorder) skipped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notSent++
}

// add takes in an outcome. at is the intended send time of this attempt and
// latency counts from it.
func (r *recorder) add(o outcome, at, latency time.Duration) {
	found := r.check(&o)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.addViolations(found)
	r.noteIdentity(&o)
	if at < r.load.WarmUp.Std() {
		return
	}
	r.outcomes[outcomeKey{o.arrival.kind, o.code, o.ran}]++
	r.measure(&o, at, latency)
}

// check looks for violations that one answer shows by itself.
func (r *recorder) check(o *outcome) []Violation {
	found := findings{request: o.requestID}
	switch {
	case o.code == CodeMalformed:
		found.add(MalformedAnswer, "%s: %v", o.entry, o.err)
	case o.answer != nil:
		return r.truth.check(o.answer, o.arrival.query, r.load.Limit, r.load.MinCoverage)
	case o.ran == failure.DidRun && o.requestID == "":
		found.add(MalformedAnswer, "%s: answer without a request ID", o.entry)
	}
	return found.list
}

func (r *recorder) addViolations(found []Violation) {
	for _, v := range found {
		r.violations[v.Kind]++
		if r.violations[v.Kind] <= maxExamples {
			r.examples = append(r.examples, v)
		}
	}
}

// noteIdentity keeps what the checks after the run need.
func (r *recorder) noteIdentity(o *outcome) {
	if o.requestID != "" {
		if r.requestIDs[o.requestID] {
			r.addViolations([]Violation{{Kind: OtherRequest, Request: o.requestID, Detail: "two answers have this request ID"}})
		}
		r.requestIDs[o.requestID] = true
	}
	if o.arrival.kind == kindOrder {
		record := r.keys[o.arrival.key]
		if record == nil {
			record = new(keyRecord)
			r.keys[o.arrival.key] = record
		}
		record.outcomes = append(record.outcomes, *o)
		return
	}
	switch {
	case o.ran == failure.NotRun && o.requestID != "":
		r.notRun = append(r.notRun, *o)
	case o.code == CodeOK && o.answer.Coverage.Answered > 0 && len(r.answered) < maxAnswered:
		r.answered = append(r.answered, o.requestID)
	}
}

// measure leaves out callers that hung up: that is no failure of the entry.
func (r *recorder) measure(o *outcome, at, latency time.Duration) {
	if o.code == CodeHungUp {
		return
	}
	s := r.second(at)
	s.sent++
	if o.code != CodeOK {
		record(r.failures, latency)
		return
	}
	s.ok++
	record(s.latency, latency)
	fraction := 1.0
	if o.answer == nil {
		record(r.orders, latency)
	} else {
		record(r.queries, latency)
		r.coverage.add(o.answer.Coverage)
		fraction = o.answer.Coverage.Fraction
	}
	s.coverage += fraction
	if fraction < fullCoverage {
		s.partial++
	}
	r.countInTime(latency, fraction)
}

func (r *recorder) countInTime(latency time.Duration, fraction float64) {
	if latency > r.load.Timeout.Std() {
		r.late++
		return
	}
	r.inTime++
	r.covered += fraction
	if fraction >= fullCoverage {
		r.full++
	}
}

func (r *recorder) second(at time.Duration) *second {
	i := int(at / time.Second)
	for len(r.seconds) <= i {
		r.seconds = append(r.seconds, &second{latency: newHistogram()})
	}
	return r.seconds[i]
}

func (r *recorder) outcomeCounts() []OutcomeCount {
	var counts []OutcomeCount
	for k, n := range r.outcomes {
		counts = append(counts, OutcomeCount{Kind: string(k.kind), Code: k.code, Ran: k.ran, Count: n})
	}
	slices.SortFunc(counts, func(a, b OutcomeCount) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Code, b.Code), cmp.Compare(a.Ran, b.Ran))
	})
	return counts
}

// coverageStats collects covered fractions.
type coverageStats struct {
	fractions []float64
	missing   map[query.MissingReason]int
}

func (c *coverageStats) add(coverage query.Coverage) {
	c.fractions = append(c.fractions, coverage.Fraction)
	if c.missing == nil {
		c.missing = make(map[query.MissingReason]int)
	}
	for _, m := range coverage.Missing {
		c.missing[m.Reason]++
	}
}

// CoverageReport sums up the coverage of the answers.
type CoverageReport struct {
	Answers int     `json:"answers"`
	Mean    float64 `json:"mean"`
	Min     float64 `json:"min"`
	// P01 is the fraction that 99 of 100 answers reach.
	P01 float64 `json:"p01"`
	// FullShare is the share of answers that lack nothing.
	FullShare float64 `json:"full"`
	// Missing counts missing leaves by the reason that the answers state.
	Missing map[query.MissingReason]int `json:"missing,omitempty"`
}

func (c *coverageStats) report() CoverageReport {
	n := len(c.fractions)
	if n == 0 {
		return CoverageReport{}
	}
	sorted := slices.Sorted(slices.Values(c.fractions))
	report := CoverageReport{Answers: n, Min: sorted[0], P01: sorted[n/100], Missing: c.missing}
	for _, f := range sorted {
		report.Mean += f / float64(n)
		if f >= fullCoverage {
			report.FullShare += 1 / float64(n)
		}
	}
	return report
}
