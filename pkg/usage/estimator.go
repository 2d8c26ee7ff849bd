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
	// estimateSettle is how long a new leader waits in any case. The first leader of a
	// group does not know how many instances there are, and the first one may be wrong.
	estimateSettle = 300 * time.Millisecond
	// sampleAge is how long the wall clock of an instance counts after its report.
	sampleAge = 30 * time.Second
	// medianAge is how long the median is used; sorting the samples of a large fleet for
	// each renewal would cost the leader much of its time.
	medianAge = 100 * time.Millisecond
)

// Estimator estimates true time on the leader from the wall clocks of all instances.
// Wall clocks of single machines jump by seconds; the median does not, as long as most
// of them are right.
type Estimator struct {
	started time.Duration
	samples map[model.InstanceID]clockSample
	// median is the median of the samples at medianAt; it is computed again once it is
	// older than medianAge, or an instance was added.
	median   time.Duration
	medianAt time.Duration
	counted  int
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
// until half of the instances have reported within estimateSettle, or some within
// estimateWait.
func (e *Estimator) TrueTime(now time.Duration, instances int) (time.Duration, bool) {
	if len(e.samples) != e.counted || now >= e.medianAt+medianAge {
		e.update(now)
	}
	wait := estimateSettle
	if 2*e.counted < instances {
		wait = estimateWait
	}
	if e.counted == 0 || now < e.started+wait {
		return 0, false
	}
	return now + e.median, true
}

// update drops old samples and computes the median of the others.
func (e *Estimator) update(now time.Duration) {
	offsets := make([]time.Duration, 0, len(e.samples))
	for id, s := range e.samples {
		if now-s.at > sampleAge {
			delete(e.samples, id)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	e.counted, e.medianAt = len(offsets), now
	if len(offsets) > 0 {
		slices.Sort(offsets)
		e.median = offsets[(len(offsets)-1)/2]
	}
}
