package mesh

import (
	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/keys"
)

// Module offers the Mesh as a service and serves peers.
type Module struct {
	*QUIC
}

// ModuleName is the ID of the mesh module.
const ModuleName radishturn.ModuleID = "mesh"

func init() { radishturn.RegisterModule(&Module{}) }

// ModuleInfo returns the module's description.
func (*Module) ModuleInfo() radishturn.ModuleInfo {
	return radishturn.ModuleInfo{
		ID:  ModuleName,
		New: func() radishturn.Module { return &Module{} },
	}
}

// Provision loads the keys, opens the socket and offers the Mesh.
func (m *Module) Provision(c *radishturn.Context) error {
	s := c.Settings
	credentials, err := keys.Load(keys.Files(s.Keys))
	if err != nil {
		return err
	}
	m.QUIC, err = Listen(s.Instance.MeshListen, credentials, s.Instance.DisableUDPOffload)
	if err != nil {
		return err
	}
	for _, p := range s.Peers {
		m.SetPeer(p.ID, p.MeshAddress)
	}
	if err := radishturn.Provide(c, credentials); err != nil {
		return err
	}
	return radishturn.Provide[Mesh](c, m.QUIC)
}

// Cleanup closes the socket.
func (m *Module) Cleanup() error {
	if m.QUIC == nil {
		return nil
	}
	return m.Close()
}
