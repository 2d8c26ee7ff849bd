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

// Guards against instances outside of the control group that see a key: as relays of an
// operator's call, or in the changes of the table that they receive.
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
		for version := range uint64(20) {
			table := &routing.Table{Version: version + 1, Source: []byte("s3cret"), Callers: []routing.Caller{
				{Name: "ralo", Keys: []routing.KeyDigest{routing.DigestKey("s3cret")}},
			}}
			_, err := fl.instances[1].server.PutTable(t.Context(), table)
			g.Expect(err).NotTo(HaveOccurred())
			read, err := fl.instances[1].server.Table(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(read.Source).To(BeEquivalentTo("s3cret"))
			time.Sleep(time.Second)
		}
		mu.Lock()
		defer mu.Unlock()
		for i, n := range fl.instances {
			g.Expect(n.lease.View().Routing.Caller(routing.DigestKey("s3cret"))).NotTo(BeNil())
			if i >= memberCount {
				g.Expect(saw).NotTo(HaveKeyWithValue(n.id, true))
			}
		}
		g.Expect(saw).To(HaveKeyWithValue(instanceID(2), true))
	})
}
