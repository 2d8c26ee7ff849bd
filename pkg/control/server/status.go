package server

import (
	"radishturn.example/radishturn/pkg/replica"
	"radishturn.example/radishturn/pkg/state"
)

// Status is what a control member knows.
type Status struct {
	Member replica.Status `json:"member"`
	// TableVersion is that of the routing table in this member's state.
	TableVersion uint64 `json:"tableVersion"`
	Instances    int    `json:"instances"`
	// Leader is set while this member leads.
	Leader *LeaderStatus `json:"leader,omitempty"`
}

// LeaderStatus is what a leader knows beyond the replicated state.
type LeaderStatus struct {
	// Leases counts the instances that hold one.
	Leases int `json:"leases"`
	// CatalogTargets and CatalogSequence are of the list of targets.
	CatalogTargets  int    `json:"catalogTargets"`
	CatalogSequence uint64 `json:"catalogSequence"`
	// HighCostTargets counts the targets that cost more than usual.
	HighCostTargets int `json:"dearTargets"`
}

// Status returns what the member knows now.
func (s *Server) Status() Status {
	status := Status{Member: s.proposer.Status()}
	s.machine.Read(func(st *state.State) {
		if t := st.Table(); t != nil {
			status.TableVersion = t.Version
		}
		status.Instances = len(st.Instances())
	})
	if current, err := s.leading(); err == nil {
		status.Leader = current.status()
	}
	return status
}

func (n *session) status() *LeaderStatus {
	n.lock.Lock()
	defer n.lock.Unlock()
	return &LeaderStatus{
		Leases:          len(n.granter.Leases(n.now())),
		CatalogTargets:  n.catalog.Len(),
		CatalogSequence: n.catalog.Position().Sequence,
		HighCostTargets: n.costs.Dear(),
	}
}
