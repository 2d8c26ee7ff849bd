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

// restartRetry is the wait before another try to listen on a target's port.
const restartRetry = 50 * time.Millisecond

// target is one stand-in back-end process: an HTTP server that can crash and
// restart on its port.
type target struct {
	// Target does not change once the target serves.
	model.Target
	collection *Collection
	standin    *Standin
	counters   counters
	warmth     warmth
	workers    *workers

	// contents maps the snapshots held to the target's part of them.
	contents  atomic.Pointer[map[model.SnapshotID]*leafContent]
	behaviour atomic.Pointer[behaviour]
	boot      atomic.Pointer[model.BootID]
	// previous is the newest request served, for replies that are swapped.
	previous atomic.Pointer[leafRequest]

	mu     sync.Mutex
	server *http.Server // nil while down
	cancel context.CancelFunc
	boots  int
	faults []*activeFault
	// listed and leaving are how the platform's list shows the target.
	listed, leaving bool
}

func newTarget(s *Standin, c *Collection, t model.Target) *target {
	created := &target{Target: t, collection: c, standin: s, listed: true}
	created.warmth.settings, created.warmth.origin = c.Cold, time.Now()
	created.workers = newWorkers(c.Concurrency, c.Queue)
	created.behaviour.Store(newBehaviour(nil))
	created.contents.Store(&map[model.SnapshotID]*leafContent{})
	created.warmth.reset()
	return created
}

// listen opens the port of a target; a port of 0 is replaced by the one that
// the operating system chose.
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

// startOn serves on the listener as a new incarnation.
func (t *target) startOn(l net.Listener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.boots++
	boot := model.BootID(fmt.Sprintf("%s#%d", t.ID, t.boots))
	t.boot.Store(&boot)
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{
		Handler:     t,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	t.server, t.cancel = server, cancel
	go server.Serve(l) // ends with the listener
}

// restart starts a target that is down, cold and with a new boot ID.
func (t *target) restart() {
	if t.isUp() || t.standin.isStopped() {
		return
	}
	l, err := t.listen()
	if err != nil {
		time.AfterFunc(restartRetry, t.restart)
		return
	}
	t.warmth.turnCold()
	t.warmth.shown() // by the connections that the crash broke
	t.startOn(l)
}

// crash closes the port and every connection and cancels what is in progress.
// It is counted before any client can notice it.
func (t *target) crash(restartAfter time.Duration) {
	if !t.stop(func() { t.counters.crashes.Add(1) }) {
		return
	}
	if restartAfter > 0 {
		time.AfterFunc(restartAfter, t.restart)
	}
}

// stop closes the server, after a call of before, and reports whether it was up.
func (t *target) stop(before func()) bool {
	t.mu.Lock()
	server, cancel := t.server, t.cancel
	t.server = nil
	t.mu.Unlock()
	if server == nil {
		return false
	}
	before()
	cancel()
	server.Close() // only closes sockets
	return true
}

func (t *target) isUp() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.server != nil
}

// setFault adds a lasting fault; one with the same name is replaced.
func (t *target) setFault(f Fault) *activeFault {
	active := &activeFault{
		Fault:        f,
		since:        time.Now(),
		servedBefore: t.counters.requests.Load(),
		hints:        t.hints(t.behaviour.Load()),
		cleared:      make(chan struct{}),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeFaults(func(old *activeFault) bool { return old.name() == f.name() })
	t.faults = append(t.faults, active)
	t.behaviour.Store(newBehaviour(slices.Clone(t.faults)))
	return active
}

// clearFaults removes the lasting faults that match.
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

// hold makes the target hold a snapshot if its leaf has a part in it; only
// drops the others.
func (t *target) hold(s model.SnapshotID, only bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := make(map[model.SnapshotID]*leafContent)
	if !only {
		for id, c := range *t.contents.Load() {
			held[id] = c
		}
	}
	if c := t.standin.contents.leaf(t.Collection, s, t.Leaf); c != nil {
		held[s] = c
	}
	t.contents.Store(&held)
}

// heldSnapshots returns the snapshots held, in order of ID.
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
