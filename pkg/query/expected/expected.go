// Package expected estimates how long a request takes at a target that reports its
// pace: how long work takes there now, relative to the usual time. The estimate is a
// function of the reports and latencies and of the time passed in; it performs no I/O
// and is not safe for concurrent use.
//
// In a large fleet an instance gets a reply from a given target only every few seconds.
// A report is therefore used for as long as a slow period lasts; beyond that, only the
// usual pace of the target is known.
package expected

import (
	"math"
	"time"
)

const (
	// paceLifetime is the time in which a report fades out. Targets are slow for about
	// this long, so a report of age a is still true with probability 1 - a/paceLifetime.
	paceLifetime = 600 * time.Millisecond
	// minUsualWeight is the least weight of one value in a usual value. The first values
	// count equally, with an assumed one of 1, so that a new target is known after a few
	// replies.
	minUsualWeight = 1.0 / 16
	// maxStep bounds the difference that one value counts for, as a share of the usual
	// value. Without it, the rare values of slow periods and pauses, several times the
	// usual one, would hide fixed differences of 0.8 to 1.3 between targets.
	maxStep = 0.3
	// lateRatio is the ratio of a latency to the explained one from which a reply is late.
	lateRatio = 2
	// latenessWeight is the weight of one result in the lateness, and latenessDecay the
	// time constant with which it decays, so that a target that was late is tried again.
	latenessWeight = 0.3
	latenessDecay  = 10 * time.Second
	// minPace and maxValue bound what one report or latency counts for.
	minPace, maxValue = 0.05, 30
)

// Estimate is what is known of one target. Its zero value knows nothing.
type Estimate struct {
	reported   float64
	reportedAt time.Duration
	// pace is the usual pace, and residual the usual latency as a multiple of what pace
	// and queue explain.
	pace, residual usual
	// lateness is the moving average, as of lastEnd, of the ratio of late replies to the
	// explained latency, less 1; 0 without late replies. lastRatio is the last such ratio,
	// and lastEnd when its result arrived.
	lateness, lastRatio float64
	lastEnd             time.Duration
}

// usual is a moving average that starts at 1 and that single outliers hardly move.
type usual struct {
	// offset is the average less 1.
	offset float64
	count  int
}

func (u *usual) add(v float64) {
	u.count++
	step := maxStep * u.value()
	u.offset += max(minUsualWeight, 1/float64(u.count+1)) * min(step, max(-step, v-u.value()))
}

func (u *usual) value() float64 { return 1 + u.offset }

// Known reports whether the target reports its pace.
func (e *Estimate) Known() bool { return e.pace.count > 0 }

// ReportPace records a report that arrived with a reply; 1 is the usual pace, larger is
// slower. A report without a pace, 0, ends the estimate.
func (e *Estimate) ReportPace(now time.Duration, pace float64) {
	if pace <= 0 {
		*e = Estimate{}
		return
	}
	pace = min(max(pace, minPace), maxValue)
	e.reported, e.reportedAt = pace, now
	e.pace.add(pace)
}

// Pace returns the expected pace: the reported one, which fades out into the usual one.
func (e *Estimate) Pace(now time.Duration) float64 {
	pace := e.pace.value()
	if age := now - e.reportedAt; e.Known() && age < paceLifetime {
		pace += (e.reported - pace) * (1 - float64(max(0, age))/float64(paceLifetime))
	}
	return pace
}

// RecordLatency records the result at now of a request sent at sent: its latency as a
// multiple of the usual one at pace 1.
func (e *Estimate) RecordLatency(now, sent time.Duration, latency float64) {
	if !e.Known() {
		return
	}
	ratio := min(latency, maxValue) / e.Pace(now)
	e.residual.add(ratio)
	switch {
	case sent < e.lastEnd:
		// Requests in progress at the same time are delayed by the same pause, which
		// counts once.
		e.lastRatio = max(e.lastRatio, ratio)
	default:
		e.recordLateness(now, min(ratio, e.lastRatio))
		e.lastRatio = ratio
	}
	e.lastEnd = now
}

// recordLateness records the smaller ratio of two results in a row. A pause makes one
// of them late and says nothing about the next request, since a target that has just
// paused works for seconds.
func (e *Estimate) recordLateness(now time.Duration, ratio float64) {
	excess := 0.0
	if ratio >= lateRatio {
		excess = ratio - 1
	}
	lateness := e.latenessAt(now)
	e.lateness = lateness + latenessWeight*(excess-lateness)
}

func (e *Estimate) latenessAt(now time.Duration) float64 {
	if e.lateness == 0 {
		return 0
	}
	return e.lateness * math.Exp(-float64(max(0, now-e.lastEnd))/float64(latenessDecay))
}

// Slowness returns how long work is expected to take, as a multiple of the usual time.
func (e *Estimate) Slowness(now time.Duration) float64 {
	return e.Pace(now) * max(e.residual.value(), 1+e.latenessAt(now))
}
