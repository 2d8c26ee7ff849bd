package consensus

import (
	"math"
	"slices"
	"time"
)

// replicationState is the mode in which the leader sends to a member.
type replicationState uint8

const (
	// probing sends one message at a time until the matching index is known.
	probing replicationState = iota
	// streaming pipelines messages within the window.
	streaming
	// installing waits until a snapshot is acknowledged.
	installing
)

// neverAcked is the ackedAt of a member that has not replied in this term.
const neverAcked = time.Duration(math.MinInt64 / 2)

// progress is the leader's view of one member.
type progress struct {
	// match is the last index known to be durable at the member.
	match uint64
	// next is the index of the next entry to send.
	next  uint64
	state replicationState
	// paused suspends probing until a reply or the next heartbeat.
	paused bool
	// inFlight holds the last index of each unacknowledged message with entries,
	// in ascending order.
	inFlight []uint64
	// ackedAt is the latest send time (SentAt) that the member has acknowledged.
	ackedAt time.Duration
	// snapshotSentAt is when the last snapshot was sent.
	snapshotSentAt time.Duration
	// arriveBy is until when the entries that were sent are assumed to be on their way. A
	// heartbeat may overtake them.
	arriveBy time.Duration
	// probeLast is the last index of the entries in the current probe, 0 without any.
	probeLast uint64
}

// recordSent records that entries were sent which take a time to arrive, up to limit from
// now on with those before.
func (p *progress) recordSent(now, transfer, limit time.Duration) {
	p.arriveBy = min(max(now, p.arriveBy)+transfer, now+limit)
}

// underWay reports whether entries are on their way to the member.
func (p *progress) underWay(now time.Duration) bool { return now < p.arriveBy }

func (p *progress) probe(next uint64) {
	p.state = probing
	p.next = max(next, p.match+1)
	p.paused = false
	p.inFlight = nil
	p.arriveBy, p.probeLast = 0, 0
}

func (p *progress) stream() {
	p.state = streaming
	p.next = p.match + 1
	p.paused = false
	p.inFlight = nil
	p.arriveBy, p.probeLast = 0, 0
}

// answersProbe reports whether an acknowledgement up to index answers the current probe.
func (p *progress) answersProbe(index uint64) bool {
	return p.state == probing && index+1 >= p.next && index >= p.probeLast
}

// recordAck records that the member's log is durable up to index, and reports
// whether match advanced.
func (p *progress) recordAck(index uint64) (advanced bool) {
	p.inFlight = slices.DeleteFunc(p.inFlight, func(last uint64) bool { return last <= index })
	if index <= p.match {
		return false
	}
	p.match = index
	p.next = max(p.next, index+1)
	if p.state == streaming && len(p.inFlight) == 0 {
		p.arriveBy = 0
	}
	return true
}

// canSend reports whether another message may be sent now.
func (p *progress) canSend(window int) bool {
	switch p.state {
	case probing:
		return !p.paused
	case streaming:
		return len(p.inFlight) < window
	}
	return false
}
