package dispatch

import (
	"errors"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/pool"
)

var _ = Describe("A belief of a target", func() {
	const usual = 20 * time.Millisecond
	ok := pool.Result{Reply: &exchange.Reply{Status: http.StatusOK}}
	unreached := pool.Result{Err: pool.ErrNotSent}

	newTarget := func() *target { return &target{Target: model.Target{ID: "i"}, process: &process{}} }
	end := func(t *target, now time.Duration, r pool.Result) belief {
		return t.finished(now, now-usual, usual, time.Second, r)
	}

	It("changes once while it cannot be reached, and once when it answers again", func() {
		t := newTarget()
		Expect(end(t, time.Second, ok)).To(Equal(beliefSame))
		Expect(end(t, 2*time.Second, unreached)).To(Equal(beliefUnreached))
		Expect(end(t, 3*time.Second, unreached)).To(Equal(beliefSame))
		Expect(end(t, 4*time.Second, ok)).To(Equal(beliefReached))
		Expect(end(t, 5*time.Second, ok)).To(Equal(beliefSame))
	})

	It("changes when another target has the address", func() {
		t := newTarget()
		mistaken := pool.Result{Reply: &exchange.Reply{Status: http.StatusMisdirectedRequest, WrongTarget: true}}
		Expect(end(t, time.Second, mistaken)).To(Equal(beliefMistaken))
		Expect(end(t, 2*time.Second, mistaken)).To(Equal(beliefSame))
	})

	It("does not change with a request that was given up before it was sent", func() {
		t := newTarget()
		Expect(end(t, time.Second, pool.Result{Err: errors.Join(pool.ErrNotSent, pool.ErrAbandoned)})).To(Equal(beliefSame))
		_, used := t.cost(time.Second)
		Expect(used).To(BeTrue())
	})

	It("does not change with a connection that breaks off", func() {
		Expect(end(newTarget(), time.Second, pool.Result{Err: errors.New("reset")})).To(Equal(beliefSame))
	})
})
