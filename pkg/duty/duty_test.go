package duty_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/duty"
)

func TestDuty(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "duty")
}

// Guards against a call by an instance that no longer has the right to make it.
var _ = DescribeTable("Claim.Check", func(change func(*duty.Standing), allowed bool) {
	s := duty.Standing{Leads: true, Term: 4, Newest: 17, Refused: 12}
	change(&s)
	err := duty.Claim{Term: 4, Token: 17}.Check(s)
	Expect(err == nil).To(Equal(allowed))
},
	Entry("holds the duty", func(*duty.Standing) {}, true),
	Entry("was frozen or partitioned, so its leader lease has ended", func(s *duty.Standing) { s.Leads = false }, false),
	Entry("leads again, in a later term", func(s *duty.Standing) { s.Term = 5 }, false),
	Entry("has seen another holder", func(s *duty.Standing) { s.Newest = 19 }, false),
	Entry("lost its disk", func(s *duty.Standing) { s.Newest = 0 }, false),
	Entry("was refused", func(s *duty.Standing) { s.Refused = 17 }, false),
)

var _ = Describe("Pacer", func() {
	var p *duty.Pacer
	BeforeEach(func() { p = &duty.Pacer{Interval: 200 * time.Millisecond} })

	It("names the oldest call, and none before the interval has passed", func() {
		next, ok := p.Next(0, []uint64{4, 5})
		Expect(ok).To(BeTrue())
		Expect(next).To(BeEquivalentTo(4))
		p.Record(0, 4, duty.Accepted, 0)
		_, ok = p.Next(p.Interval-1, []uint64{5})
		Expect(ok).To(BeFalse())
		_, ok = p.Next(p.Interval, []uint64{5})
		Expect(ok).To(BeTrue())
		_, ok = p.Next(p.Interval, nil)
		Expect(ok).To(BeFalse())
	})

	DescribeTable("backs off", func(a duty.Answer, retryAfter, first, fifth time.Duration) {
		delay, now := time.Duration(0), time.Duration(0)
		for i := range 5 {
			p.Record(now, 4, a, retryAfter)
			for delay = 0; ; delay += 50 * time.Millisecond {
				if _, ok := p.Next(now+delay, []uint64{4}); ok {
					break
				}
			}
			if i == 0 {
				Expect(delay).To(Equal(first))
			}
			now += delay
		}
		Expect(delay).To(Equal(fifth))
	},
		Entry("without a reply", duty.Failed, time.Duration(0), 250*time.Millisecond, 2*time.Second),
		Entry("above the rate limit", duty.Limited, time.Duration(0), 250*time.Millisecond, 2*time.Second),
		Entry("as long as the platform asks for", duty.Limited, time.Second, time.Second, 2*time.Second),
		Entry("but not for a minute", duty.Limited, time.Minute, 2*time.Second, 2*time.Second),
		Entry("after a refused token", duty.Superseded, time.Duration(0), 250*time.Millisecond, 2*time.Second),
	)

	It("lets a call that the platform rejects not hold up the others", func() {
		p.Record(0, 4, duty.Rejected, 0)
		next, ok := p.Next(p.Interval, []uint64{4, 5})
		Expect(ok).To(BeTrue())
		Expect(next).To(BeEquivalentTo(5))
		p.Record(p.Interval, 5, duty.Accepted, 0)
		next, _ = p.Next(time.Second, []uint64{4})
		Expect(next).To(BeEquivalentTo(4))
	})

	It("stays within its rate whatever the answers are", func() {
		random := rand.New(rand.NewPCG(1, 1))
		calls := 0
		for now := time.Duration(0); now < 100*time.Second; now += 10 * time.Millisecond {
			if next, ok := p.Next(now, []uint64{1, 2, 3, 4, 5, 6, 7, 8}); ok {
				calls++
				p.Record(now, next, duty.Answer(random.IntN(5)), time.Duration(random.IntN(500))*time.Millisecond)
			}
		}
		Expect(calls).To(BeNumerically("<=", 501))
		Expect(calls).To(BeNumerically(">", 50))
	})
})
