package fanout_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/order"
	"radishturn.example/radishturn/pkg/query"
	"radishturn.example/radishturn/pkg/targetproto"
	"radishturn.example/radishturn/pkg/view"
)

func TestFanout(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fanout")
}

// newQuery returns a query whose caller states no minimum coverage.
func newQuery(text string) query.Request {
	return query.Request{
		ID: model.RequestID("r-" + text), Collection: shop, Caller: "ana", Route: "search",
		Query: text, Limit: 5, MinCoverage: -1, Deadline: time.Now().Add(2 * time.Second),
	}
}

func always() bool { return true }

var _ = Describe("a query", func() {
	It("answers from every leaf of one snapshot and counts documents", func() {
		f := newFixture(3, 2)
		answer, err := f.service.Query(context.Background(), newQuery("rye"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Snapshot).To(Equal(model.SnapshotID("s1")))
		Expect(answer.Coverage).To(Equal(query.Coverage{Answered: 300, Total: 300, Fraction: 1}))
		Expect(answer.Hits).To(HaveLen(5))
	})

	It("reports a leaf as missing when all of its targets fail", func() {
		f := newFixture(3, 2)
		f.updateLeaf(1, func(t *fakeTarget) { t.status = 500 })
		answer, err := f.service.Query(context.Background(), newQuery("rye"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Coverage.Answered).To(Equal(200))
		Expect(answer.Coverage.Missing).To(Equal([]query.MissingLeaf{{Service: "svc", Leaf: 1, Reason: query.MissingFailed}}))
	})

	It("tries another target when one fails", func() {
		f := newFixture(1, 2)
		f.targets[0].status = 500
		for range 8 {
			answer, err := f.service.Query(context.Background(), newQuery("rye"))
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Coverage.Fraction).To(Equal(1.0))
		}
	})

	It("is refused as not run when the instance holds no lease", func() {
		f := newFixture(1, 1)
		f.lease = view.LeaseCutOff
		_, err := f.service.Query(context.Background(), newQuery("rye"))
		Expect(failure.CodeOf(err)).To(Equal(failure.LeaseExpired))
		Expect(failure.RanOf(err)).To(Equal(failure.NotRun))
		Expect(f.targets[0].runCount()).To(BeZero())
	})

	It("is still answered while control is lost", func() {
		f := newFixture(1, 1)
		f.lease = view.LeaseControlLost
		_, err := f.service.Query(context.Background(), newQuery("rye"))
		Expect(err).NotTo(HaveOccurred())
	})

	It("has a trace of the targets it was sent to", func() {
		f := newFixture(2, 1)
		_, err := f.service.Query(context.Background(), newQuery("rye"))
		Expect(err).NotTo(HaveOccurred())
		trace, ok := f.service.Explain("r-rye")
		Expect(ok).To(BeTrue())
		Expect(trace.Passes).To(HaveLen(1))
		Expect(trace.Passes[0].Leaves[0].Attempts).To(HaveLen(1))
		Expect(trace.Passes[0].Leaves[0].Attempts[0].Result).To(Equal("ok"))
	})
})

var _ = Describe("an order", func() {
	request := func() order.Request {
		return order.Request{
			ID: "o-1", Collection: shop, Caller: "ana", IdempotencyKey: "k",
			Body:     targetproto.OrderRequest{LeafKey: "loaf", Order: "two"},
			Deadline: time.Now().Add(time.Second),
		}
	}

	It("runs at one target", func() {
		f := newFixture(2, 2)
		reply, err := f.service.Dispatch(context.Background(), request(), always)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Confirmation).NotTo(BeEmpty())
		Expect(f.orderCount()).To(Equal(1))
	})

	It("is not sent when maySend returns false", func() {
		f := newFixture(1, 2)
		_, err := f.service.Dispatch(context.Background(), request(), func() bool { return false })
		Expect(failure.RanOf(err)).To(Equal(failure.NotRun))
		Expect(f.orderCount()).To(BeZero())
	})

	It("is sent to another target after a refusal, which proves that it was not run", func() {
		f := newFixture(1, 2)
		f.targets[0].refusal = targetproto.RefusalShed
		for range 4 {
			_, err := f.service.Dispatch(context.Background(), request(), always)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(f.orderCount()).To(Equal(4))
	})

	It("has an unknown outcome after a lost reply and is not sent again", func() {
		f := newFixture(1, 2)
		for _, t := range f.targets {
			t.hangUp = true
		}
		_, err := f.service.Dispatch(context.Background(), request(), always)
		Expect(failure.RanOf(err)).To(Equal(failure.Unknown))
		Expect(f.orderCount()).To(Equal(1))
	})
})
