package events

import "golang.org/x/time/rate"

// Bounds on the events of one ErrorLog.
const (
	errorsPerSecond = 0.2
	errorsBurst     = 8
)

// ErrorLog writes one kind of event for errors that recur, such as those in a list that
// is read again and again, at a bounded rate. The only field of the event is the error.
type ErrorLog struct {
	number  Number
	limiter *rate.Limiter
}

// NewErrorLog returns a log that writes event n.
func NewErrorLog(n Number) *ErrorLog {
	return &ErrorLog{number: n, limiter: rate.NewLimiter(errorsPerSecond, errorsBurst)}
}

// Add writes errors as far as the rate allows.
func (l *ErrorLog) Add(errs ...error) {
	for _, err := range errs {
		if !l.limiter.Allow() {
			return
		}
		Emit(l.number, err)
	}
}
