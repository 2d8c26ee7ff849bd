package target_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/target"
)

var _ = Describe("a probe", func() {
	It("is retried while an exiting target still accepts connections and closes them", func() {
		var asked atomic.Int32
		c := startTarget(func(w http.ResponseWriter, _ *http.Request) {
			if asked.Add(1) <= 2 {
				panic(http.ErrAbortHandler)
			}
			fmt.Fprint(w, `{"boot":"after"}`)
		})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		result, boot := c.Probe(ctx)
		Expect(result).To(Equal(target.ProbeAnswered))
		Expect(boot).To(Equal(model.BootID("after")))
	})

	It("is inconclusive when its context ends", func() {
		c := startTarget(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		result, _ := c.Probe(ctx)
		Expect(result).To(Equal(target.ProbeInconclusive))
	})
})
