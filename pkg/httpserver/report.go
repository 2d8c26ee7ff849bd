package httpserver

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"radishturn.example/radishturn/pkg/clientlimit"
	"radishturn.example/radishturn/pkg/events"
)

// Reasons for which heads are refused.
const (
	headTooLong = "too-long"
	headTimeout = "timeout"
)

// eventInterval is the least time between two events of one kind of a listener; the
// counters hold all.
const eventInterval = time.Second

// report counts and logs what is refused to the clients of one listener.
type report struct {
	listener           string
	connections, bytes *metrics.Gauge

	mu sync.Mutex
	// last is when an event of a kind was emitted, and since how many came after it.
	last  map[events.Number]time.Time
	since map[events.Number]int
}

func newReport(listener string) *report {
	return &report{
		listener:    listener,
		connections: metrics.GetOrCreateGauge(fmt.Sprintf("radishturn_client_connections{listener=%q}", listener), nil),
		bytes:       metrics.GetOrCreateGauge(fmt.Sprintf("radishturn_client_held_bytes{listener=%q}", listener), nil),
		last:        make(map[events.Number]time.Time), since: make(map[events.Number]int),
	}
}

func (r *report) count(name, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("radishturn_client_%s_total{listener=%q,reason=%q}", name, r.listener, reason)).Inc()
}

// due returns how many events of a kind one line stands for, or 0 if none is due.
func (r *report) due(n events.Number, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.since[n]++
	if now.Sub(r.last[n]) < eventInterval {
		return 0
	}
	count := r.since[n]
	r.last[n], r.since[n] = now, 0
	return count
}

func (r *report) emit(n events.Number, values ...any) {
	if count := r.due(n, time.Now()); count > 0 {
		events.Emit(n, append([]any{r.listener, count}, values...)...)
	}
}

func (r *report) held(connections int, bytes int64) {
	r.connections.Set(float64(connections))
	r.bytes.Set(float64(bytes))
}

func (r *report) refused(reason clientlimit.Reason) {
	r.count("connections_refused", string(reason))
	r.emit(events.ClientConnectionsRefused, string(reason))
}

func (r *report) evicted(reason clientlimit.Reason, connections int, bytes int64) {
	r.count("connections_evicted", string(reason))
	r.emit(events.ClientConnectionsEvicted, string(reason), connections, bytes)
}

func (r *report) headRefused(reason string) {
	r.count("heads_refused", reason)
	r.emit(events.ClientHeadsRefused, reason)
}

func (r *report) bodyRefused(err error) {
	r.count("bodies_refused", "not-read")
	r.emit(events.ClientBodiesRefused, err)
}

func (r *report) requestRefused() {
	r.count("requests_refused", string(clientlimit.ReasonMemory))
	r.emit(events.ClientRequestsRefused, string(clientlimit.ReasonMemory))
}

func (r *report) answerNotRead() {
	r.count("answers_cut", "not-read")
	r.emit(events.ClientAnswersNotRead)
}
