package lease

import (
	"time"

	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/usage"
)

// maxClockRoundTrip is the longest time between a renewal and its reply from which true
// time is taken, unless none is known yet. The error is at most half of it.
const maxClockRoundTrip = 100 * time.Millisecond

// usageSender sends counts of usage and the wall clock with the renewals, and receives
// true time with the replies. A nil *usageSender does nothing. It is used only by
// renewLoop, apart from the counter.
type usageSender struct {
	clocks  usage.Clocks
	counter *usage.Counter
}

// newUsageSender returns nil if usage is not reported.
func newUsageSender(d *settings.Duties, clocks usage.Clocks) *usageSender {
	if !d.ReportsUsage() {
		return nil
	}
	return &usageSender{clocks: clocks, counter: usage.NewCounter(d.UsageWindow.Std(), clocks.Boot(), clocks.Wall())}
}

// add adds the usage and the wall clock to a renewal that is about to be sent, and
// returns the time on the boot-time clock.
func (u *usageSender) add(r *wire.Renewal) time.Duration {
	if u == nil {
		return 0
	}
	now := u.clocks.Boot()
	r.Usage, r.WallClock = u.counter.Report(now), u.clocks.Wall()
	return now
}

// applyReply takes true time from the reply to a renewal that was sent at a time on the
// boot-time clock. It reports whether the leader or its term is new, so that the next
// renewal has all windows and should not wait.
func (u *usageSender) applyReply(sent time.Duration, r *wire.Renewal, reply *wire.RenewalReply) bool {
	if u == nil || r.Usage == nil || reply.UsageTerm == 0 {
		return false
	}
	took := u.clocks.Boot() - sent
	if reply.TrueTime > 0 && (took <= maxClockRoundTrip || !u.counter.KnowsTrueTime()) {
		u.counter.SetTrueTime(sent+took/2, reply.TrueTime)
	}
	return u.counter.Acknowledge(r.Usage, reply.UsageTerm)
}

// UseClocks replaces the clocks by which usage is counted, before the module runs, and
// returns the counter; nil if usage is not reported.
func (m *Module) UseClocks(d *settings.Duties, clocks usage.Clocks) *usage.Counter {
	if m.usage = newUsageSender(d, clocks); m.usage == nil {
		return nil
	}
	return m.usage.counter
}
