package table_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/lease/table"
	"radishturn.example/radishturn/pkg/model"
)

const (
	duration      = 2 * time.Second
	lifetime      = 3 * time.Second
	renewInterval = 500 * time.Millisecond
)

// fleet renews the leases of a table at a fixed interval.
type fleet struct {
	*table.Table
	now      time.Duration
	sequence uint64
}

func known(ids ...model.InstanceID) []table.KnownInstance {
	var all []table.KnownInstance
	for _, id := range ids {
		all = append(all, table.KnownInstance{Instance: id})
	}
	return all
}

// renew lets the holders renew for a time; each renewal confirms the previous reply.
func (f *fleet) renew(d time.Duration, revision model.Revision, ids ...model.InstanceID) {
	f.renewConfirming(d, revision, true, ids...)
}

func (f *fleet) renewConfirming(d time.Duration, revision model.Revision, confirms bool, ids ...model.InstanceID) {
	for end := f.now + d; f.now < end; f.now += renewInterval {
		f.sequence++
		for _, id := range ids {
			r := table.Renewal{Instance: id, Boot: "b", Sequence: f.sequence, Revision: revision}
			if confirms {
				r.Answered = f.sequence - 1
			}
			f.Renew(f.now, r)
		}
	}
}

func TestInForceWaitsForLeasesOfAPreviousLeader(t *testing.T) {
	g := NewWithT(t)
	f := &fleet{Table: table.New(0, duration, lifetime, known("a", "b", "c"))}
	f.renew(lifetime-renewInterval, 2, "a", "b")
	g.Expect(f.EndExpired(f.now)).To(BeEmpty())
	acknowledged, missing := f.InForce(2)
	g.Expect(acknowledged).To(ConsistOf(model.InstanceID("a"), model.InstanceID("b")))
	g.Expect(missing).To(ConsistOf(model.InstanceID("c")))
	f.renew(2*lifetime, 2, "a", "b")
	g.Expect(f.EndExpired(f.now)).To(ConsistOf(model.InstanceID("c")))
	_, missing = f.InForce(2)
	g.Expect(missing).To(BeEmpty())
	_, missing = f.InForce(3)
	g.Expect(missing).To(HaveLen(2))
}

func TestNoLeaseEndsWhileOnlyAMinorityIsConfirmed(t *testing.T) {
	g := NewWithT(t)
	f := &fleet{Table: table.New(0, duration, lifetime, known("a", "b", "c"))}
	f.renew(time.Minute, 1, "a")
	g.Expect(f.EndExpired(f.now)).To(BeEmpty())
}

func TestLeasesWithoutAnsweredRenewalsDoNotCount(t *testing.T) {
	g := NewWithT(t)
	f := &fleet{Table: table.New(0, duration, lifetime, known("a", "b", "c"))}
	f.renewConfirming(time.Minute, 1, false, "a", "b")
	g.Expect(f.EndExpired(f.now)).To(BeEmpty())
}

func TestNewInstancesCountAfterAWholeLifetime(t *testing.T) {
	g := NewWithT(t)
	f := &fleet{Table: table.New(0, duration, lifetime, known("a", "b", "c"))}
	f.renew(4*lifetime, 1, "a", "b", "c")
	f.renew(time.Minute, 1, "a", "d", "e", "f")
	g.Expect(f.EndExpired(f.now)).To(BeEmpty(), "b and c do not know of d, e and f")

	f = &fleet{Table: table.New(0, duration, lifetime, known("a", "b", "c"))}
	f.renew(4*lifetime, 1, "a", "b", "c", "d", "e", "f")
	f.renew(4*lifetime, 1, "a", "d", "e", "f")
	g.Expect(f.EndExpired(f.now)).To(ConsistOf(model.InstanceID("b"), model.InstanceID("c")))
}

func TestRenewalOutcomes(t *testing.T) {
	g := NewWithT(t)
	f := table.New(0, duration, lifetime, known("a"))
	renewal := table.Renewal{Instance: "a", Boot: "1", Sequence: 5}
	g.Expect(f.Renew(1, renewal)).To(Equal(table.FirstContact))
	g.Expect(f.Renew(2, renewal)).To(Equal(table.Renewed))
	renewal.Sequence = 4
	g.Expect(f.Renew(3, renewal)).To(Equal(table.Stale))
	renewal.Boot = "2"
	g.Expect(f.Renew(4, renewal)).To(Equal(table.WithoutGrants))
	g.Expect(f.Leases(5)).To(ConsistOf(HaveField("Left", lifetime-1)))
	f.Return(6, "a")
	g.Expect(f.Leases(7)).To(BeEmpty())
	g.Expect(f.Renew(8, renewal)).To(Equal(table.WithoutGrants))
}
