package replica_test

import (
	"context"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/reconfig"
	"radishturn.example/radishturn/pkg/replica"
)

// manager makes the membership changes that reconfig.Decide returns, with an offer of each
// running member.
type manager struct {
	group  *group
	voters int
}

// input returns the input of a decision by the leader.
func (m manager) input(leader *member, now time.Duration) reconfig.Input {
	s := leader.Status()
	in := reconfig.Input{Voters: s.Voters, Learners: s.Learners, DesiredVoters: m.voters, Offers: make(map[model.InstanceID]reconfig.Offer)}
	for _, l := range s.LearnerProgress {
		if l.CaughtUp {
			in.CaughtUp = append(in.CaughtUp, l.Member)
		}
	}
	for id, running := range m.group.members {
		in.Offers[id] = reconfig.Offer{Member: running.Status().Self, ReceivedAt: now}
	}
	return in
}

// step makes the next change. Failed changes are decided anew.
func (m manager) step() {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	leader := m.group.leader()
	switch c := reconfig.Decide(time.Hour, m.input(leader, time.Hour)); c.Kind {
	case reconfig.AddLearner:
		_ = leader.AddLearner(ctx, c.New)
	case reconfig.Promote:
		_ = leader.Promote(ctx, c.New)
	case reconfig.ReplaceVoter:
		_ = leader.ReplaceByLearner(ctx, c.Old, c.New)
	case reconfig.RemoveLearner, reconfig.RemoveVoter:
		_ = leader.Remove(ctx, c.Old)
	case reconfig.None:
	}
}

func (m manager) run(until func(replica.Status) bool) {
	GinkgoHelper()
	Eventually(func() bool {
		m.step()
		return until(m.group.leader().Status())
	}, waitTimeout, heartbeat).Should(BeTrue())
}

var _ = Describe("A group that replaces its members", func() {
	// Guards against a standstill after two lost disks, because the first new disk never
	// catches up and is tried again and again.
	It("replaces a lost voter although the learner for another never catches up", func() {
		g := newGroup("a", "b", "c", "d", "e")
		g.start("a", "b", "c", "d", "e")
		g.propose("c0")
		m := manager{group: g, voters: 5}
		first, second := g.followers()[0].Status().Self, g.followers()[1].Status().Self
		g.loseDisk(first.Instance)
		g.network.setIsolated(first.Instance, true)
		unreachable := g.members[first.Instance].Status().Self
		m.run(func(s replica.Status) bool { return slices.Contains(s.Learners, unreachable) })
		for range 10 {
			m.step()
		}
		Expect(g.leader().Status().Voters).To(ContainElement(first))

		g.loseDisk(second.Instance)
		renewed := g.members[second.Instance].Status().Self
		m.run(func(s replica.Status) bool { return slices.Contains(s.Voters, renewed) })
		Expect(g.leader().Status().Voters).To(And(HaveLen(5), ContainElement(first), Not(ContainElement(second))))

		g.network.setIsolated(first.Instance, false)
		m.run(func(s replica.Status) bool { return slices.Contains(s.Voters, unreachable) })
		Expect(g.leader().Status().Voters).To(And(HaveLen(5), Not(ContainElement(first))))
		g.propose("c1")
	})
})
