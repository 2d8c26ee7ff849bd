package simulate

import "time"

// attemptModel describes the outcomes of attempts at one version in one second.
type attemptModel struct {
	// fail is the probability that an attempt fails.
	fail float64
	// slow is the fraction of attempts whose latency is multiplied by slowBy.
	slow   float64
	slowBy float64
	// cold omits the latencies from the report.
	cold bool
	// crash is the probability that an attempt crashes its target.
	crash float64
}

// conditions holds the inputs that a scenario may depend on.
type conditions struct {
	second        int
	route         int
	isNew         bool
	share         float64
	sinceIncrease int // seconds since the last increase of the share
}

// Scenario describes the traffic and the faults of a simulated move.
type Scenario struct {
	Name string
	// Bad means that the new version must be rolled back.
	Bad bool
	// QueriesPerSecond is the query rate of the collection.
	QueriesPerSecond float64
	// CrashingRequestEvery is the interval between requests that crash every target
	// that runs them; 0 means none.
	CrashingRequestEvery time.Duration
	behavior             func(conditions) attemptModel
}

const (
	baseFailureRate      = 0.0005
	baseQPS              = 100
	lateFaultSecond      = 600  // seconds
	fullShareFaultSecond = 1500 // seconds
	zoneLossSecond       = 700  // seconds
	lateZoneLossSecond   = 1600 // seconds
	zoneEjectionSeconds  = 3    // seconds until attempts avoid the zone
	zoneOutageSeconds    = 60   // seconds
	coldSeconds          = 60
	zones                = 3
	rareRoute            = 2
)

func normal() attemptModel { return attemptModel{fail: baseFailureRate} }

// faulty returns a scenario in which the new version behaves as described by bad
// whenever when returns true.
func faulty(name string, bad attemptModel, when func(conditions) bool) Scenario {
	return Scenario{Name: name, Bad: true, QueriesPerSecond: baseQPS, behavior: func(s conditions) attemptModel {
		if s.isNew && when(s) {
			return bad
		}
		return normal()
	}}
}

func always(conditions) bool { return true }

// BadVersions returns the scenarios in which the move must be rolled back.
func BadVersions() []Scenario {
	return []Scenario{
		faulty("fails at once", attemptModel{fail: 0.5}, always),
		faulty("slow at once", attemptModel{fail: baseFailureRate, slow: 1, slowBy: 4}, always),
		faulty("fails after 10 min", attemptModel{fail: 0.5}, func(s conditions) bool { return s.second >= lateFaultSecond }),
		faulty("fails after 25 min, at 100%", attemptModel{fail: 0.5}, func(s conditions) bool { return s.second >= fullShareFaultSecond }),
		faulty("fails at 100% only", attemptModel{fail: 0.5}, func(s conditions) bool { return s.share == 1 }),
		faulty("fails under load", attemptModel{fail: 0.3}, func(s conditions) bool { return s.share >= 0.25 }),
		faulty("fails on one route", attemptModel{fail: 1}, func(s conditions) bool { return s.route == rareRoute }),
		faulty("fails in one zone", attemptModel{fail: 0.8 / zones}, always),
		faulty("crashes", attemptModel{fail: baseFailureRate, crash: 0.002}, always),
	}
}

// GoodVersions returns the scenarios in which the move must not be rolled back.
func GoodVersions() []Scenario {
	return []Scenario{
		{Name: "no trouble", QueriesPerSecond: baseQPS, behavior: func(conditions) attemptModel { return normal() }},
		{Name: "zone lost", QueriesPerSecond: baseQPS, behavior: zoneOutage(zoneLossSecond)},
		{Name: "zone lost at 100%", QueriesPerSecond: baseQPS, behavior: zoneOutage(lateZoneLossSecond)},
		{Name: "stragglers on both", QueriesPerSecond: baseQPS, behavior: func(conditions) attemptModel {
			return attemptModel{fail: baseFailureRate, slow: 0.05, slowBy: 10}
		}},
		{Name: "cold", QueriesPerSecond: baseQPS, behavior: func(s conditions) attemptModel {
			return attemptModel{fail: baseFailureRate, slow: 1, slowBy: 4, cold: s.isNew && s.sinceIncrease < coldSeconds}.clearSlowUnlessCold(s)
		}},
		{Name: "poison request", QueriesPerSecond: baseQPS, CrashingRequestEvery: 2 * time.Minute, behavior: func(conditions) attemptModel { return normal() }},
		{Name: "little traffic", QueriesPerSecond: 0.2, behavior: func(conditions) attemptModel { return normal() }},
	}
}

// clearSlowUnlessCold clears the slowness of targets that are not cold. Whether
// they are cold is part of a; the conditions are not used.
func (a attemptModel) clearSlowUnlessCold(conditions) attemptModel {
	if !a.cold {
		a.slow = 0
	}
	return a
}

// zoneOutage fails the attempts in one zone from second at until the zone is
// ejected. The new version has 1.2 times its even share of targets in that zone.
func zoneOutage(at int) func(conditions) attemptModel {
	return func(s conditions) attemptModel {
		a := normal()
		since := s.second - at
		part := 1.0 / zones
		if s.isNew {
			part *= 1.2
		}
		switch {
		case since >= 0 && since < zoneEjectionSeconds:
			a.fail = part
		case since >= zoneEjectionSeconds && since < zoneOutageSeconds:
			a.fail = 0.02
		}
		return a
	}
}
