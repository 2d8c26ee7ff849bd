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

// Range and precision of the histograms, and limits on what is recorded.
const (
	histogramMin    = int64(time.Microsecond)
	histogramMax    = int64(time.Minute)
	histogramDigits = 3
	// maxExamples limits the violations of each kind that a report lists.
	maxExamples = 5
	// maxAnsweredIDs limits the answered queries that are checked at the stand-in.
	maxAnsweredIDs = 2000
	// fullCoverage is the covered fraction from which an answer counts as full.
	fullCoverage = 1 - coverageTolerance
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(int64(d), histogramMin), histogramMax)) // cannot fail: the value is clamped to the range
}

// OutcomeCount is the number of requests with the same outcome.
type OutcomeCount struct {
	Kind  string       `json:"kind"`
	Code  failure.Code `json:"code"`
	Ran   failure.Ran  `json:"ran"`
	Count int          `json:"count"`
}

type outcomeKey struct {
	kind requestKind
	code failure.Code
	ran  failure.Ran
}

// secondStats holds the statistics of the requests whose intended send time is
// in one second of the run. coverageSum covers all answers with status 200,
// including late ones.
type secondStats struct {
	sent, ok, partial int
	coverageSum       float64
	latency           *hdrhistogram.Histogram
}

// recorder collects the outcomes of a variant.
type recorder struct {
	load    *Load
	checker *answerChecker

	mu          sync.Mutex
	outcomes    map[outcomeKey]int
	queries     *hdrhistogram.Histogram
	orders      *hdrhistogram.Histogram
	failures    *hdrhistogram.Histogram
	coverage    coverageStats
	seconds     []*secondStats
	keys        map[string]*keyRecord
	notRun      []outcome
	answeredIDs []model.RequestID
	requestIDs  map[model.RequestID]bool
	violations  map[ViolationKind]int
	examples    []Violation
	sent        int
	notSent     int
	late        int
	inTime      int
	// coverageSumInTime is the sum of the covered fractions of the answers in time,
	// and fullAnswers the number of those with full coverage. An order counts
	// as fully covered.
	coverageSumInTime float64
	fullAnswers       int
}

func newRecorder(l *Load, checker *answerChecker) *recorder {
	return &recorder{
		load:       l,
		checker:    checker,
		outcomes:   make(map[outcomeKey]int),
		queries:    newHistogram(),
		orders:     newHistogram(),
		failures:   newHistogram(),
		keys:       make(map[string]*keyRecord),
		requestIDs: make(map[model.RequestID]bool),
		violations: make(map[ViolationKind]int),
	}
}

// countNotSent counts a request that was not sent because MaxInFlight or
// MaxRequests was reached.
func (r *recorder) countNotSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notSent++
}

// add records an outcome. at is the intended send time of this attempt, from
// which latency is measured.
func (r *recorder) add(o outcome, at, latency time.Duration) {
	violations := r.check(&o)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.addViolations(violations)
	r.trackRequest(&o)
	if at < r.load.UnmeasuredTime.Std() {
		return
	}
	r.outcomes[outcomeKey{o.arrival.kind, o.code, o.ran}]++
	r.measure(&o, at, latency)
}

// check returns the violations that a single answer shows.
func (r *recorder) check(o *outcome) []Violation {
	found := findings{request: o.requestID}
	switch {
	case o.code == CodeMalformed:
		found.add(MalformedAnswer, "%s: %v", o.entry, o.err)
	case o.answer != nil:
		return r.checker.check(o.answer, o.arrival.query, r.load.Limit, r.load.MinCoverage)
	case o.ran == failure.DidRun && o.requestID == "":
		found.add(MalformedAnswer, "%s: answer lacks a request ID", o.entry)
	}
	return found.list
}

func (r *recorder) addViolations(violations []Violation) {
	for _, v := range violations {
		r.violations[v.Kind]++
		if r.violations[v.Kind] <= maxExamples {
			r.examples = append(r.examples, v)
		}
	}
}

// trackRequest records the request for the checks after the run.
func (r *recorder) trackRequest(o *outcome) {
	if o.requestID != "" {
		if r.requestIDs[o.requestID] {
			r.addViolations([]Violation{{Kind: OtherRequest, Request: o.requestID, Detail: "two answers have this request ID"}})
		}
		r.requestIDs[o.requestID] = true
	}
	if o.arrival.kind == kindOrder {
		orderRecord := r.keys[o.arrival.key]
		if orderRecord == nil {
			orderRecord = new(keyRecord)
			r.keys[o.arrival.key] = orderRecord
		}
		orderRecord.outcomes = append(orderRecord.outcomes, *o)
		return
	}
	switch {
	case o.ran == failure.NotRun && o.requestID != "":
		r.notRun = append(r.notRun, *o)
	case o.code == CodeOK && o.answer.Coverage.Answered > 0 && len(r.answeredIDs) < maxAnsweredIDs:
		r.answeredIDs = append(r.answeredIDs, o.requestID)
	}
}

// measure records latency, coverage and goodput. It skips requests that the
// caller cancelled, since these are no failure of the entry.
func (r *recorder) measure(o *outcome, at, latency time.Duration) {
	if o.code == CodeHungUp {
		return
	}
	s := r.secondAt(at)
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
	s.coverageSum += fraction
	if fraction < fullCoverage {
		s.partial++
	}
	r.recordGoodput(latency, fraction)
}

func (r *recorder) recordGoodput(latency time.Duration, fraction float64) {
	if latency > r.load.Timeout.Std() {
		r.late++
		return
	}
	r.inTime++
	r.coverageSumInTime += fraction
	if fraction >= fullCoverage {
		r.fullAnswers++
	}
}

func (r *recorder) secondAt(at time.Duration) *secondStats {
	i := int(at / time.Second)
	for len(r.seconds) <= i {
		r.seconds = append(r.seconds, &secondStats{latency: newHistogram()})
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

// coverageStats collects the covered fractions of answers and the reasons for
// missing leaves.
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

// CoverageReport summarizes the coverage of the answers.
type CoverageReport struct {
	Answers int     `json:"answers"`
	Mean    float64 `json:"mean"`
	Min     float64 `json:"min"`
	// P01 is the 1st percentile: 99 of 100 answers cover at least this fraction.
	P01 float64 `json:"p01"`
	// FullShare is the share of answers with full coverage.
	FullShare float64 `json:"full"`
	// Missing is the number of missing leaves by the reason that answers state.
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
