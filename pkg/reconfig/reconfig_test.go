package reconfig_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/reconfig"
)

func TestReconfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reconfig")
}

func member(n int, disk string) reconfig.Member {
	return reconfig.Member{Instance: model.InstanceID(fmt.Sprintf("10.0.0.%d", n)), Disk: model.DiskID(disk)}
}

// group returns a group of five voters whose offers were received at now.
func group(now time.Duration) reconfig.Input {
	g := reconfig.Input{DesiredVoters: 5, Offers: make(map[model.InstanceID]reconfig.Offer)}
	for n := 1; n <= 5; n++ {
		m := member(n, "a")
		g.Voters = append(g.Voters, m)
		g.Offers[m.Instance] = reconfig.Offer{Member: m, ReceivedAt: now}
	}
	return g
}

func offer(g reconfig.Input, m reconfig.Member, receivedAt time.Duration) {
	g.Offers[m.Instance] = reconfig.Offer{Member: m, ReceivedAt: receivedAt}
}

var _ = Describe("Decide", func() {
	const now = time.Minute

	It("makes no change to a complete group", func() {
		Expect(reconfig.Decide(now, group(now)).Kind).To(Equal(reconfig.None))
	})

	It("grows from the initial voters to the desired number, learners first", func() {
		g := group(now)
		g.Voters = g.Voters[:3]
		first := reconfig.Decide(now, g)
		Expect(first.Kind).To(Equal(reconfig.AddLearner))
		g.Learners = append(g.Learners, first.New)
		second := reconfig.Decide(now, g)
		Expect(second).To(HaveField("Kind", reconfig.Promote))
		Expect(second.New).To(Equal(first.New))
	})

	It("replaces a voter that returned with a new disk by the new member", func() {
		g := group(now)
		offer(g, member(2, "b"), now)
		c := reconfig.Decide(now, g)
		Expect(c).To(HaveField("Kind", reconfig.ReplaceVoter))
		Expect(c.Old).To(Equal(member(2, "a")))
		Expect(c.New).To(Equal(member(2, "b")))
	})

	It("replaces a voter that timed out only by a live instance", func() {
		g := group(now)
		offer(g, member(3, "a"), now-2*reconfig.VoterTimeout)
		Expect(reconfig.Decide(now, g).Kind).To(Equal(reconfig.None))
		offer(g, member(6, "a"), now)
		c := reconfig.Decide(now, g)
		Expect(c).To(HaveField("Kind", reconfig.ReplaceVoter))
		Expect(c.Old).To(Equal(member(3, "a")))
		Expect(c.New).To(Equal(member(6, "a")))
	})

	It("does not time out voters until the leader has accepted offers for VoterTimeout", func() {
		g := group(now)
		g.Offers = map[model.InstanceID]reconfig.Offer{}
		g.ListeningSince = now
		offer(g, member(6, "a"), now)
		Expect(reconfig.Decide(now, g).Kind).To(Equal(reconfig.AddLearner))
	})

	It("replaces a leaving voter at once", func() {
		g := group(now)
		offer(g, member(6, "a"), now)
		g.Learners = []reconfig.Member{member(6, "a")}
		o := g.Offers["10.0.0.4"]
		o.Leaving = true
		g.Offers["10.0.0.4"] = o
		Expect(reconfig.Decide(now, g)).To(HaveField("Old", member(4, "a")))
	})

	It("keeps a sixth instance as a learner", func() {
		g := group(now)
		offer(g, member(6, "a"), now)
		Expect(reconfig.Decide(now, g)).To(HaveField("Kind", reconfig.AddLearner))
		g.Learners = []reconfig.Member{member(6, "a")}
		Expect(reconfig.Decide(now, g).Kind).To(Equal(reconfig.None))
	})

	It("removes a learner whose disk was replaced before it adds the new one", func() {
		g := group(now)
		g.Learners = []reconfig.Member{member(6, "a")}
		offer(g, member(6, "b"), now)
		Expect(reconfig.Decide(now, g)).To(HaveField("Kind", reconfig.RemoveLearner))
	})

	It("makes no change if operators manage the membership", func() {
		g := group(now)
		g.DesiredVoters = 0
		offer(g, member(6, "a"), now)
		Expect(reconfig.Decide(now, g).Kind).To(Equal(reconfig.None))
	})
})
