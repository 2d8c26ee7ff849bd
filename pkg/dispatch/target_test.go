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

var _ = Describe("The state of a target", func() {
	const usual = 20 * time.Millisecond
	ok := pool.Result{Reply: &exchange.Reply{Status: http.StatusOK}}
	unreached := pool.Result{Err: pool.ErrNotSent}

	newTarget := func() *target { return &target{Target: model.Target{ID: "i"}, process: &process{}} }
	end := func(t *target, now time.Duration, r pool.Result) targetChange {
		return t.recordResult(now, now-usual, usual, time.Second, r)
	}

	It("reports a change once when it becomes unreachable, and once when it is reachable again", func() {
		t := newTarget()
		Expect(end(t, time.Second, ok)).To(Equal(changeNone))
		Expect(end(t, 2*time.Second, unreached)).To(Equal(changeUnreachable))
		Expect(end(t, 3*time.Second, unreached)).To(Equal(changeNone))
		Expect(end(t, 4*time.Second, ok)).To(Equal(changeReachable))
		Expect(end(t, 5*time.Second, ok)).To(Equal(changeNone))
	})

	It("reports a change when another target uses its address", func() {
		t := newTarget()
		wrongTarget := pool.Result{Reply: &exchange.Reply{Status: http.StatusMisdirectedRequest, WrongTarget: true}}
		Expect(end(t, time.Second, wrongTarget)).To(Equal(changeWrongTarget))
		Expect(end(t, 2*time.Second, wrongTarget)).To(Equal(changeNone))
	})

	It("reports no change when a request was abandoned before it was sent", func() {
		t := newTarget()
		Expect(end(t, time.Second, pool.Result{Err: errors.Join(pool.ErrNotSent, pool.ErrAbandoned)})).To(Equal(changeNone))
		_, _, used := t.cost(time.Second)
		Expect(used).To(BeTrue())
	})

	It("reports no change when a connection ends during a request", func() {
		Expect(end(newTarget(), time.Second, pool.Result{Err: errors.New("reset")})).To(Equal(changeNone))
	})
})
