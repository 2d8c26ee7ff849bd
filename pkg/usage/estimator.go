package usage

import (
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

const (
	// estimateWait is how long a new leader waits for the wall clocks of half of the
	// instances before it estimates true time from those that it has.
	estimateWait = 2 * time.Second
	// sampleAge is how long the wall clock of an instance counts after its report.
	sampleAge = 30 * time.Second
)

// Estimator estimates true time on the leader from the wall clocks of all instances.
// Wall clocks of single machines jump by seconds; the median does not, as long as most
// of them are right.
type Estimator struct {
	started time.Duration
	samples map[model.InstanceID]clockSample
}

// clockSample is the difference between an instance's wall clock and the leader's
// boot-time clock at a time on the latter.
type clockSample struct{ offset, at time.Duration }

// NewEstimator returns an Estimator of a leader whose term starts now.
func NewEstimator(now time.Duration) *Estimator {
	return &Estimator{started: now, samples: make(map[model.InstanceID]clockSample)}
}

// Record records an instance's wall-clock time, since the start of 1970, that was
// received at a time on the leader's boot-time clock.
func (e *Estimator) Record(now time.Duration, id model.InstanceID, wall time.Duration) {
	e.samples[id] = clockSample{offset: wall - now, at: now}
}

// TrueTime returns the estimated true time, since the start of 1970. It returns false
// until half of the instances have reported, or some in the first estimateWait.
func (e *Estimator) TrueTime(now time.Duration, instances int) (time.Duration, bool) {
	var offsets []time.Duration
	for id, s := range e.samples {
		if now-s.at > sampleAge {
			delete(e.samples, id)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	if len(offsets) == 0 || 2*len(offsets) < instances && now < e.started+estimateWait {
		return 0, false
	}
	slices.Sort(offsets)
	return now + offsets[(len(offsets)-1)/2], true
}
