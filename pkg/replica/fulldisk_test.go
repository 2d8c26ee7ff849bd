package replica_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/journal/journaltest"
	"radishturn.example/radishturn/pkg/model"
)

// noSpaceForAnything is too few bytes for any write to a data folder in use.
const noSpaceForAnything = 10

// restartEnded opens the nodes that have ended again, as a supervisor does.
func (g *group) restartEnded() (restarts int) {
	GinkgoHelper()
	for id, m := range g.members {
		if !m.ended() {
			continue
		}
		g.network.leave(id)
		delete(g.members, id)
		_ = m.stop()
		g.start(id)
		restarts++
	}
	return restarts
}

// tryPropose proposes a command once, to whichever member leads.
func (g *group) tryPropose(command string) bool {
	for _, m := range g.members {
		if !m.IsLeader() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), electionTimeout)
		defer cancel()
		_, err := m.Propose(ctx, []byte(command))
		return err == nil
	}
	return false
}

// proposeFor proposes commands for a time, restarts nodes that end, and returns the
// commands that were acknowledged and the number of restarts.
func (g *group) proposeFor(duration time.Duration, prefix string) (acknowledged []string, restarts int) {
	GinkgoHelper()
	end := time.Now().Add(duration)
	for i := 0; time.Now().Before(end); i++ {
		restarts += g.restartEnded()
		command := fmt.Sprintf("%s-%d", prefix, i)
		if g.tryPropose(command) {
			acknowledged = append(acknowledged, command)
		}
		time.Sleep(heartbeat / 10)
	}
	return acknowledged, restarts
}

// missingFrom returns the commands that are not in the list.
func missingFrom(list, commands []string) []string {
	listed := make(map[string]bool, len(list))
	for _, c := range list {
		listed[c] = true
	}
	return slices.DeleteFunc(slices.Clone(commands), func(c string) bool { return listed[c] })
}

func (g *group) expectDiskFull(id model.InstanceID, full bool) {
	GinkgoHelper()
	Eventually(func() bool { return g.members[id].Status().DiskFull }, waitTimeout, heartbeat).Should(Equal(full))
}

