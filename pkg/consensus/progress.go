package consensus

import (
	"math"
	"slices"
	"time"
)

// replicationState says how the leader sends to a member.
type replicationState uint8

const (
	// probing sends one message at a time until the logs are known to agree.
	probing replicationState = iota
	// streaming sends ahead of the replies, within a window.
	streaming
	// installing waits until a snapshot is acknowledged.
	installing
)

// neverAcked is the ackedAt of a member that has not answered in this term.
const neverAcked = time.Duration(math.MinInt64 / 2)

// progress is the leader's view of one member.
type progress struct {
	// match is the last entry known to be durable at the member.
	match uint64
	// next is the first entry to send.
	next  uint64
	state replicationState
	// paused holds back a probe until a reply or the next heartbeat.
	paused bool
	// inFlight holds the last index of each message with entries that is not
	// acknowledged, in rising order.
	inFlight []uint64
	// ackedAt is the latest sending time that the member has answered.
	ackedAt time.Duration
	// installSince is when the snapshot was sent.
	installSince time.Duration
}

func (p *progress) probe(next uint64) {
	p.state = probing
	p.next = max(next, p.match+1)
	p.paused = false
	p.inFlight = nil
}

func (p *progress) stream() {
	p.state = streaming
	p.next = p.match + 1
	p.paused = false
	p.inFlight = nil
}

// acked notes that everything up to index is durable at the member.
func (p *progress) acked(index uint64) (advanced bool) {
	p.inFlight = slices.DeleteFunc(p.inFlight, func(last uint64) bool { return last <= index })
	if index <= p.match {
		return false
	}
	p.match = index
	p.next = max(p.next, index+1)
	return true
}

// canSend reports whether the window has room.
func (p *progress) canSend(window int) bool {
	switch p.state {
	case probing:
		return !p.paused
	case streaming:
		return len(p.inFlight) < window
	}
	return false
}
