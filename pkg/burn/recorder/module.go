// Package recorder counts observations on every instance and sends them, in one
// batch per minute, to the aggregators on the control members, which build the
// burn report. The counter is the burn.Recorder; the Module sends its counts.
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
	// maxBacklog bounds the unsent batches queued for one aggregator.
	maxBacklog = 60
	// sendTimeout bounds one attempt to send a batch.
	sendTimeout = 2 * time.Second
	tick        = time.Second
)

// ModuleName is the ID of the burn module.
const ModuleName radishturn.ModuleID = "burn"

// Reporter returns the burn report of the fleet, fetched from an aggregator.
type Reporter interface {
	Report(ctx context.Context) (*burn.Report, error)
}

// Module counts observations and sends them to the aggregators; on control members
// it also runs an aggregator.
type Module struct {
	counter     *counter
	aggregator  *aggregator
	mesh        mesh.Mesh
	self        model.InstanceID
	incarnation string
	aggregators []model.InstanceID
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

// Provision provides the burn.Recorder and the Reporter.
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
	m.aggregators = s.Control.Members
	m.counter = newCounter(s.Collections)
	m.backlog = make(map[model.InstanceID][]burn.Batch)
	if s.IsConfiguredMember() {
		m.aggregator = newAggregator(m.mesh, s)
	}
}

// Run creates a batch at the end of each minute and sends queued batches until ctx
// is done.
func (m *Module) Run(ctx context.Context) error {
	if m.aggregator != nil {
		m.aggregator.restore(ctx)
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
		m.sendBacklog(ctx)
	}
}

func (m *Module) finishMinute(minute burn.Minute, now time.Time) error {
	data, err := m.counter.takeCounts()
	if err != nil {
		return err
	}
	batch := burn.Batch{Instance: m.self, Incarnation: m.incarnation, Minute: minute, Data: data}
	for _, id := range m.aggregators {
		queue := append(m.backlog[id], batch)
		m.backlog[id] = queue[max(0, len(queue)-maxBacklog):]
	}
	if m.aggregator == nil {
		return nil
	}
	return m.aggregator.advance(now)
}

// sendBacklog sends each aggregator its queued batches in order, up to the first
// failure.
func (m *Module) sendBacklog(ctx context.Context) {
	for _, id := range m.aggregators {
		for len(m.backlog[id]) > 0 && m.sendBatch(ctx, id, &m.backlog[id][0]) == nil {
			m.backlog[id] = m.backlog[id][1:]
		}
	}
}

func (m *Module) sendBatch(ctx context.Context, id model.InstanceID, batch *burn.Batch) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_, err := mesh.Call[burn.Batch, empty](ctx, m.mesh, id, kindBatch, batch)
	return err
}

// Report returns the report of the first aggregator that replies without an error.
func (m *Module) Report(ctx context.Context) (*burn.Report, error) {
	var failures []error
	for _, id := range m.aggregators {
		r, err := mesh.Call[empty, burn.Report](ctx, m.mesh, id, kindReport, &empty{})
		if err == nil {
			return r, nil
		}
		failures = append(failures, err)
	}
	return nil, errors.Join(failures...)
}
