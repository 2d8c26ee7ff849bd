package mesh_test

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/keys"
	"radishturn.example/radishturn/pkg/mesh"
)

// Guards against a large message that is given up although it moves.
var _ = Describe("A call with a progress function", func() {
	const (
		textBytes = 1 << 20
		// pieces is far fewer than the packets of the message.
		pieces = 50
		// stallTimeout is far below the idle timeout of a connection.
		stallTimeout = 300 * time.Millisecond
	)
	var a *mesh.QUIC
	var ctx context.Context
	var folder string
	BeforeEach(func() {
		folder = GinkgoT().TempDir()
		Expect(keys.InitAuthority(folder, time.Hour)).To(Succeed())
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
		a = start(ctx, issue(folder, folder, "a", keys.RoleInstance))
	})

	It("reports each part of the request and of the reply", func() {
		b := start(ctx, issue(folder, folder, "b", keys.RoleInstance))
		a.SetPeer("b", b.Address())
		var reports atomic.Int64
		counted := mesh.WithProgress(ctx, func() { reports.Add(1) })
		_, err := mesh.Call[greeting, greeting](counted, a, "b", greet, &greeting{Text: strings.Repeat("x", textBytes)})
		Expect(err).NotTo(HaveOccurred())
		Expect(reports.Load()).To(BeNumerically(">", pieces))
	})

	It("reports nothing while the peer reads nothing, so that the caller can end it", func() {
		b, err := mesh.Listen(loopback, issue(folder, folder, "b", keys.RoleInstance), false)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(b.Close)
		a.SetPeer("b", b.Address())
		limited, cancel := context.WithCancel(ctx)
		defer cancel()
		stalled := time.AfterFunc(stallTimeout, cancel)
		limited = mesh.WithProgress(limited, func() { stalled.Reset(stallTimeout) })
		began := time.Now()
		_, err = mesh.Call[greeting, greeting](limited, a, "b", greet, &greeting{Text: strings.Repeat("x", textBytes)})
		Expect(err).To(MatchError(context.Canceled))
		Expect(time.Since(began)).To(BeNumerically("<", 10*stallTimeout))
	})
})
