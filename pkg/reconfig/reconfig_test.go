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

func addCaughtUp(g *reconfig.Input, m reconfig.Member) {
	g.Learners = append(g.Learners, m)
	g.CaughtUp = append(g.CaughtUp, m)
}

var _ = Describe("Decide", func() {
	const now = time.Minute

	// Guards against a group that gives a voter up before it has another.
	It("keeps a lost voter while no learner has caught up", func() {
		g := group(now)
		offer(g, member(3, "a"), now-2*reconfig.VoterTimeout)
		offer(g, member(6, "a"), now)
		g.Learners = []reconfig.Member{member(6, "a")}
		Expect(reconfig.Decide(now, g).Kind).To(Equal(reconfig.None))
		offer(g, member(2, "b"), now)
		g.Learners = append(g.Learners, member(2, "b"))
		Expect(reconfig.Decide(now, g).Kind).To(Equal(reconfig.None))
	})

	// Guards against a learner that can't catch up and holds up another that has.
	It("replaces a lost voter by the learner that has caught up", func() {
		g := group(now)
		offer(g, member(3, "a"), now-2*reconfig.VoterTimeout)
		offer(g, member(6, "a"), now)
		offer(g, member(7, "a"), now)
		g.Learners = []reconfig.Member{member(6, "a")}
		addCaughtUp(&g, member(7, "a"))
		Expect(reconfig.Decide(now, g)).To(Equal(reconfig.Change{
			Kind: reconfig.ReplaceVoter, Old: member(3, "a"), New: member(7, "a"), Reason: "the voter timed out",
		}))
	})

	// Guards against a replacement in progress that keeps other disks out of the group.
	It("adds every live disk as a learner before any other change", func() {
		g := group(now)
		offer(g, member(3, "a"), now-2*reconfig.VoterTimeout)
		offer(g, member(6, "a"), now)
		offer(g, member(7, "a"), now)
		offer(g, member(2, "b"), now)
		addCaughtUp(&g, member(6, "a"))
		var added []reconfig.Member
		for c := reconfig.Decide(now, g); c.Kind == reconfig.AddLearner; c = reconfig.Decide(now, g) {
			added = append(added, c.New)
			g.Learners = append(g.Learners, c.New)
		}
		Expect(added).To(ConsistOf(member(7, "a"), member(2, "b")))
	})

	It("replaces two voters whose disks were lost at once, whichever new disk has caught up first", func() {
		g := group(now)
		offer(g, member(2, "b"), now)
		offer(g, member(4, "b"), now)
		g.Learners = []reconfig.Member{member(2, "b")}
		addCaughtUp(&g, member(4, "b"))
		Expect(reconfig.Decide(now, g)).To(And(HaveField("Old", member(4, "a")), HaveField("New", member(4, "b"))))
	})

	// Guards against a replacement that stays half done: the leader failed after the lost
	// voter was removed.
	It("promotes a learner if an earlier leader has removed the lost voter", func() {
		g := group(now)
		g.Voters = g.Voters[:4]
		g.Offers = map[model.InstanceID]reconfig.Offer{}
		g.ListeningSince = now
		offer(g, member(6, "a"), now)
		addCaughtUp(&g, member(6, "a"))
		Expect(reconfig.Decide(now, g)).To(And(HaveField("Kind", reconfig.Promote), HaveField("New", member(6, "a"))))
	})

	// Guards against an even group, which tolerates no more losses than without the lost
	// voter.
	It("removes a lost voter of an even group although no learner has caught up", func() {
		g := group(now)
		g.Voters = append(g.Voters, member(6, "a"))
		offer(g, member(6, "a"), now)
		offer(g, member(1, "a"), now-2*reconfig.VoterTimeout)
		Expect(reconfig.Decide(now, g)).To(And(HaveField("Kind", reconfig.RemoveVoter), HaveField("Old", member(1, "a"))))

		g.Voters = g.Voters[:4]
		g.Learners = []reconfig.Member{member(5, "a"), member(6, "a")}
		Expect(reconfig.Decide(now, g)).To(And(HaveField("Kind", reconfig.RemoveVoter), HaveField("Old", member(1, "a"))))
		g.Voters = g.Voters[:2]
		g.Learners = append(g.Learners, member(3, "a"), member(4, "a"))
		Expect(reconfig.Decide(now, g).Kind).To(Equal(reconfig.None))
	})

	// Guards against a group that grows by one with each leader that fails after the
	// promotion.
	It("removes the leaving voter if an earlier leader has promoted its replacement", func() {
		g := group(now)
		g.Voters = append(g.Voters, member(6, "a"))
		offer(g, member(6, "a"), now)
		offer(g, member(7, "a"), now)
		addCaughtUp(&g, member(7, "a"))
		g.Offers["10.0.0.4"] = reconfig.Offer{Member: member(4, "a"), ReceivedAt: now, Leaving: true}
		Expect(reconfig.Decide(now, g)).To(And(HaveField("Kind", reconfig.RemoveVoter), HaveField("Old", member(4, "a"))))
	})

	It("keeps a leaving voter of an even group until a learner has caught up", func() {
		g := group(now)
		g.Voters = g.Voters[:4]
		g.Learners = []reconfig.Member{member(5, "a")}
		g.Offers["10.0.0.4"] = reconfig.Offer{Member: member(4, "a"), ReceivedAt: now, Leaving: true}
		Expect(reconfig.Decide(now, g).Kind).To(Equal(reconfig.None))
		g.CaughtUp = g.Learners
		Expect(reconfig.Decide(now, g)).To(And(HaveField("Old", member(4, "a")), HaveField("New", member(5, "a"))))
	})

	It("makes no change to a complete group", func() {
		Expect(reconfig.Decide(now, group(now)).Kind).To(Equal(reconfig.None))
	})

	It("grows from the initial voters to the desired number, learners first", func() {
		g := group(now)
		g.Voters = g.Voters[:3]
		for n := 4; n <= 5; n++ {
			c := reconfig.Decide(now, g)
			Expect(c).To(HaveField("Kind", reconfig.AddLearner))
			Expect(c.New).To(Equal(member(n, "a")))
			g.Learners = append(g.Learners, c.New)
		}
		Expect(reconfig.Decide(now, g).Kind).To(Equal(reconfig.None))
		g.CaughtUp = []reconfig.Member{member(5, "a")}
		c := reconfig.Decide(now, g)
		Expect(c).To(HaveField("Kind", reconfig.Promote))
		Expect(c.New).To(Equal(member(5, "a")))
	})

	It("replaces a voter that returned with a new disk by the new member", func() {
		g := group(now)
		offer(g, member(2, "b"), now)
		Expect(reconfig.Decide(now, g)).To(And(HaveField("Kind", reconfig.AddLearner), HaveField("New", member(2, "b"))))
		addCaughtUp(&g, member(2, "b"))
		c := reconfig.Decide(now, g)
		Expect(c).To(HaveField("Kind", reconfig.ReplaceVoter))
		Expect(c.Old).To(Equal(member(2, "a")))
		Expect(c.New).To(Equal(member(2, "b")))
	})

	It("replaces a voter that timed out only by a live instance", func() {
		g := group(now)
		offer(g, member(3, "a"), now-2*reconfig.VoterTimeout)
		addCaughtUp(&g, member(6, "a"))
		offer(g, member(6, "a"), now-2*reconfig.VoterTimeout)
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
		addCaughtUp(&g, member(6, "a"))
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

	// Guards against a member without space that is chosen as a voter, which it cannot be.
	It("neither adds nor promotes a member whose disk is full", func() {
		g := group(now)
		offer(g, member(3, "a"), now-2*reconfig.VoterTimeout)
		g.Offers["10.0.0.6"] = reconfig.NextOffer(reconfig.Offer{}, now, member(6, "a"), false, true)
		Expect(reconfig.Decide(now, g).Kind).To(Equal(reconfig.None))
		addCaughtUp(&g, member(6, "a"))
		Expect(reconfig.Decide(now, g).Kind).To(Equal(reconfig.None))
	})

	// Guards against voters that are replaced one after the other since their disks were
	// full for a moment, and against one that is never replaced.
	It("replaces a voter whose disk is full only after a longer time", func() {
		g := group(now)
		addCaughtUp(&g, member(6, "a"))
		decideAfter := func(full time.Duration) reconfig.Change {
			first := reconfig.NextOffer(reconfig.Offer{}, now-full, member(2, "a"), false, true)
			g.Offers["10.0.0.2"] = reconfig.NextOffer(first, now, member(2, "a"), false, true)
			offer(g, member(6, "a"), now)
			return reconfig.Decide(now, g)
		}
		Expect(decideAfter(reconfig.FullDiskTimeout).Kind).To(Equal(reconfig.None))
		Expect(decideAfter(reconfig.FullDiskTimeout + 1)).To(HaveField("Old", member(2, "a")))
	})

	It("makes no change if operators manage the membership", func() {
		g := group(now)
		g.DesiredVoters = 0
		offer(g, member(6, "a"), now)
		Expect(reconfig.Decide(now, g).Kind).To(Equal(reconfig.None))
		g.Offers = nil
		Expect(reconfig.VotersToReplace(now, g)).To(BeEmpty())
	})
})
