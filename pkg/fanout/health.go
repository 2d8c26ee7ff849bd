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
	// healthTimeout bounds one read of a health hint.
	healthTimeout = 800 * time.Millisecond
	// healthWorkers bounds the concurrent reads of health hints.
	healthWorkers = 16
	// drainRefusalPrecedence is how long a refusal by a draining target takes
	// precedence over health hints that it is not draining.
	drainRefusalPrecedence = 5 * time.Second
)

// ReadHealth reads the health hint of every target once.
func (s *Service) ReadHealth(ctx context.Context) {
	work := make(chan *targetState)
	var workers sync.WaitGroup
	for range healthWorkers {
		workers.Go(func() {
			for t := range work {
				s.readTargetHealth(ctx, t)
			}
		})
	}
	for _, t := range s.allTargets() {
		work <- t
	}
	close(work)
	workers.Wait()
}

// readHealthInBackground reads the hint of a target that has just refused a
// snapshot, since its last hint is then outdated. At most healthWorkers such
// reads run at a time; beyond that the read is skipped.
func (s *Service) readHealthInBackground(t *targetState) {
	select {
	case s.extraHealthReads <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-s.extraHealthReads }()
		s.readTargetHealth(context.Background(), t)
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

// readTargetHealth reads the health hint of a target that has a connection to
// spare. It skips a busy target, whose answers say more than its hint.
func (s *Service) readTargetHealth(ctx context.Context, t *targetState) {
	if !t.leaf.reserveHealthRead(t, s.now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	health, err := t.client.Health(ctx)
	known := t.leaf.collection.snapshotIDs()
	change, holdingChanged := t.leaf.applyHealth(t, health, err, known, s.now())
	if holdingChanged {
		t.leaf.collection.replanNeeded.Store(true)
	}
	if err == nil {
		s.reportWarmth(t, health.Boot, change)
	}
}

// reserveHealthRead reserves capacity for the read of a health hint. It reports
// false if the target is busy or a read is in progress.
func (l *leaf) reserveHealthRead(t *targetState, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.alone || t.readingHealth || !t.limit.Allows(t.inFlight, now) {
		return false
	}
	t.readingHealth = true
	t.inFlight++
	return true
}

// applyHealth applies a health hint. It ignores whether the hint calls the target
// healthy, since that can be outdated or wrong. holdingChanged is set if the hint
// changes what is known of the snapshots.
func (l *leaf) applyHealth(t *targetState, h *targetproto.Health, err error, known []model.SnapshotID, now time.Duration) (change warmth.Change, holdingChanged bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.readingHealth = false
	t.inFlight--
	l.wakeOne()
	if err != nil {
		return warmth.Unchanged, false
	}
	for _, id := range known {
		r := t.snapshotRecord(id)
		before := r.Holding(now)
		r.ApplyHealth(slices.Contains(h.Snapshots, id), now)
		holdingChanged = holdingChanged || r.Holding(now) != before
	}
	for id := range t.snapshots {
		if !slices.Contains(known, id) {
			delete(t.snapshots, id)
		}
	}
	l.applyDrainHint(t, h, now)
	return l.applyWarmthChange(t, t.warmth.ApplyHealth(h.Boot), now), holdingChanged
}

func (l *leaf) applyDrainHint(t *targetState, h *targetproto.Health, now time.Duration) {
	draining := h.State == targetproto.StateDraining
	t.drainHinted = draining
	restarted := h.Boot != "" && t.drainingBoot != "" && h.Boot != t.drainingBoot
	if t.draining && !draining && (restarted || now-t.drainingAt >= drainRefusalPrecedence) {
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
	events.Emit(events.ReplyMismatched, t.target.ID, request, err)
}
