package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/model"
)

// Standin runs the HTTP servers of all targets, the platform's target list and
// the control API.
type Standin struct {
	settings      *Settings
	start         time.Time
	targets       []*target
	partitionMaps *partitionMaps
	leafStrings   leafStrings
	// seenRequests tells hedges and retries from the first request on a leaf.
	seenRequests *recentSet[leafRequestKey]
	// startedRequests holds the IDs of requests that some target started to
	// process.
	startedRequests *recentSet[string]
	orders          *orderRecorder
	list            laggingList
	platform        net.Listener
	control         net.Listener
	publishMu       sync.Mutex
	stopped         atomic.Bool

	// resetMu guards resetCount and keeps a reset and faults that are set gradually
	// (Fault.Over) from running at the same time.
	resetMu sync.Mutex
	// resetCount lets a delayed fault detect that a reset has happened since it
	// was scheduled.
	resetCount int
}

// New opens all ports of the stand-in and starts its targets. Run serves the
// platform's list and the control API.
func New(settings *Settings) (*Standin, error) {
	s := &Standin{
		settings:        settings,
		start:           time.Now(),
		partitionMaps:   newPartitionMaps(settings.Collections),
		leafStrings:     newLeafStrings(settings.Collections),
		seenRequests:    newRecentSet[leafRequestKey](),
		startedRequests: newRecentSet[string](),
		orders:          newOrderRecorder(),
	}
	s.list.lag = settings.ListLag.Std()
	if err := s.open(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *Standin) open() error {
	port := s.settings.FirstPort
	for i := range s.settings.Collections {
		for _, t := range s.newTargets(&s.settings.Collections[i]) {
			t.Address = loopback(port)
			if port > 0 {
				port++
			}
			if err := s.startTarget(t); err != nil {
				return err
			}
		}
	}
	var err error
	if s.platform, err = net.Listen("tcp", s.settings.Platform.String()); err != nil {
		return fmt.Errorf("listen on platform address: %w", err)
	}
	if s.control, err = net.Listen("tcp", s.settings.Control.String()); err != nil {
		return fmt.Errorf("listen on control address: %w", err)
	}
	return s.publishList()
}

func (s *Standin) startTarget(t *target) error {
	l, err := t.listen()
	if err != nil {
		return err
	}
	t.hold(t.collection.Snapshots[0].ID, true)
	t.startServer(l)
	s.targets = append(s.targets, t)
	return nil
}

// newTargets creates the targets of a collection. The slots of a leaf are
// distributed over the availability zones.
func (s *Standin) newTargets(c *Collection) []*target {
	var targets []*target
	for v, version := range c.Versions {
		for i, leaf := range c.leafIDs(c.maxLeaves()) {
			for slot := range c.Slots {
				id := model.NewTargetID(c.ID, leaf, slot+1)
				if v > 0 {
					id += "@" + model.TargetID(version)
				}
				targets = append(targets, newTarget(s, c, model.Target{
					ID:               id,
					Collection:       c.ID,
					Leaf:             leaf,
					Slot:             slot + 1,
					AvailabilityZone: c.AvailabilityZones[(i+slot)%len(c.AvailabilityZones)],
					Version:          version,
				}))
			}
		}
	}
	return targets
}

// PlatformAddress returns the address that serves the platform's list.
func (s *Standin) PlatformAddress() netip.AddrPort { return addressOf(s.platform) }

// ControlAddress returns the address of the control API.
func (s *Standin) ControlAddress() netip.AddrPort { return addressOf(s.control) }

func addressOf(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

// Run serves the platform's list and the control API and runs the fault
// schedule until ctx is done.
func (s *Standin) Run(ctx context.Context) error {
	defer s.close()
	var g run.Group
	g.Add(serveActor(s.platform, s.platformHandler()))
	g.Add(serveActor(s.control, s.controlHandler()))
	g.Add(contextActor(ctx, s.runSchedule))
	events.Emit(events.StandinServing, len(s.targets), s.PlatformAddress().String())
	return g.Run()
}

func serveActor(l net.Listener, h http.Handler) (execute func() error, interrupt func(error)) {
	server := &http.Server{Handler: h}
	execute = func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
	return execute, func(error) { server.Close() } // errors from closing sockets are ignored
}

func contextActor(parent context.Context, f func(context.Context) error) (execute func() error, interrupt func(error)) {
	ctx, cancel := context.WithCancel(parent)
	return func() error { return f(ctx) }, func(error) { cancel() }
}

func (s *Standin) isStopped() bool { return s.stopped.Load() }

func (s *Standin) close() {
	s.stopped.Store(true)
	for _, t := range s.targets {
		t.stop(func() {})
	}
	for _, l := range []net.Listener{s.platform, s.control} {
		if l != nil {
			l.Close() // an error means that it is already closed
		}
	}
}
