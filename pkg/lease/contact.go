package lease

import (
	"sync/atomic"
	"time"

	"radishturn.example/radishturn/pkg/boottime"
	"radishturn.example/radishturn/pkg/control/wire"
)

// lastRenewal is when the newest renewal that succeeded was sent, on a clock that goes
// on while the machine is suspended.
type lastRenewal struct {
	now    func() time.Duration
	sentAt atomic.Int64
}

func newLastRenewal() *lastRenewal { return &lastRenewal{now: boottime.Clock()} }

// record records that a renewal sent at the given time succeeded.
func (l *lastRenewal) record(sent time.Duration) { l.sentAt.Store(int64(sent)) }

// age returns the time since then, or since the start if there was none.
func (l *lastRenewal) age() time.Duration { return l.now() - time.Duration(l.sentAt.Load()) }

// SinceRenewal implements view.Contact.
func (m *Module) SinceRenewal() time.Duration { return m.lastRenewal.age() }

// isCurrent reports whether the view holds all that a reply, which was applied, told.
// It does not if the leader's change builds on a state other than the one held; the
// next renewal then asks for the full state.
func (h *holder) isCurrent(r *wire.RenewalReply) bool {
	return !r.Challenge && r.Sequence == h.appliedSequence && h.configVersion > 0 &&
		(r.Delta == nil || r.Delta.To <= h.configVersion)
}
