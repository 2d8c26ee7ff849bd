package server_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/routing"
)

// Guards against an instance that refuses a key which the newest table holds, and
// against more renewals than the leader can bear if many requests have unknown keys.
func TestRefreshBringsTheNewestTable(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		g := NewWithT(t)
		time.Sleep(settleTime)
		entry := fl.instances[5].lease
		for version := uint64(1); version <= 10; version++ {
			_, err := fl.instances[0].server.PutTable(t.Context(), &routing.Table{Version: version})
			g.Expect(err).NotTo(HaveOccurred())
			began := time.Now()
			entry.Refresh(t.Context())
			g.Expect(entry.View().Routing.Version()).To(Equal(version))
			g.Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
		}
		began, refreshes := time.Now(), 0
		for ; time.Since(began) < 10*time.Second; refreshes++ {
			entry.Refresh(t.Context())
		}
		g.Expect(refreshes).To(BeNumerically("<", 50))
	})
}

// Guards against requests that wait for a renewal which cannot succeed.
func TestRefreshWithoutControlEndsWithItsContext(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		g := NewWithT(t)
		time.Sleep(settleTime)
		fl.group.elect("")
		time.Sleep(settleTime)
		entry := fl.instances[5].lease
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		began := time.Now()
		entry.Refresh(ctx)
		g.Expect(time.Since(began)).To(BeNumerically("<=", 100*time.Millisecond))
	})
}
