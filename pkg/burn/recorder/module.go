// Package recorder counts observations on every instance and ships them, one
// parcel a minute, to the keepers of the burn report on the control members.
package recorder

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/burn"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/settings"
)

const (
	// maxBacklog bounds the parcels that wait for one keeper.
	maxBacklog = 60
	// shipTimeout bounds one attempt to ship a parcel.
	shipTimeout = 2 * time.Second
	tick        = time.Second
)

// ModuleName is the ID of the burn module.
const ModuleName radishturn.ModuleID = "burn"

// Reporter gives the burn report of the fleet, asked of a keeper.
type Reporter interface {
	Report(ctx context.Context) (*burn.Report, error)
}

// Module counts observations, ships them, and on control members keeps them.
type Module struct {
	counter     *counter
	keeper      *keeper
	mesh        mesh.Mesh
	self        model.InstanceID
	incarnation string
	keepers     []model.InstanceID
	backlog     map[model.InstanceID][]burn.Batch
}

func init() { radishturn.RegisterModule(&Module{}) }

// ModuleInfo returns the module's description.
func (*Module) ModuleInfo() radishturn.ModuleInfo {
	return radishturn.ModuleInfo{
		ID:    ModuleName,
		After: []radishturn.ModuleID{mesh.ModuleName},
		New:   func() radishturn.Module { return &Module{} },
	}
}

// Provision offers the burn.Recorder and the Reporter.
func (m *Module) Provision(c *radishturn.Context) (err error) {
	if m.mesh, err = radishturn.Require[mesh.Mesh](c); err != nil {
		return err
	}
	m.configure(c.Settings)
	if err := radishturn.Provide[burn.Recorder](c, m.counter); err != nil {
		return err
	}
	return radishturn.Provide[Reporter](c, m)
}

func (m *Module) configure(s *settings.Settings) {
	m.self = s.Instance.ID
	m.incarnation = uuid.NewString()
	m.keepers = s.Control.Members
	m.counter = newCounter(s.Collections)
	m.backlog = make(map[model.InstanceID][]burn.Batch)
	if s.IsControlMember() {
		m.keeper = newKeeper(m.mesh, s)
	}
}

// Run cuts and ships a parcel each minute until ctx is done.
func (m *Module) Run(ctx context.Context) error {
	if m.keeper != nil {
		m.keeper.restore(ctx)
	}
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	current := burn.MinuteOf(time.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		if minute := burn.MinuteOf(now); minute != current {
			if err := m.finishMinute(current, now); err != nil {
				return err
			}
			current = minute
		}
		m.ship(ctx)
	}
}

func (m *Module) finishMinute(minute burn.Minute, now time.Time) error {
	data, err := m.counter.cut()
	if err != nil {
		return err
	}
	parcel := burn.Batch{Instance: m.self, Incarnation: m.incarnation, Minute: minute, Data: data}
	for _, id := range m.keepers {
		queue := append(m.backlog[id], parcel)
		m.backlog[id] = queue[max(0, len(queue)-maxBacklog):]
	}
	if m.keeper == nil {
		return nil
	}
	return m.keeper.advance(now)
}

// ship sends each keeper what waits for it, in order, up to the first failure.
func (m *Module) ship(ctx context.Context) {
	for _, id := range m.keepers {
		for len(m.backlog[id]) > 0 && m.shipOne(ctx, id, &m.backlog[id][0]) == nil {
			m.backlog[id] = m.backlog[id][1:]
		}
	}
}

func (m *Module) shipOne(ctx context.Context, id model.InstanceID, p *burn.Batch) error {
	ctx, cancel := context.WithTimeout(ctx, shipTimeout)
	defer cancel()
	_, err := mesh.Call[burn.Batch, empty](ctx, m.mesh, id, kindParcel, p)
	return err
}

// Report asks the keepers in turn for the report.
func (m *Module) Report(ctx context.Context) (*burn.Report, error) {
	var failures []error
	for _, id := range m.keepers {
		r, err := mesh.Call[empty, burn.Report](ctx, m.mesh, id, kindReport, &empty{})
		if err == nil {
			return r, nil
		}
		failures = append(failures, err)
	}
	return nil, errors.Join(failures...)
}
