package server_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/control/server"
	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/replica"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/state"
)

// waitingMember is a member without a leader lease.
type waitingMember struct {
	replica.Group
	status replica.Status
}

func (m waitingMember) Status() replica.Status { return m.status }
func (waitingMember) IsLeader() bool           { return false }

// Guards against one error text for the states in which a member doesn't lead.
func TestARefusalSaysWhyAMemberDoesNotLead(t *testing.T) {
	for text, status := range map[string]replica.Status{
		"a does not lead: it knows no leader":                                              {Role: replica.RoleCandidate},
		"a does not lead: it follows b":                                                    {Role: replica.RoleFollower, Leader: replica.Member{Instance: "b"}},
		"a does not lead: it is elected, and holds no lease":                               {Role: replica.RoleLeader, Leader: replica.Member{Instance: "a"}, TermStart: 3, Applied: 3},
		"a does not lead: it is elected, and has not applied the entries of earlier terms": {Role: replica.RoleLeader, Leader: replica.Member{Instance: "a"}, TermStart: 3, Applied: 2},
	} {
		g := NewWithT(t)
		network := &fakeNetwork{meshes: make(map[model.InstanceID]*fakeMesh)}
		m := &fakeMesh{network: network, id: "a", handlers: make(map[mesh.Kind]mesh.Handler)}
		network.meshes["a"] = m
		server.New(&settings.Settings{}, m, staticList{}, state.NewMachine(), waitingMember{status: status})
		_, err := mesh.Call[wire.Empty, replica.Status](t.Context(), m, "a", wire.KindMembers, &wire.Empty{})
		g.Expect(err).To(MatchError(ContainSubstring(text)))
		g.Expect(failure.CodeOf(err)).To(Equal(failure.NotLeader))
		g.Expect(failure.RanOf(err)).To(Equal(failure.NotRun))
	}
}
