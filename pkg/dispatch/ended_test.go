package dispatch

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/pool"
)

// A target that works on a request may reset connections beyond its limit. The request
// still counts as an attempt then.
func TestTargetHasEndedByFailuresToConnect(t *testing.T) {
	for name, c := range map[string]struct {
		errs  []error
		ended bool
	}{
		"refused twice":                {[]error{syscall.ECONNREFUSED, syscall.ECONNREFUSED}, true},
		"not answered twice":           {[]error{context.DeadlineExceeded, context.DeadlineExceeded}, true},
		"refused once":                 {[]error{syscall.ECONNREFUSED}, false},
		"reset, over its limit":        {[]error{syscall.ECONNRESET, syscall.ECONNRESET, syscall.ECONNRESET}, false},
		"reset between two refusals":   {[]error{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.ECONNREFUSED}, false},
		"closed before its first use":  {[]error{pool.ErrNotSent, pool.ErrNotSent}, false},
		"refused, then a reply, again": {[]error{syscall.ECONNREFUSED, nil, syscall.ECONNREFUSED}, false},
	} {
		t.Run(name, func(t *testing.T) {
			listed := &target{Target: model.Target{ID: "i-1"}, process: &process{}}
			for i, err := range c.errs {
				now := time.Duration(i+1) * time.Second
				result := pool.Result{Reply: &exchange.Reply{Status: 200, Signature: "s"}}
				if err != nil {
					result = pool.Result{Err: fmt.Errorf("connect: %w: %w", pool.ErrNotSent, err)}
				}
				listed.recordResult(now, now, time.Millisecond, time.Second, result)
			}
			NewWithT(t).Expect(listed.hasEnded(currentView{&registryState{targets: map[model.TargetID]*target{"i-1": listed}}})).To(Equal(c.ended))
		})
	}
}
