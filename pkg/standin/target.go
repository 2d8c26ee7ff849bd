package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// restartRetryDelay is the delay before listening on a target's port is retried.
const restartRetryDelay = 50 * time.Millisecond

// target simulates one back-end process: an HTTP server that can crash and
// restart on its port.
type target struct {
	// Target is immutable once the target serves.
	model.Target
	collection *Collection
	standin    *Standin
	counters   counters
	warmUp     warmUp
	workers    *workers

	// contents holds the leaf content of each snapshot that the target holds.
	contents  atomic.Pointer[map[model.SnapshotID]*leafContent]
	behaviour atomic.Pointer[behaviour]
	boot      atomic.Pointer[model.BootID]
	// previousRequest is the latest query answered, for ReplySwap.
	previousRequest atomic.Pointer[leafRequest]

	mu        sync.Mutex
	server    *http.Server // nil while down
	cancel    context.CancelFunc
	bootCount int
	faults    []*activeFault
	// listed and leaving determine the target's entry in the platform's list.
	listed, leaving bool
}

func newTarget(s *Standin, c *Collection, t model.Target) *target {
	created := &target{Target: t, collection: c, standin: s, listed: true}
	created.warmUp.settings, created.warmUp.epoch = c.Cold, time.Now()
	created.workers = newWorkers(c.Concurrency, c.Queue)
	created.behaviour.Store(newBehaviour(nil))
	created.contents.Store(&map[model.SnapshotID]*leafContent{})
	created.warmUp.reset()
	return created
}

// listen opens the target's port. It replaces port 0 by the port that the
// operating system chose, so that a restart uses the same port.
func (t *target) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", t.Address.String())
	if err != nil {
		return nil, fmt.Errorf("listen for target %s: %w", t.ID, err)
	}
	if t.Address.Port() == 0 {
		t.Address = l.Addr().(*net.TCPAddr).AddrPort()
	}
	return &limitedListener{
		Listener:    l,
		limit:       t.collection.Connections,
		connectTime: t.collection.ConnectTime.Std(),
		counters:    &t.counters,
	}, nil
}

// startServer starts serving on the listener under a new boot ID.
func (t *target) startServer(l net.Listener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bootCount++
	boot := model.BootID(fmt.Sprintf("%s#%d", t.ID, t.bootCount))
	t.boot.Store(&boot)
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{
		Handler:     t,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	t.server, t.cancel = server, cancel
	go server.Serve(l) // returns when the listener is closed
}

// restart starts a target that is down. The target is cold and has a new boot
// ID.
func (t *target) restart() {
	if t.isUp() || t.standin.isStopped() {
		return
	}
	l, err := t.listen()
	if err != nil {
		time.AfterFunc(restartRetryDelay, t.restart)
		return
	}
	t.warmUp.markCold()
	t.warmUp.recordColdSignal() // clients noticed the connections that the crash closed
	t.startServer(l)
}

// crash closes the port and every connection and cancels all requests in flight.
// It counts the crash before any client can notice it.
func (t *target) crash(restartAfter time.Duration) {
	if !t.stop(func() { t.counters.crashes.Add(1) }) {
		return
	}
	if restartAfter > 0 {
		time.AfterFunc(restartAfter, t.restart)
	}
}

// stop calls beforeClose, closes the server and reports whether it was up. If it
// was down, stop does nothing.
func (t *target) stop(beforeClose func()) bool {
	t.mu.Lock()
	server, cancel := t.server, t.cancel
	t.server = nil
	t.mu.Unlock()
	if server == nil {
		return false
	}
	beforeClose()
	cancel()
	server.Close() // errors from closing sockets are ignored
	return true
}

func (t *target) isUp() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.server != nil
}

// setFault adds a persistent fault and replaces any fault of the same name.
func (t *target) setFault(f Fault) *activeFault {
	active := &activeFault{
		Fault:          f,
		setAt:          time.Now(),
		requestsBefore: t.counters.requests.Load(),
		hints:          t.hints(t.behaviour.Load()),
		cleared:        make(chan struct{}),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeFaults(func(old *activeFault) bool { return old.name() == f.name() })
	t.faults = append(t.faults, active)
	t.behaviour.Store(newBehaviour(slices.Clone(t.faults)))
	return active
}

// clearFaults removes the persistent faults that match.
func (t *target) clearFaults(match func(*activeFault) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeFaults(match)
	t.behaviour.Store(newBehaviour(slices.Clone(t.faults)))
}

func (t *target) removeFaults(match func(*activeFault) bool) {
	kept := t.faults[:0]
	for _, f := range t.faults {
		if match(f) {
			close(f.cleared)
			continue
		}
		kept = append(kept, f)
	}
	clear(t.faults[len(kept):])
	t.faults = kept
}

// hold makes the target hold a snapshot if the snapshot has its leaf. With
// exclusive set, the target drops all other snapshots.
func (t *target) hold(s model.SnapshotID, exclusive bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := make(map[model.SnapshotID]*leafContent)
	if !exclusive {
		for id, c := range *t.contents.Load() {
			held[id] = c
		}
	}
	if c := t.standin.partitionMaps.leaf(t.Collection, s, t.Leaf); c != nil {
		held[s] = c
	}
	t.contents.Store(&held)
}

// heldSnapshots returns the IDs of the snapshots held, sorted.
func (t *target) heldSnapshots() []model.SnapshotID {
	held := *t.contents.Load()
	ids := make([]model.SnapshotID, 0, len(held))
	for id := range held {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// loopback returns a loopback address with the given port.
func loopback(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
}
