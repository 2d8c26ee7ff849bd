package driver

import (
	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/settings"
)

// ModuleName is the ID of the moves module.
const ModuleName radishturn.ModuleID = "moves"

// Module runs a Driver in the daemon.
type Module struct {
	*Driver
}

func init() { radishturn.RegisterModule(&Module{}) }

// ModuleInfo returns the module's description.
func (*Module) ModuleInfo() radishturn.ModuleInfo {
	return radishturn.ModuleInfo{
		ID:    ModuleName,
		After: []radishturn.ModuleID{control.ModuleName},
		Roles: []settings.Role{settings.RoleStandalone, settings.RoleControl},
		New:   func() radishturn.Module { return &Module{} },
	}
}

// Provision creates the driver and subscribes it to the evidence of entries.
func (m *Module) Provision(c *radishturn.Context) error {
	leader, err := radishturn.Require[control.Leader](c)
	if err != nil {
		return err
	}
	m.Driver = New(leader, SystemClock())
	leader.Subscribe(m.Driver)
	return nil
}
