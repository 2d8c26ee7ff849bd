package consensus

import "time"

const (
	// snapshotRetryTimeouts is the number of election timeouts that the leader waits at
	// least for the reply to a snapshot before it resends it.
	snapshotRetryTimeouts = 10
	// minSnapshotSaving is the least ratio of the size of entries to that of the snapshot
	// which covers them at which the snapshot is sent in their place.
	minSnapshotSaving = 2
)

// needsSnapshot reports whether the snapshot is to be sent in place of entries: if the
// member needs entries that were discarded, or if it lacks more entries than fit in the
// window and the snapshot is much smaller than those that it covers.
func (r *Raft) needsSnapshot(p *progress) bool {
	if _, ok := r.log.term(p.next - 1); !ok {
		return true
	}
	limit := max(minSnapshotSaving*r.snapshotBytes, p.path.window)
	return r.log.exceeds(p.next, r.snapshot.Index, limit)
}

// heartbeatDuringSnapshot keeps the member from campaigning and retries a snapshot
// that was not acknowledged in time.
func (r *Raft) heartbeatDuringSnapshot(now time.Duration, m Member, p *progress) {
	if p.snapshotFailed && r.isActive(now, m) || now >= r.snapshotDue(p) {
		p.probe(p.match + 1)
		r.replicate(now, m, p)
		return
	}
	r.sendEarly(Message{To: m, Append: &AppendRequest{SentAt: now}})
}

// snapshotDue returns when a snapshot that is not acknowledged is sent again.
func (r *Raft) snapshotDue(p *progress) time.Duration {
	timeout := snapshotRetryTimeouts * r.cfg.ElectionTimeout
	if p.snapshotDelivered {
		return p.snapshotDeliveredAt + timeout
	}
	return p.snapshotSentAt + max(timeout, p.path.transferTime(r.snapshotBytes))
}

func (r *Raft) sendSnapshot(now time.Duration, m Member, p *progress) {
	p.state = installing
	p.snapshotSentAt, p.snapshotIndex, p.snapshotFailed = now, r.snapshot.Index, false
	p.snapshotDelivered = false
	p.inFlight, p.arriveBy = nil, 0
	r.sendEarly(Message{To: m, Snapshot: &SnapshotRequest{Snapshot: Snapshot{Meta: r.snapshot}, SentAt: now}})
}

func (r *Raft) stepSnapshotReply(now time.Duration, m Message) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.ackedAt = max(p.ackedAt, m.SnapshotReply.SentAt)
	advanced := p.recordAck(now, r.messageLatency(), m.SnapshotReply.Index)
	if p.state == installing {
		p.probe(p.match + 1)
	}
	if advanced {
		r.advanceCommit(now)
	}
	if r.role == Leader {
		r.replicate(now, m.From, p)
	}
}
