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

// Kinds of messages of the burn report.
const (
	kindParcel mesh.Kind = "burn.parcel"
	kindState  mesh.Kind = "burn.state"
	kindReport mesh.Kind = "burn.report"
)

// restoreTimeout bounds the wait for another keeper's state after a restart.
const restoreTimeout = 5 * time.Second

// empty is a message without content.
type empty struct{}

// keeper holds the buckets of the fleet. Every control member is one; each
// receives every parcel, and one that has restarted takes the state of another.
type keeper struct {
	mesh        mesh.Mesh
	collections []settings.Collection
	others      []model.InstanceID

	mu       sync.Mutex
	restored bool
	store    *burn.Store
	burning  map[burn.Series]bool
}

func newKeeper(m mesh.Mesh, s *settings.Settings) *keeper {
	k := &keeper{
		mesh:        m,
		collections: s.Collections,
		store:       burn.NewStore(),
		burning:     make(map[burn.Series]bool),
	}
	for _, id := range s.Control.Members {
		if id != s.Instance.ID {
			k.others = append(k.others, id)
		}
	}
	mesh.Handle(m, kindParcel, k.accept)
	mesh.Handle(m, kindState, k.state)
	mesh.Handle(m, kindReport, k.report)
	return k
}

// restore takes the state of the first other keeper that answers. Without one
// the keeper starts empty, and the time before shows as a gap.
func (k *keeper) restore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	restored := burn.NewStore()
	for _, id := range k.others {
		data, err := mesh.Call[empty, burn.StoreData](ctx, k.mesh, id, kindState, &empty{})
		if err != nil {
			continue
		}
		if store, err := data.Store(); err == nil {
			restored = store
			break
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.store, k.restored = restored, true
}

var errNotRestored = failure.New(failure.Overloaded, failure.NotRun, "keep burn data", "", "this keeper is still starting")

func (k *keeper) accept(_ context.Context, _ model.InstanceID, p *burn.Batch) (*empty, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.restored {
		return nil, errNotRestored
	}
	if _, err := k.store.Accept(*p, burn.MinuteOf(time.Now())); err != nil {
		return nil, failure.New(failure.BadRequest, failure.NotRun, "keep burn data", string(p.Instance), "%w", err)
	}
	return &empty{}, nil
}

func (k *keeper) state(context.Context, model.InstanceID, *empty) (*burn.StoreData, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.restored {
		return nil, errNotRestored
	}
	data := k.store.Data()
	return &data, nil
}

func (k *keeper) report(context.Context, model.InstanceID, *empty) (*burn.Report, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.restored {
		return nil, errNotRestored
	}
	r := burn.BuildReport(k.store, k.collections, time.Now())
	return &r, nil
}

// advance drops old data and emits an event for each objective that starts to
// burn too fast.
func (k *keeper) advance(now time.Time) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.store.Advance(burn.MinuteOf(now)); err != nil {
		return err
	}
	for _, o := range burn.BuildReport(k.store, k.collections, now).Objectives {
		series := burn.Series{Collection: o.Collection, Objective: o.Objective}
		if o.Burning && !k.burning[series] {
			w := o.Windows[0]
			events.Emit(events.BudgetBurning, o.Collection, o.Objective, w.Window, w.Rate)
		}
		k.burning[series] = o.Burning
	}
	return nil
}
