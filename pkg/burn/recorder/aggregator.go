package recorder

import (
	"context"
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/burn"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/settings"
)

// Kinds of mesh messages for the burn report.
const (
	kindBatch  mesh.Kind = "burn.parcel"
	kindState  mesh.Kind = "burn.state"
	kindReport mesh.Kind = "burn.report"
)

// restoreTimeout bounds the total wait for the state of another aggregator after a
// restart.
const restoreTimeout = 5 * time.Second

// empty is a message without fields.
type empty struct{}

// aggregator holds the buckets of the whole fleet. Every control member runs one;
// each receives every batch, and after a restart copies the state of another.
type aggregator struct {
	mesh        mesh.Mesh
	collections []settings.Collection
	peers       []model.InstanceID

	mu       sync.Mutex
	restored bool
	store    *burn.Store
	burning  map[burn.Series]bool
}

func newAggregator(m mesh.Mesh, s *settings.Settings) *aggregator {
	a := &aggregator{
		mesh:        m,
		collections: s.Collections,
		store:       burn.NewStore(),
		burning:     make(map[burn.Series]bool),
	}
	for _, id := range s.Control.Members {
		if id != s.Instance.ID {
			a.peers = append(a.peers, id)
		}
	}
	mesh.Handle(m, kindBatch, a.accept)
	mesh.Handle(m, kindState, a.state)
	mesh.Handle(m, kindReport, a.report)
	return a
}

// restore copies the state of the first peer that replies. If none does, the
// aggregator starts empty and earlier minutes appear as a gap.
func (a *aggregator) restore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	restored := burn.NewStore()
	for _, id := range a.peers {
		data, err := mesh.Call[empty, burn.StoreData](ctx, a.mesh, id, kindState, &empty{})
		if err != nil {
			continue
		}
		if store, err := data.Store(); err == nil {
			restored = store
			break
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.store, a.restored = restored, true
}

var errNotRestored = failure.New(failure.Overloaded, failure.NotRun, "keep burn data", "", "this aggregator is still restoring its state")

func (a *aggregator) accept(_ context.Context, _ model.InstanceID, batch *burn.Batch) (*empty, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.restored {
		// The code is Overloaded because the refusal is temporary: the sender keeps the
		// batch and sends it again.
		return nil, errNotRestored
	}
	if _, err := a.store.Accept(*batch, burn.MinuteOf(time.Now())); err != nil {
		return nil, failure.New(failure.BadRequest, failure.NotRun, "keep burn data", string(batch.Instance), "%w", err)
	}
	return &empty{}, nil
}

func (a *aggregator) state(context.Context, model.InstanceID, *empty) (*burn.StoreData, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.restored {
		return nil, errNotRestored
	}
	data := a.store.Data()
	return &data, nil
}

func (a *aggregator) report(context.Context, model.InstanceID, *empty) (*burn.Report, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.restored {
		return nil, errNotRestored
	}
	r := burn.BuildReport(a.store, a.collections, time.Now())
	return &r, nil
}

// advance merges and drops old data, and emits an event for each objective that
// started burning.
func (a *aggregator) advance(now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.store.Advance(burn.MinuteOf(now)); err != nil {
		return err
	}
	for _, o := range burn.BuildReport(a.store, a.collections, now).Objectives {
		series := burn.Series{Collection: o.Collection, Objective: o.Objective}
		if o.Burning && !a.burning[series] {
			// The event reports the first window, even if a later alarm was raised.
			w := o.Windows[0]
			events.Emit(events.BudgetBurning, o.Collection, o.Objective, w.Window, w.Rate)
		}
		a.burning[series] = o.Burning
	}
	return nil
}
