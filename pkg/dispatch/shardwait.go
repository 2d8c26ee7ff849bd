package dispatch

import (
	"math"
	"sync/atomic"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/queue"
)

// shardWait is a query's wait for a connection to a target of one shard. It is in the
// queue of the shard's service, beside the calls to that service.
type shardWait struct {
	queue  *connectionQueue
	ticket *queue.Ticket
	// woken is set while the shard is in query.freed, so that it is there only once.
	woken atomic.Bool
}

// awaitShard has the query woken when a connection to a shard may be free. Until then, or
// until another target may be used or connectionWait has passed, or the targets' pause of new
// connections if it is longer, the shard is not tried again.
func (q *query) awaitShard(i int, now time.Duration) {
	current, service := q.engine.current(), q.call.Route.Fanout.Shards[i]
	pause := current.connectionWait(service, now)
	if q.run.InFlight(i) || q.shardWaits[i] != nil && pause == 0 {
		return
	}
	if q.shardWaits[i] == nil {
		q.joinShard(i, service, now)
		// A connection that was freed before the query joined the queue has not woken it.
		if current.anyConnection(service) && q.trySend(i, now) {
			return
		}
	}
	until := now + max(connectionWait, pause)
	if at := current.usableAt(service, now); at > now {
		until = min(until, at)
	}
	q.run.RecordWaiting(i, until)
}

// joinShard adds the query to those that wait for a connection to a shard.
func (q *query) joinShard(i int, service model.ServiceID, now time.Duration) {
	if q.shardWaits == nil {
		q.shardWaits = make(map[int]*shardWait)
	}
	w := &shardWait{queue: q.engine.connectionQueues.of(service)}
	request := q.schedule(now)
	// The query is refused as a whole or not at all.
	request.LatestStart, request.RefuseBy = math.MaxInt64, 0
	w.ticket, _, _ = w.queue.join(q.engine.current().services[service].maxConnections, request, func() {
		if !w.woken.Swap(true) {
			select {
			case q.freed <- i:
			default:
				// The shard is tried again when its wait ends.
			}
		}
	})
	q.shardWaits[i] = w
}

// wakeShard lets a shard be tried again, and sends what is due. Then it wakes the next one
// that waits for a connection to the shard.
func (q *query) wakeShard(i int) {
	woken := q.leaveShard(i)
	if woken == nil {
		return
	}
	q.run.RecordFreed(i)
	q.sendDue(q.engine.now())
	if !q.engine.current().anyConnection(q.call.Route.Fanout.Shards[i]) {
		return
	}
	var after *queue.Ticket
	if again := q.shardWaits[i]; again != nil {
		after = again.ticket
	}
	woken.queue.wakeAfter(after)
}

// leaveShard ends the wait for a connection to a shard, if there is one.
func (q *query) leaveShard(i int) *shardWait {
	w := q.shardWaits[i]
	if w != nil {
		delete(q.shardWaits, i)
		w.queue.withdraw(w.ticket)
	}
	return w
}

// leaveShards ends all waits for connections. Others are woken, since it may have been
// this query's turn.
func (q *query) leaveShards() {
	for i := range q.shardWaits {
		q.leaveShard(i).queue.wakeAfter(nil)
	}
}
