package admission

import (
	"time"

	"golang.org/x/time/rate"

	"radishturn.example/radishturn/pkg/model"
)

// CallerLimits enforces this instance's share of the callers' fleet-wide rate
// limits. Its size is bounded by the number of callers that have a limit.
type CallerLimits struct {
	buckets map[model.CallerID]*rate.Limiter
}

// NewCallerLimits returns CallerLimits without any callers.
func NewCallerLimits() *CallerLimits {
	return &CallerLimits{buckets: make(map[model.CallerID]*rate.Limiter)}
}

// Allow reports whether the limit allows a request of a caller whose share is
// perSecond, and counts the request if so. Otherwise it returns how long the
// caller should wait.
func (l *CallerLimits) Allow(caller model.CallerID, perSecond float64, now time.Duration) (time.Duration, bool) {
	at := time.Unix(0, 0).Add(now)
	bucket := l.buckets[caller]
	if bucket == nil {
		bucket = rate.NewLimiter(rate.Limit(perSecond), burstFor(perSecond))
		l.buckets[caller] = bucket
	}
	if bucket.Limit() != rate.Limit(perSecond) {
		bucket.SetLimitAt(at, rate.Limit(perSecond))
		bucket.SetBurstAt(at, burstFor(perSecond))
	}
	if bucket.AllowN(at, 1) {
		return 0, true
	}
	return time.Duration(float64(time.Second) / perSecond), false
}

// Retain drops the callers for which keep returns false, which are those that no
// longer have a limit.
func (l *CallerLimits) Retain(keep func(model.CallerID) bool) {
	for caller := range l.buckets {
		if !keep(caller) {
			delete(l.buckets, caller)
		}
	}
}

// burstFor returns the burst of a caller: the requests of one second, and at
// least one.
func burstFor(perSecond float64) int { return max(1, int(perSecond)) }
