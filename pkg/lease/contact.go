package lease

import (
	"sync/atomic"
	"time"

	"radishturn.example/radishturn/pkg/boottime"
	"radishturn.example/radishturn/pkg/control/wire"
)

// lastRenewal holds when the newest renewals were sent, on a clock that goes on while the
// machine is suspended: the newest that succeeded, and the newest that has ended.
type lastRenewal struct {
	now              func() time.Duration
	succeeded, ended atomic.Int64
}

func newLastRenewal() *lastRenewal { return &lastRenewal{now: boottime.Clock()} }

// recordSuccess records that a renewal sent at the given time succeeded.
func (l *lastRenewal) recordSuccess(sent time.Duration) { l.succeeded.Store(int64(sent)) }

// recordEnd records that a renewal sent at the given time has ended.
func (l *lastRenewal) recordEnd(sent time.Duration) { l.ended.Store(int64(sent)) }

// since returns the time since a renewal, or since the start if there was none.
func (l *lastRenewal) since(sent *atomic.Int64) time.Duration {
	return l.now() - time.Duration(sent.Load())
}

// SinceRenewal implements view.Contact.
func (m *Module) SinceRenewal() time.Duration { return m.lastRenewal.since(&m.lastRenewal.succeeded) }

// SinceAttempt implements view.Contact.
func (m *Module) SinceAttempt() time.Duration { return m.lastRenewal.since(&m.lastRenewal.ended) }

// isCurrent reports whether the view holds all that a reply, which was applied, told.
// It does not if the leader's change builds on a state other than the one held; the
// next renewal then asks for the full state.
func (h *holder) isCurrent(r *wire.RenewalReply) bool {
	return !r.Challenge && r.Sequence == h.appliedSequence && h.configVersion > 0 &&
		(r.Delta == nil || r.Delta.To <= h.configVersion)
}
