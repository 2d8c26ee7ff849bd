package catalog

import (
	"golang.org/x/time/rate"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/model"
)

// RefusalLog logs refused targets at a bounded rate, since a list that holds one is
// read again and again.
type RefusalLog struct{ limiter *rate.Limiter }

// Bounds on the log lines about refused targets of one log.
const (
	refusalLinesPerSecond = 0.2
	refusalLinesBurst     = 8
)

// NewRefusalLog returns a log.
func NewRefusalLog() *RefusalLog {
	return &RefusalLog{limiter: rate.NewLimiter(refusalLinesPerSecond, refusalLinesBurst)}
}

// Add logs why a target was refused.
func (l *RefusalLog) Add(reason error) {
	if l.limiter.Allow() {
		events.Emit(events.PlatformEntryInvalid, reason)
	}
}

// ValidTargets returns the targets that can be used and passes the reasons why the
// others cannot to refuse.
func ValidTargets(targets []model.Target, refuse func(error)) []model.Target {
	valid := make([]model.Target, 0, len(targets))
	for _, t := range targets {
		if err := t.Check(); err != nil {
			refuse(err)
			continue
		}
		valid = append(valid, t)
	}
	return valid
}
