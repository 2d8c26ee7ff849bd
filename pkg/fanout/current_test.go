package fanout_test

import (
	"context"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/order"
	"radishturn.example/radishturn/pkg/targetproto"
	"radishturn.example/radishturn/pkg/view"
)

// What waited for capacity at a new version went there after it was rolled back.
var _ = Describe("a version that is rolled back while its only target is busy", func() {
	var f *fixture
	BeforeEach(func() {
		f = newFixture(1, 2, withoutHedging)
		f.list.Targets[1].Version = "2"
		f.setView(func(v *view.View) {
			v.Moves = map[model.CollectionID]view.Move{shop: {From: "1", To: "2", Share: 1}}
			v.Grants = map[model.TargetID]view.Grant{
				f.targets[0].target.ID: {Connections: 1, ColdLoad: 1}, f.targets[1].target.ID: {Connections: 1, ColdLoad: 1},
			}
		})
		hold := make(chan struct{})
		DeferCleanup(sync.OnceFunc(func() { close(hold) }))
		f.targets[1].set(func(t *fakeTarget) { t.hold = hold })
		go func() { _, _ = f.service.Query(context.Background(), newQuery("busy")) }()
		Eventually(f.targets[1].inFlightNow).Should(Equal(1))
	})

	// afterRollback starts something that waits, rolls back, and expects it to end well
	// while the new version is still busy.
	afterRollback := func(start func() error) {
		GinkgoHelper()
		ended := make(chan error, 1)
		go func() { ended <- start() }()
		Consistently(ended, "50ms").ShouldNot(Receive())
		f.setView(func(v *view.View) {
			v.Moves = map[model.CollectionID]view.Move{shop: {From: "1", To: "2", Reverted: true}}
		})
		Eventually(ended, "5s").Should(Receive(BeNil()))
		Expect(f.targets[1].inFlightNow()).To(Equal(1))
	}

	It("gets no query that waited for it", func() {
		afterRollback(func() error {
			answer, err := f.service.Query(context.Background(), newQuery("waiting"))
			if err == nil {
				Expect(answer.Coverage.Fraction).To(BeEquivalentTo(1))
			}
			return err
		})
		Expect(readField(f.targets[0], func(t *fakeTarget) int { return t.queriesRun })).To(Equal(1))
	})

	It("gets no order that waited for it", func() {
		afterRollback(func() error {
			_, err := f.service.Dispatch(context.Background(), order.Request{
				ID: "o-1", Collection: shop, Caller: "ana", IdempotencyKey: "k",
				Body: targetproto.OrderRequest{LeafKey: "loaf", Order: "two"}, Deadline: newQuery("").Deadline,
			}, always)
			return err
		})
		Expect(readField(f.targets[0], func(t *fakeTarget) int { return t.ordersRun })).To(Equal(1))
	})
})