var _ = Describe("A group with full disks", func() {
	It("keeps all members and every acknowledged command while its disks are full one after another", func() {
		r := rand.New(rand.NewPCG(37, 3))
		ids := []model.InstanceID{"a", "b", "c", "d", "e"}
		g := newGroup(ids...)
		g.start(ids...)
		g.propose("first")
		acknowledged := []string{"first"}
		for _, i := range r.Perm(len(ids)) {
			disk := g.diskOf(ids[i])
			disk.LimitSpace(r.IntN(2000))
			full := 3*electionTimeout + time.Duration(r.Int64N(int64(3*electionTimeout)))
			commands, restarts := g.proposeFor(full, "full-"+string(ids[i]))
			Expect(restarts).To(BeZero())
			Expect(commands).NotTo(BeEmpty())
			acknowledged = append(acknowledged, commands...)
			disk.UnlimitSpace()
			commands, _ = g.proposeFor(electionTimeout, "space-"+string(ids[i]))
			acknowledged = append(acknowledged, commands...)
		}
		g.propose("last")
		expected := g.leader().machine.list()
		Expect(missingFrom(expected, acknowledged)).To(BeEmpty())
		g.expectEverywhere(expected)
	})

	It("elects another leader while the leader's disk is full, which goes on afterwards", func() {
		g := newGroup("a", "b", "c")
		g.start("a", "b", "c")
		g.propose("c0")
		leader := g.leader()
		id := leader.Status().Self.Instance
		g.diskOf(id).LimitSpace(noSpaceForAnything)
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		_, err := leader.Propose(ctx, []byte("c1"))
		Expect(failure.RanOf(err)).To(Equal(failure.Unknown))
		Expect(ctx.Err()).NotTo(HaveOccurred())
		Expect(leader.IsLeader()).To(BeFalse())
		Expect(leader.Status().DiskFull).To(BeTrue())
		_, err = leader.Propose(ctx, []byte("c1"))
		Expect(failure.CodeOf(err)).To(Equal(failure.NotLeader))
		Expect(failure.RanOf(err)).To(Equal(failure.NotRun))
		g.propose("c1")
		Expect(g.leader()).NotTo(Equal(leader))
		Expect(leader.ended()).To(BeFalse())
		g.diskOf(id).UnlimitSpace()
		g.expectDiskFull(id, false)
		g.propose("c2")
		g.expectEverywhere(numbered(0, 3))
	})

	It("counts no acknowledgement of a member whose disk is full", func() {
		g := newGroup("a", "b", "c")
		g.start("a", "b", "c")
		g.propose("c0")
		g.expectEverywhere(numbered(0, 1))
		followers := g.followers()
		g.stop(followers[0].Status().Self.Instance)
		full := followers[1].Status().Self.Instance
		g.diskOf(full).LimitSpace(noSpaceForAnything)
		ctx, cancel := context.WithTimeout(context.Background(), 3*electionTimeout)
		defer cancel()
		_, err := g.leader().Propose(ctx, []byte("c1"))
		Expect(failure.RanOf(err)).To(Equal(failure.Unknown))
		g.expectDiskFull(full, true)
		Expect(g.members[full].machine.list()).To(Equal(numbered(0, 1)))
		Eventually(g.hasLeader, waitTimeout, heartbeat).Should(BeFalse())
		g.diskOf(full).UnlimitSpace()
		g.propose("c1")
		g.expectEverywhere(numbered(0, 2))
	})

	It("writes what it held once a single member's disk has space", func() {
		g := newGroup("a")
		g.start("a")
		g.propose("c0")
		g.diskOf("a").LimitSpace(noSpaceForAnything)
		_, err := g.members["a"].Propose(context.Background(), []byte("c1"))
		Expect(failure.RanOf(err)).To(Equal(failure.Unknown))
		g.diskOf("a").UnlimitSpace()
		g.propose("c2")
		g.expectEverywhere(numbered(0, 3))
		g.stop("a")
		g.start("a")
		g.propose("c3")
		g.expectEverywhere(numbered(0, 4))
	})

	It("forms once the disk of every initial member has space", func() {
		g := newGroup("a", "b", "c")
		g.diskOf("c").LimitSpace(100)
		g.start("a", "b", "c")
		g.expectDiskFull("c", true)
		g.diskOf("c").UnlimitSpace()
		g.propose("c0")
		g.expectEverywhere(numbered(0, 1))
	})

	It("lets a learner install a snapshot once its disk has space", func() {
		g := newGroup("a")
		g.start("a")
		for _, c := range numbered(0, snapshotEvery+10) {
			g.propose(c)
		}
		g.diskOf("d").LimitSpace(150)
		g.start("d")
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		Expect(g.leader().AddLearner(ctx, g.members["d"].Status().Self)).To(Succeed())
		g.expectDiskFull("d", true)
		g.diskOf("d").UnlimitSpace()
		g.expectEverywhere(numbered(0, snapshotEvery+10))
	})

	It("accepts commands without a snapshot while only the snapshot finds the disk full", func() {
		g := newGroup("a")
		g.start("a")
		g.propose("c0")
		g.diskOf("a").SetFault(func(op journaltest.Operation, name string) error {
			if op == journaltest.Write && strings.HasSuffix(name, "/snapshot.tmp") {
				return syscall.ENOSPC
			}
			return nil
		})
		for _, c := range numbered(1, 3*snapshotEvery) {
			g.propose(c)
		}
		Expect(g.members["a"].ended()).To(BeFalse())
		Expect(g.diskOf("a").Names()).NotTo(ContainElement(HaveSuffix("/snapshot.tmp")))
		g.diskOf("a").SetFault(nil)
		Eventually(func() []string {
			g.propose("again")
			return g.diskOf("a").Names()
		}, waitTimeout, heartbeat).Should(ContainElement("/data/snapshot"))
		g.stop("a")
		g.start("a")
		g.expectEverywhere(append(numbered(0, 3*snapshotEvery), "again"))
	})

	It("stops when asked to while its disk is full", func() {
		g := newGroup("a")
		g.start("a")
		g.propose("c0")
		g.diskOf("a").LimitSpace(noSpaceForAnything)
		_, err := g.members["a"].Propose(context.Background(), []byte("c1"))
		Expect(failure.RanOf(err)).To(Equal(failure.Unknown))
		g.stop("a")
		g.start("a")
		Expect(g.members["a"].ended()).To(BeFalse())
		g.diskOf("a").UnlimitSpace()
		g.propose("c2")
	})
})
