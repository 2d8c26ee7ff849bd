package mesh

import (
	"time"

	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/keys"
	"radishturn.example/radishturn/pkg/membudget"
	"radishturn.example/radishturn/pkg/settings"
)

// Module provides the Mesh as a service and serves peers.
type Module struct {
	*QUIC
}

// ModuleName is the ID of the mesh module.
const ModuleName radishturn.ModuleID = "mesh"

func init() { radishturn.RegisterModule(&Module{}) }

// ModuleInfo returns the module's description.
func (*Module) ModuleInfo() radishturn.ModuleInfo {
	return radishturn.ModuleInfo{
		ID:    ModuleName,
		Roles: settings.AllRoles,
		New:   func() radishturn.Module { return &Module{} },
	}
}

// Provision loads the keys, opens the socket and provides the Mesh.
func (m *Module) Provision(c *radishturn.Context) error {
	s := c.Settings
	credentials, err := loadCredentials(s)
	if err != nil {
		return err
	}
	m.QUIC, err = Listen(s.Instance.MeshListen, credentials, s.Instance.DisableUDPOffload)
	if err != nil {
		return err
	}
	m.LimitMemory(membudget.ForProcess(s.Instance.MemoryMB))
	if s.Instance.NamedByAddress {
		m.ResolveByAddress()
	}
	for _, p := range s.Peers {
		m.SetPeer(p.ID, p.MeshAddress)
	}
	if err := radishturn.Provide(c, credentials); err != nil {
		return err
	}
	return radishturn.Provide[Mesh](c, m.QUIC)
}

// certificateLifetime is the validity period of a certificate that an instance
// issues for itself.
const certificateLifetime = 10 * 365 * 24 * time.Hour

// loadCredentials reads the instance's certificate, or issues one if the settings
// contain the path of the authority's key.
func loadCredentials(s *settings.Settings) (*keys.Credentials, error) {
	k := s.Keys
	if k.AuthorityKey == "" {
		return keys.Load(keys.Files{Authority: k.Authority, Certificate: k.Certificate, Key: k.Key})
	}
	authority, err := keys.LoadAuthorityFiles(k.Authority, k.AuthorityKey)
	if err != nil {
		return nil, err
	}
	return authority.IssueCredentials(string(s.Instance.ID), certificateLifetime)
}

// Cleanup closes the socket.
func (m *Module) Cleanup() error {
	if m.QUIC == nil {
		return nil
	}
	return m.Close()
}
