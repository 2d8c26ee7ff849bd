package server_test

import (
	"bytes"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/routing"
)

// observer returns the function that gets the messages of the fleet, if there is one.
func (b *fakeNetwork) observer() func(at model.InstanceID, message []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.observe
}

// Guards against instances outside of the control group that see a key: as relays of an
// operator's call, or in the changes of the table that they receive. Guards against an
// instance that refuses a key which the newest table holds, and against more renewals
// than the leader can bear if many requests have unknown keys.
func TestKeysReachOnlyTheControlGroup(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		g := NewWithT(t)
		var mu sync.Mutex
		saw := make(map[model.InstanceID]bool)
		fl.network.mu.Lock()
		fl.network.observe = func(at model.InstanceID, message []byte) {
			mu.Lock()
			defer mu.Unlock()
			saw[at] = saw[at] || bytes.Contains(message, []byte("s3cret"))
		}
		fl.network.mu.Unlock()
		time.Sleep(settleTime)
		fl.partition("entry-1", "entry-0")
		entry := fl.instances[5].lease
		for version := range uint64(20) {
			table := &routing.Table{Version: version + 1, Source: []byte("s3cret"), Callers: []routing.Caller{
				{Name: "ralo", Keys: []routing.KeyDigest{routing.DigestKey("s3cret")}},
			}}
			_, err := fl.instances[1].server.PutTable(t.Context(), table)
			g.Expect(err).NotTo(HaveOccurred())
			began := time.Now()
			entry.Refresh(t.Context())
			g.Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
			g.Expect(entry.View().Routing.Table.Callers).To(Equal(table.Callers))
			g.Expect(entry.View().Routing.Version()).To(Equal(version + 1))
			read, err := fl.instances[1].server.Table(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(read.Source).To(BeEquivalentTo("s3cret"))
			time.Sleep(time.Second)
		}
		mu.Lock()
		g.Expect(saw).To(HaveKeyWithValue(instanceID(2), true))
		for i := memberCount; i < instanceCount; i++ {
			g.Expect(saw).NotTo(HaveKeyWithValue(instanceID(i), true))
		}
		mu.Unlock()
		began, refreshes := time.Now(), 0
		for ; time.Since(began) < 10*time.Second; refreshes++ {
			entry.Refresh(t.Context())
		}
		g.Expect(refreshes).To(BeNumerically("<", 50))
	})
}
