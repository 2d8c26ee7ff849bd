package replica

import (
	"context"
	"errors"

	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/boottime"
	"radishturn.example/radishturn/pkg/journal"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/settings"
)

// ModuleName is the ID of the module.
const ModuleName radishturn.ModuleID = "control.replica"

// Module runs the Node of an instance with a data folder and provides it as the
// Group. Without a folder it provides a Group that rejects every call.
type Module struct {
	node *Node
}

func init() { radishturn.RegisterModule(&Module{}) }

// ModuleInfo returns the module's description.
func (*Module) ModuleInfo() radishturn.ModuleInfo {
	return radishturn.ModuleInfo{
		ID:    ModuleName,
		After: []radishturn.ModuleID{mesh.ModuleName, "control.state"},
		Roles: settings.AllRoles,
		New:   func() radishturn.Module { return &Module{} },
	}
}

// Provision opens the journal and restores the state machine from it.
func (m *Module) Provision(c *radishturn.Context) error {
	s := c.Settings
	var (
		transport mesh.Mesh
		machine   StateMachine
	)
	err := errors.Join(
		radishturn.Fetch(c, &transport),
		radishturn.Fetch(c, &machine),
	)
	if err != nil {
		return err
	}
	if s.DataFolder == "" {
		mesh.Handle(transport, diskKind, rejectDiskRequest(s.Instance.ID))
		return radishturn.Provide[Group](c, noDisk{})
	}
	m.node, err = Open(Options{
		Mesh:            transport,
		StateMachine:    machine,
		Journal:         journal.Options{Folder: s.DataFolder},
		InitialMembers:  initialMembers(s.Control),
		Clock:           boottime.Clock(),
		ElectionTimeout: s.Control.ElectionTimeout.Std(),
		Heartbeat:       s.Control.Heartbeat.Std(),
		SnapshotEvery:   s.Control.SnapshotEvery,
	})
	if err != nil {
		return err
	}
	return radishturn.Provide[Group](c, m.node)
}

// initialMembers returns the instances that bootstrap the group, or none if this
// instance rejoins and must not form a new group.
func initialMembers(c settings.Control) []model.InstanceID {
	if c.Rejoin {
		return nil
	}
	return c.Members
}

// Run participates in the group until ctx is done.
func (m *Module) Run(ctx context.Context) error {
	if m.node == nil {
		<-ctx.Done()
		return nil
	}
	return m.node.Run(ctx)
}

// Drain transfers leadership to another member.
func (m *Module) Drain(ctx context.Context) error {
	if m.node == nil {
		return nil
	}
	return m.node.Drain(ctx)
}

// Cleanup releases the data folder.
func (m *Module) Cleanup() error {
	if m.node == nil {
		return nil
	}
	return m.node.Close()
}
