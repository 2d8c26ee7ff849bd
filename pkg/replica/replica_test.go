package replica_test

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/journal/journaltest"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/replica"
)

var _ = Describe("A group", func() {
	It("forms once all initial members are running, and replicates", func() {
		g := newGroup("a", "b", "c")
		g.start("a", "b")
		Consistently(func() int { return len(g.members["a"].Status().Voters) }, 3*electionTimeout, heartbeat).Should(BeZero())
		g.start("c")
		for _, c := range numbered(0, 20) {
			g.propose(c)
		}
		g.expectEverywhere(numbered(0, 20))
	})

	It("works with one member", func() {
		g := newGroup("a")
		g.start("a")
		g.propose("c0")
		g.stop("a")
		g.start("a")
		g.propose("c1")
		g.expectEverywhere(numbered(0, 2))
	})

	It("continues without its leader, which catches up after a restart", func() {
		g := newGroup("a", "b", "c")
		g.start("a", "b", "c")
		g.propose("c0")
		lost := g.leader().Status().Self.Instance
		g.stop(lost)
		for _, c := range numbered(1, 2*snapshotEvery+10) {
			g.propose(c)
		}
		g.start(lost)
		g.expectEverywhere(numbered(0, 2*snapshotEvery+10))
	})

	It("replaces lost disks one after the other and loses no committed command", func() {
		g := newGroup("a", "b", "c")
		g.start("a", "b", "c")
		for _, c := range numbered(0, 10) {
			g.propose(c)
		}
		for i, id := range []model.InstanceID{"a", "b", "c"} {
			old := g.members[id].Status().Self
			g.loseDisk(id)
			g.repair(old)
			g.propose(fmt.Sprintf("c%d", 10+i))
		}
		g.expectEverywhere(numbered(0, 13))
	})

	// Guards against an empty member that never finds the group, since all instances in its
	// settings have lost their disks or are gone.
	It("learns who is in the group from messages to the disk that it has lost", func() {
		g := newGroup("a", "b", "c")
		g.start("a", "b", "c")
		lost := g.followers()[0].Status().Self
		g.loseDisk(lost.Instance)
		leader := g.leader().Status().Self.Instance
		contacts := func() []model.InstanceID { return g.members[lost.Instance].Status().Contacts }
		Eventually(contacts, waitTimeout, heartbeat).Should(ContainElement(leader))
	})

	It("never lets an instance that lost its disk vote or form a second group", func() {
		g := newGroup("a", "b", "c")
		g.start("a", "b", "c")
		g.propose("c0")
		lost := g.followers()
		for _, m := range lost {
			g.loseDisk(m.Status().Self.Instance)
		}
		// The old leader keeps its lease until it expires.
		Eventually(g.hasLeader, waitTimeout, heartbeat).Should(BeFalse())
		Consistently(g.hasLeader, 5*electionTimeout, heartbeat).Should(BeFalse())
		for _, m := range lost {
			Expect(g.members[m.Status().Self.Instance].Status().Voters).To(BeEmpty())
		}
	})

	It("adds an instance that is no initial member and removes an initial member", func() {
		g := newGroup("a", "b", "c")
		g.start("a", "b", "c", "d")
		g.propose("c0")
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		leader := g.leader()
		next := g.members["d"].Status().Self
		old := g.followers()[0].Status().Self
		Expect(leader.Replace(ctx, old, next)).To(Succeed())
		Expect(leader.Status().Voters).To(And(ContainElement(next), Not(ContainElement(old))))
		g.propose("c1")
	})

	It("replicates commands of any allowed size and rejects others", func() {
		g := newGroup("a", "b", "c")
		g.start("a", "b", "c")
		g.propose("c0")
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		_, err := g.leader().Propose(ctx, nil)
		Expect(failure.CodeOf(err)).To(Equal(failure.BadRequest))
		_, err = g.leader().Propose(ctx, make([]byte, 4<<20+1))
		Expect(failure.CodeOf(err)).To(Equal(failure.TooLarge))
		Expect(failure.RanOf(err)).To(Equal(failure.NotRun))
		large := strings.Repeat("x", 4<<20)
		g.propose(large)
		g.expectEverywhere([]string{"c0", large})
	})

	It("commits commands and keeps its leader while every disk takes longer to sync than an election timeout", func() {
		g := newGroup("a", "b", "c")
		g.start("a", "b", "c")
		g.propose("c0")
		leader := g.leader().Status()
		for _, d := range g.disks {
			d.SetFault(func(op journaltest.Operation, _ string) error {
				if op == journaltest.Sync {
					time.Sleep(2 * electionTimeout)
				}
				return nil
			})
		}
		for i := range 3 {
			g.propose(fmt.Sprintf("c%d", i+1))
		}
		g.expectEverywhere(numbered(0, 4))
		Expect(g.leader().Status().Term).To(Equal(leader.Term))
	})

	It("rejects replacements that would change the number of voters", func() {
		g := newGroup("a", "b", "c")
		g.start("a", "b", "c", "d")
		g.propose("c0")
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		leader := g.leader()
		voter, next := leader.Status().Self, g.members["d"].Status().Self
		Expect(failure.CodeOf(leader.Replace(ctx, voter, voter))).To(Equal(failure.BadRequest))
		unknown := replica.Member{Instance: "a", Disk: "another"}
		Expect(failure.CodeOf(leader.Replace(ctx, unknown, next))).To(Equal(failure.NotFound))
		Expect(leader.Status().Voters).To(HaveLen(3))
		Expect(leader.Status().Learners).To(BeEmpty())
	})

	// Guards against a group that gives a lost voter up for one that never catches up.
	It("keeps a lost voter until its replacement has caught up", func() {
		g := newGroup("a", "b", "c")
		g.start("a", "b", "c", "d")
		g.propose("c0")
		lost := g.followers()[0].Status().Self
		leader, next := g.leader(), g.members["d"].Status().Self
		voters := leader.Status().Voters
		g.stop(lost.Instance)
		Eventually(func() *int { return leader.Status().LossesTolerated }, waitTimeout, heartbeat).Should(HaveValue(BeZero()))
		g.network.setIsolated("d", true)
		ctx, cancel := context.WithTimeout(context.Background(), 2*electionTimeout)
		defer cancel()
		Expect(leader.Replace(ctx, lost, next)).NotTo(Succeed())
		Expect(leader.Status().Voters).To(Equal(voters))

		g.network.setIsolated("d", false)
		ctx, cancel = context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		Expect(leader.Replace(ctx, lost, next)).To(Succeed())
		Expect(leader.Status().Voters).To(And(HaveLen(3), ContainElement(next), Not(ContainElement(lost))))
	})

	It("continues after its leader was removed from the group", func() {
		g := newGroup("a", "b", "c")
		g.start("a", "b", "c", "d")
		g.propose("c0")
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		leader := g.leader()
		next := g.members["d"].Status().Self
		Expect(leader.AddLearner(ctx, next)).To(Succeed())
		Expect(leader.AddLearner(ctx, next)).To(Succeed())
		Expect(leader.Replace(ctx, leader.Status().Self, next)).To(Succeed())
		Eventually(func() bool { return leader.IsLeader() }, waitTimeout, heartbeat).Should(BeFalse())
		g.stop(leader.Status().Self.Instance)
		g.propose("c1")
		g.expectEverywhere(numbered(0, 2))
	})

	It("transfers leadership before a planned stop", func() {
		g := newGroup("a", "b", "c")
		g.start("a", "b", "c")
		g.propose("c0")
		leader := g.leader()
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		Expect(leader.Drain(ctx)).To(Succeed())
		Expect(leader.IsLeader()).To(BeFalse())
		_, err := leader.Propose(ctx, []byte("c1"))
		Expect(failure.CodeOf(err)).To(Equal(failure.NotLeader))
		Expect(failure.RanOf(err)).To(Equal(failure.NotRun))
		g.propose("c1")
	})

	It("reports a command as not run before the append and as unknown after it", func() {
		g := newGroup("a", "b", "c")
		g.start("a", "b", "c")
		g.propose("c0")
		leader := g.leader()
		g.network.setIsolated(leader.Status().Self.Instance, true)
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		_, err := leader.Propose(ctx, []byte("cut off"))
		Expect(failure.RanOf(err)).To(Equal(failure.Unknown))
		_, err = leader.Propose(ctx, []byte("cut off"))
		Expect(failure.RanOf(err)).To(Equal(failure.NotRun))
		g.propose("c1")
		g.network.setIsolated(leader.Status().Self.Instance, false)
		g.expectEverywhere(numbered(0, 2))
	})

	It("forms no second group when its initial members were removed", func() {
		g := newGroup("a")
		g.start("a", "d")
		g.propose("c0")
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		initialMember, next := g.members["a"].Status().Self, g.members["d"].Status().Self
		Expect(g.leader().AddLearner(ctx, next)).To(Succeed())
		Expect(g.leader().Replace(ctx, initialMember, next)).To(Succeed())
		g.loseDisk("a")
		Consistently(func() []replica.Member { return g.members["a"].Status().Voters }, 5*electionTimeout, heartbeat).Should(BeEmpty())
		g.propose("c1")
		Expect(g.members["d"].machine.list()).To(Equal(numbered(0, 2)))
	})

	It("stops when the disk fails, and keeps committed commands", func() {
		g := newGroup("a")
		g.start("a")
		g.propose("c0")
		disk, m := g.diskOf("a"), g.members["a"]
		disk.SetFault(func(op journaltest.Operation, _ string) error {
			if op == journaltest.Sync {
				return syscall.EIO
			}
			return nil
		})
		_, err := m.Propose(context.Background(), []byte("c1"))
		Expect(failure.RanOf(err)).To(Equal(failure.Unknown))
		delete(g.members, "a")
		Expect(m.stop()).To(MatchError(syscall.EIO))
		_, err = m.Propose(context.Background(), []byte("c2"))
		Expect(failure.RanOf(err)).To(Equal(failure.NotRun))
		disk.SetFault(nil)
		disk.Crash(nil)
		g.start("a")
		g.propose("c3")
		Expect(g.members["a"].machine.list()).To(Equal([]string{"c0", "c3"}))
	})
})
