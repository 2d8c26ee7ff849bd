package fanout

import (
	"context"
	"slices"
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/warmth"
	"radishturn.example/radishturn/pkg/targetproto"
)

const (
	// healthInterval is how often the health hint of each target is read.
	healthInterval = time.Second
	// healthTimeout bounds one read.
	healthTimeout = 800 * time.Millisecond
	// healthWorkers bounds the reads at a time.
	healthWorkers = 16
	// drainOutranksHint is how long a refusal outranks hints that the target is
	// not draining.
	drainOutranksHint = 5 * time.Second
)

// ReadHealth reads the health hint of every target once.
func (s *Service) ReadHealth(ctx context.Context) {
	work := make(chan *targetState)
	var workers sync.WaitGroup
	for range healthWorkers {
		workers.Go(func() {
			for t := range work {
				s.readHealthOf(ctx, t)
			}
		})
	}
	for _, t := range s.allTargets() {
		work <- t
	}
	close(work)
	workers.Wait()
}

// readHealthSoon reads the hint of a target that has just refused a snapshot,
// since the last hint is outdated then. At most healthWorkers such reads run.
func (s *Service) readHealthSoon(t *targetState) {
	select {
	case s.soonReads <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-s.soonReads }()
		s.readHealthOf(context.Background(), t)
	}()
}

func (s *Service) allTargets() []*targetState {
	var all []*targetState
	for _, c := range s.collections {
		c.mu.Lock()
		for _, t := range c.targets {
			all = append(all, t)
		}
		c.mu.Unlock()
	}
	return all
}

// readHealthOf reads a hint over a connection that no request needs. A busy
// target tells more by its answers than by its hint.
func (s *Service) readHealthOf(ctx context.Context, t *targetState) {
	if !t.leaf.reserveForHealth(t, s.now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	health, err := t.client.Health(ctx)
	known := t.leaf.collection.snapshotIDs()
	change, news := t.leaf.hinted(t, health, err, known, s.now())
	if news {
		t.leaf.collection.dirty.Store(true)
	}
	if err == nil {
		s.reportWarmth(t, health.Boot, change)
	}
}

func (l *leaf) reserveForHealth(t *targetState, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.alone || t.readingHealth || !t.limit.Allows(t.inFlight, now) {
		return false
	}
	t.readingHealth = true
	t.inFlight++
	return true
}

// hinted takes in a hint. It says nothing about whether the target is
// healthy, since the hint lags or lies about that. news is set if the hint
// changes what is known of the snapshots.
func (l *leaf) hinted(t *targetState, h *targetproto.Health, err error, known []model.SnapshotID, now time.Duration) (change warmth.Change, news bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.readingHealth = false
	t.inFlight--
	l.wakeOne()
	if err != nil {
		return warmth.Unchanged, false
	}
	for _, id := range known {
		r := t.record(id)
		before := r.Holding(now)
		r.ApplyHint(slices.Contains(h.Snapshots, id), now)
		news = news || r.Holding(now) != before
	}
	for id := range t.snapshots {
		if !slices.Contains(known, id) {
			delete(t.snapshots, id)
		}
	}
	l.hintedDrain(t, h, now)
	return l.noteWarmth(t, t.warmth.ApplyHint(h.Boot), now), news
}

func (l *leaf) hintedDrain(t *targetState, h *targetproto.Health, now time.Duration) {
	draining := h.State == targetproto.StateDraining
	t.drainHinted = draining
	restarted := h.Boot != "" && t.drainingBoot != "" && h.Boot != t.drainingBoot
	if t.draining && !draining && (restarted || now-t.drainingAt >= drainOutranksHint) {
		t.draining = false
	}
}

func (c *collection) snapshotIDs() []model.SnapshotID {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]model.SnapshotID, len(c.snapshots))
	for i := range c.snapshots {
		ids[i] = c.snapshots[i].ID
	}
	return ids
}

func (s *Service) reportMismatch(t *targetState, request model.RequestID, err *failure.Error) {
	events.Emit(events.ReplyDropped, t.target.ID, request, err)
}
