package simulate

import "time"

// answers describes how the attempts at one version turn out in one second.
type answers struct {
	// fail is the chance that an attempt fails.
	fail float64
	// slow is the share of attempts whose latency is multiplied by slowBy.
	slow   float64
	slowBy float64
	// cold leaves the latencies out of the report.
	cold bool
	// crash is the chance that an attempt kills its target.
	crash float64
}

// situation is what a scenario may depend on.
type situation struct {
	second   int
	route    int
	isNew    bool
	share    float64
	sinceNew int // seconds since the last step up
}

// Scenario is one kind of move.
type Scenario struct {
	Name string
	// Bad says that the new version must be taken back.
	Bad bool
	// QueriesPerSecond is the traffic of the collection.
	QueriesPerSecond float64
	// PoisonEvery is the time between poison requests; 0 means none.
	PoisonEvery time.Duration
	answers     func(situation) answers
}

const (
	normalFailures = 0.0005
	usualTraffic   = 100
	lateFault      = 600  // seconds
	lastFault      = 1500 // seconds
	zoneLostAt     = 700  // seconds
	zoneLostLate   = 1600 // seconds
	zoneEjected    = 3    // seconds until attempts avoid a lost zone
	zoneReturns    = 60   // seconds
	coldSeconds    = 60
	zones          = 3
	rareRoute      = 2
)

func normal() answers { return answers{fail: normalFailures} }

// faulty returns a scenario in which the new version behaves as bad says
// whenever when holds.
func faulty(name string, bad answers, when func(situation) bool) Scenario {
	return Scenario{Name: name, Bad: true, QueriesPerSecond: usualTraffic, answers: func(s situation) answers {
		if s.isNew && when(s) {
			return bad
		}
		return normal()
	}}
}

func always(situation) bool { return true }

// BadVersions are the kinds of faults that a move must be taken back for.
func BadVersions() []Scenario {
	return []Scenario{
		faulty("fails at once", answers{fail: 0.5}, always),
		faulty("slow at once", answers{fail: normalFailures, slow: 1, slowBy: 4}, always),
		faulty("fails after 10 min", answers{fail: 0.5}, func(s situation) bool { return s.second >= lateFault }),
		faulty("fails after 25 min, at 100%", answers{fail: 0.5}, func(s situation) bool { return s.second >= lastFault }),
		faulty("fails at 100% only", answers{fail: 0.5}, func(s situation) bool { return s.share == 1 }),
		faulty("fails under load", answers{fail: 0.3}, func(s situation) bool { return s.share >= 0.25 }),
		faulty("fails on one route", answers{fail: 1}, func(s situation) bool { return s.route == rareRoute }),
		faulty("fails in one zone", answers{fail: 0.8 / zones}, always),
		faulty("crashes", answers{fail: normalFailures, crash: 0.002}, always),
	}
}

// GoodVersions are the kinds of trouble that must not take a move back.
func GoodVersions() []Scenario {
	return []Scenario{
		{Name: "no trouble", QueriesPerSecond: usualTraffic, answers: func(situation) answers { return normal() }},
		{Name: "zone lost", QueriesPerSecond: usualTraffic, answers: zoneLost(zoneLostAt)},
		{Name: "zone lost at 100%", QueriesPerSecond: usualTraffic, answers: zoneLost(zoneLostLate)},
		{Name: "stragglers on both", QueriesPerSecond: usualTraffic, answers: func(situation) answers {
			return answers{fail: normalFailures, slow: 0.05, slowBy: 10}
		}},
		{Name: "cold", QueriesPerSecond: usualTraffic, answers: func(s situation) answers {
			return answers{fail: normalFailures, slow: 1, slowBy: 4, cold: s.isNew && s.sinceNew < coldSeconds}.warm(s)
		}},
		{Name: "poison request", QueriesPerSecond: usualTraffic, PoisonEvery: 2 * time.Minute, answers: func(situation) answers { return normal() }},
		{Name: "little traffic", QueriesPerSecond: 0.2, answers: func(situation) answers { return normal() }},
	}
}

// warm undoes the slowness of targets that are not cold.
func (a answers) warm(situation) answers {
	if !a.cold {
		a.slow = 0
	}
	return a
}

// zoneLost fails the attempts in one zone from a second on until they avoid it.
// The new version has a somewhat greater part of its targets there.
func zoneLost(at int) func(situation) answers {
	return func(s situation) answers {
		a := normal()
		since := s.second - at
		part := 1.0 / zones
		if s.isNew {
			part *= 1.2
		}
		switch {
		case since >= 0 && since < zoneEjected:
			a.fail = part
		case since >= zoneEjected && since < zoneReturns:
			a.fail = 0.02
		}
		return a
	}
}
