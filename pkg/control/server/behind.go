package server

import "radishturn.example/radishturn/pkg/model"

// renewalsBehind is the number of renewals in a row after which an instance that has not
// taken a change is logged. Each reply brings the change, so one that is not lost leaves
// the instance behind for one renewal.
const renewalsBehind = 4

// lag is how an instance that renews is behind the replicated state.
type lag struct {
	// version is the version that the instance has not taken yet.
	version uint64
	// renewals counts the renewals since the first one without that version.
	renewals int
}

// lags tracks the instances that renew without taking a change.
type lags map[model.InstanceID]lag

// observe records a renewal by an instance that holds one version of the state, while the
// leader has another. It returns the version that the instance does not take, and true
// when that is to be logged.
func (l lags) observe(id model.InstanceID, held, current uint64) (uint64, bool) {
	known, behind := l[id]
	switch {
	case held >= current:
		delete(l, id)
		return 0, false
	case !behind || held >= known.version:
		known = lag{version: current}
	}
	known.renewals++
	l[id] = known
	return known.version, known.renewals == renewalsBehind
}
