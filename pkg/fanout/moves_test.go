package fanout_test

import (
	"context"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

var _ = Describe("the death of one target of a new version", func() {
	It("does not stop the version, however many requests were in flight", func() {
		const lost, requests = 6, 24
		f := newFixture(1, 1, withoutHedging)
		only := f.targets[0]
		f.list.Targets[0].Version = "2"
		f.setView(func(v *view.View) {
			v.Moves = map[model.CollectionID]view.Move{shop: {From: "1", To: "2", Share: 1}}
			v.Grants = map[model.TargetID]view.Grant{only.target.ID: {Connections: requests, ColdLoad: requests}}
		})
		f.warmUp()
		hold := make(chan struct{})
		release := sync.OnceFunc(func() { close(hold) })
		defer release()
		only.set(func(t *fakeTarget) { t.hold = hold })
		go func() {
			defer GinkgoRecover()
			Eventually(only.inFlightNow).Should(BeNumerically(">=", lost))
			// Connections are closed before hold is lifted, so that no reply from
			// the lost incarnation reports the boot ID of the next one.
			only.set(func(t *fakeTarget) { t.boot = "b2" })
			only.server.CloseClientConnections()
			only.set(func(t *fakeTarget) { t.hold = nil })
			release()
		}()
		for _, answer := range f.queryConcurrently(requests) {
			Expect(answer).NotTo(BeNil())
		}
		Expect(f.reported(func(e view.Evidence) bool { return len(e.Crashes) > 0 })).To(BeTrue())
		Expect(f.reported(func(e view.Evidence) bool { return len(e.VersionStops) > 0 })).To(BeFalse())
	})

	It("is noticed by a request whose loss is seen only after the next process has answered another one", func() {
		f := newFixture(1, 1, withoutHedging)
		only := f.targets[0]
		f.warmUp()
		hold := make(chan struct{})
		only.set(func(t *fakeTarget) { t.hold = hold })
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = f.service.Query(context.Background(), newQuery("lost"))
		}()
		Eventually(only.inFlightNow).Should(Equal(1))
		only.set(func(t *fakeTarget) { t.hold, t.boot = nil, "b2" })
		_, err := f.service.Query(context.Background(), newQuery("next"))
		Expect(err).NotTo(HaveOccurred())
		only.server.CloseClientConnections()
		close(hold)
		<-ended
		Expect(f.reported(func(e view.Evidence) bool { return len(e.Crashes) > 0 && e.Crashes[0].Boot == "b1" })).To(BeTrue())
	})
})
