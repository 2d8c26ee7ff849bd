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
	// inFlight holds the unacknowledged messages with entries, in ascending order.
	inFlight []sentEntries
	// path is the estimate of how fast entries reach the member.
	path pathEstimate
	// ackedAt is the latest send time (SentAt) that the member has acknowledged.
	ackedAt time.Duration
	// snapshotSentAt is when the last snapshot was sent, and snapshotIndex the last entry
	// that it covers.
	snapshotSentAt time.Duration
	snapshotIndex  uint64
	// snapshotFailed is set if the last snapshot is known not to have arrived.
	snapshotFailed bool
	// snapshotDelivered is set once the last snapshot has arrived, at snapshotDeliveredAt.
	snapshotDelivered   bool
	snapshotDeliveredAt time.Duration
	// arriveBy is until when the entries that were sent are assumed to be on their way, 0
	// without any. A heartbeat may overtake them.
	arriveBy time.Duration
	// probeLast is the last index of the entries in the current probe, 0 without any.
	probeLast uint64
}

// sentEntries describes a message with entries.
type sentEntries struct {
	// last is the index of the last entry.
	last   uint64
	sentAt time.Duration
	bytes  int
	// backlog is the number of unacknowledged bytes once this message was sent.
	backlog int
	// delivered is set once the message has arrived, although it may not be durable yet.
	delivered bool
}

// unacknowledged returns the number of bytes in messages that are not acknowledged.
func (p *progress) unacknowledged() int {
	total := 0
	for _, s := range p.inFlight {
		total += s.bytes
	}
	return total
}

// undelivered returns the number of bytes in messages that are not known to have arrived.
func (p *progress) undelivered() int {
	total := 0
	for _, s := range p.inFlight {
		if !s.delivered {
			total += s.bytes
		}
	}
	return total
}

// recordDelivery records that a message with entries has arrived. Once all have, the reply
// is waited for no longer than replyTimeout.
func (p *progress) recordDelivery(now, replyTimeout time.Duration, message sentEntries) {
	for i, s := range p.inFlight {
		if s.last == message.last && s.sentAt == message.sentAt {
			p.inFlight[i].delivered = true
		}
	}
	if p.undelivered() == 0 {
		p.arriveBy = min(p.arriveBy, now+replyTimeout)
	}
}

// recordSent records a message with entries, and until when it counts as on its way.
// latency is the time that a message without entries may take.
func (p *progress) recordSent(now, latency time.Duration, s sentEntries) {
	s.backlog = p.unacknowledged() + s.bytes
	p.inFlight = append(p.inFlight, s)
	p.arriveBy = now + latency + p.path.transferTime(s.backlog)
}

// sentEntriesAt reports whether a message on its way was sent at this time.
func (p *progress) sentEntriesAt(t time.Duration) bool {
	return slices.ContainsFunc(p.inFlight, func(s sentEntries) bool { return s.sentAt == t })
}

// recordArrival raises the estimate of the path if the acknowledged message arrived early.
func (p *progress) recordArrival(now, latency time.Duration, reply *AppendReply) {
	for _, s := range p.inFlight {
		if s.last == reply.Index && s.sentAt == reply.SentAt {
			p.path.recordArrival(s.backlog, now-s.sentAt, latency)
		}
	}
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
// whether match advanced. What follows is given its time from now on.
func (p *progress) recordAck(now, latency time.Duration, index uint64) (advanced bool) {
	before := len(p.inFlight)
	p.inFlight = slices.DeleteFunc(p.inFlight, func(s sentEntries) bool { return s.last <= index })
	if len(p.inFlight) == 0 {
		p.arriveBy = 0
	} else if len(p.inFlight) < before && p.arriveBy > 0 {
		p.arriveBy = now + latency + p.path.transferTime(p.undelivered())
	}
	if index <= p.match {
		return false
	}
	p.match = index
	p.next = max(p.next, index+1)
	return true
}

// canSend reports whether another message may be sent now.
func (p *progress) canSend(window int) bool {
	switch p.state {
	case probing:
		return !p.paused
	case streaming:
		return len(p.inFlight) == 0 || len(p.inFlight) < window && p.unacknowledged() < p.path.window
	}
	return false
}
