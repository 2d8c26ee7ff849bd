package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/retry"
	"radishturn.example/radishturn/pkg/view"
)

var _ = Describe("The retry budget of a large fleet", func() {
	// One of a shard's targets stalls, and each query of an instance meets it.
	It("allows an instance hedges until less than one whole request is left", func() {
		f := newFixture()
		f.engine.opts.RetryBudget = retry.Bound{Window: 10 * time.Second, Ratio: 0.2, Slack: 430}
		f.publish(func(v *view.View) {
			for n := range 194 {
				v.Instances = append(v.Instances, model.Instance{ID: model.InstanceID(fmt.Sprint(n))})
			}
		})
		hedges := 0
		for range 3 {
			f.engine.recordFirst("s")
			if f.engine.takeExtraRequest("s", false) {
				hedges++
			}
		}
		Expect(hedges).To(Equal(2))
		Expect(f.engine.extraRequestsLeft("s")).To(BeNumerically("<", 1))
	})

	It("keeps whole requests for calls that fail without them in a small fleet", func() {
		f := newFixture()
		f.engine.opts.RetryBudget = retry.Bound{Window: 10 * time.Second, Ratio: 0, Slack: 10}
		f.publish(nil)
		for f.engine.takeExtraRequest("s", false) {
		}
		needed := 0
		for f.engine.takeExtraRequest("s", true) {
			needed++
		}
		Expect(needed).To(Equal(2))
	})
})
