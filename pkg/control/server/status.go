package server

import (
	"radishturn.example/radishturn/pkg/replica"
	"radishturn.example/radishturn/pkg/state"
)

// Status is the state of a control member.
type Status struct {
	Member replica.Status `json:"member"`
	// TableVersion is the version of the routing table in this member's state.
	TableVersion uint64 `json:"tableVersion"`
	Instances    int    `json:"instances"`
	// Leader is set while this member leads.
	Leader *LeaderStatus `json:"leader,omitempty"`
	// Duty is the duty to report usage, if it is set.
	Duty *DutyStatus `json:"duty,omitempty"`
}

// LeaderStatus is the leader's state that is not replicated.
type LeaderStatus struct {
	// Leases is the number of instances that hold a lease.
	Leases int `json:"leases"`
	// CatalogTargets and CatalogSequence are the length and the newest sequence
	// number of the list of targets.
	CatalogTargets  int    `json:"catalogTargets"`
	CatalogSequence uint64 `json:"catalogSequence"`
	// HighCostTargets is the number of targets that cost more than usual.
	HighCostTargets int `json:"dearTargets"`
}

// Status returns the current state of the member.
func (s *Server) Status() Status {
	status := Status{Member: s.group.Status(), Duty: s.dutyStatus()}
	s.machine.Read(func(st *state.State) {
		if t := st.Table(); t != nil {
			status.TableVersion = t.Version
		}
		status.Instances = len(st.Instances())
	})
	if current, err := s.activeTerm(); err == nil {
		status.Leader = current.status()
	}
	return status
}

func (n *leaderTerm) status() *LeaderStatus {
	n.termMu.Lock()
	defer n.termMu.Unlock()
	return &LeaderStatus{
		Leases:          len(n.granter.Leases(n.now())),
		CatalogTargets:  n.catalog.Len(),
		CatalogSequence: n.catalog.Position().Sequence,
		HighCostTargets: n.costs.CountExpensive(),
	}
}
