package mesh_test

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/keys"
	"radishturn.example/radishturn/pkg/membudget"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/model"
)

func TestMesh(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "mesh")
}

type greeting struct {
	Text string `cbor:"1,keyasint"`
}

const greet mesh.Kind = "test.greet"

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func issue(folder, authority, name string, role keys.Role) *keys.Credentials {
	a, err := keys.LoadAuthority(authority)
	Expect(err).NotTo(HaveOccurred())
	Expect(a.Issue(folder, name, role, time.Hour)).To(Succeed())
	c, err := keys.Load(keys.Files{
		Authority:   authority + "/" + keys.AuthorityCertificateFile,
		Certificate: folder + "/" + name + ".pem",
		Key:         folder + "/" + name + ".key",
	})
	Expect(err).NotTo(HaveOccurred())
	return c
}

func start(ctx context.Context, c *keys.Credentials) *mesh.QUIC { return startWithMemory(ctx, c, nil) }

// startWithMemory is start with a budget for the messages of peers.
func startWithMemory(ctx context.Context, c *keys.Credentials, memory *membudget.Budget) *mesh.QUIC {
	m, err := mesh.Listen(loopback, c, false)
	Expect(err).NotTo(HaveOccurred())
	m.LimitMemory(memory)
	DeferCleanup(m.Close)
	mesh.Handle(m, greet, func(_ context.Context, from model.InstanceID, g *greeting) (*greeting, error) {
		if g.Text == "" {
			return nil, failure.New(failure.Conflict, failure.NotRun, "greet", "x", "nothing to say")
		}
		return &greeting{Text: string(from) + " says " + g.Text}, nil
	})
	go func() {
		defer GinkgoRecover()
		Expect(m.Run(ctx)).To(Succeed())
	}()
	return m
}

var _ = Describe("QUIC mesh", func() {
	var folder string
	var ctx context.Context

	BeforeEach(func() {
		folder = GinkgoT().TempDir()
		Expect(keys.InitAuthority(folder, time.Hour)).To(Succeed())
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
	})

	It("carries typed requests, replies and failures", func() {
		a := start(ctx, issue(folder, folder, "a", keys.RoleInstance))
		b := start(ctx, issue(folder, folder, "b", keys.RoleInstance))
		a.SetPeer("b", b.Address())
		reply, err := mesh.Call[greeting, greeting](ctx, a, "b", greet, &greeting{Text: "hello"})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Text).To(Equal("a says hello"))
		_, err = mesh.Call[greeting, greeting](ctx, a, "b", greet, &greeting{})
		Expect(failure.CodeOf(err)).To(Equal(failure.Conflict))
		Expect(failure.RanOf(err)).To(Equal(failure.NotRun))
	})

	Context("with a peer that restarts at the same address", func() {
		var a *mesh.QUIC
		var credentials *keys.Credentials

		BeforeEach(func() {
			a = start(ctx, issue(folder, folder, "a", keys.RoleInstance))
			credentials = issue(folder, folder, "b", keys.RoleInstance)
		})

		// listen starts b as a process that can be killed.
		listen := func(address netip.AddrPort) *mesh.QUIC {
			m, err := mesh.Listen(address, credentials, false)
			Expect(err).NotTo(HaveOccurred())
			mesh.Handle(m, greet, func(context.Context, model.InstanceID, *greeting) (*greeting, error) {
				return &greeting{Text: "here"}, nil
			})
			go func() { _ = m.Run(ctx) }()
			return m
		}
		greetB := func() error {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			_, err := mesh.Call[greeting, greeting](ctx, a, "b", greet, &greeting{Text: "hello"})
			return err
		}

		It("reaches it with the second call", func() {
			first := listen(loopback)
			address := first.Address()
			a.SetPeer("b", address)
			Expect(greetB()).To(Succeed())
			first.Kill()
			DeferCleanup(listen(address).Close)
			// The first call finds out through a stateless reset that the old connection
			// is closed.
			_ = greetB()
			Expect(greetB()).To(Succeed())
		})

		It("opens no stream on the connection that was reset", func() {
			b := listen(loopback)
			address := b.Address()
			a.SetPeer("b", address)
			for range 20 {
				Expect(greetB()).To(Succeed())
				b.Kill()
				b = listen(address)
				var callers sync.WaitGroup
				for range 32 {
					callers.Go(func() {
						defer GinkgoRecover()
						_ = greetB()
						Expect(greetB()).To(Succeed())
					})
				}
				callers.Wait()
			}
			Expect(b.Close()).To(Succeed())
		})
	})

	// Each start of a process that issues its own certificate makes a new key, as the
	// entries on the users' platform saw after all control processes were killed.
	DescribeTable("reaches within a second a peer that ended without notice and came back with a new key", func(kind mesh.Kind, request *greeting) {
		authority, err := keys.LoadAuthority(folder)
		Expect(err).NotTo(HaveOccurred())
		listen := func(address netip.AddrPort, name string) *mesh.QUIC {
			c, err := authority.IssueCredentials(name, time.Hour)
			Expect(err).NotTo(HaveOccurred())
			m, err := mesh.Listen(address, c, false)
			Expect(err).NotTo(HaveOccurred())
			mesh.Handle(m, kind, func(context.Context, model.InstanceID, *greeting) (*greeting, error) {
				return &greeting{Text: "here"}, nil
			})
			go func() { _ = m.Run(ctx) }()
			return m
		}
		a := listen(loopback, "a")
		DeferCleanup(a.Close)
		b := listen(loopback, "b")
		address := b.Address()
		a.SetPeer("b", address)
		// The first packets of a connection are longer than its requests, since they search
		// for the greatest packet that passes.
		for range 300 {
			_, err = mesh.Call[greeting, greeting](ctx, a, "b", kind, request)
			Expect(err).NotTo(HaveOccurred())
		}
		b.Kill()
		DeferCleanup(listen(address, "b").Close)
		within, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		// A call that fails has found out that the connection is lost; the next one dials.
		for err = errors.New("no call yet"); err != nil && within.Err() == nil; {
			_, err = mesh.Call[greeting, greeting](within, a, "b", kind, request)
		}
		Expect(err).NotTo(HaveOccurred())
	},
		Entry("for a request of usual length", greet, &greeting{Text: "hello, how are you today?"}),
		Entry("for a request without content", greet, &greeting{}),
		Entry("for the shortest request", mesh.Kind("k"), &greeting{}),
	)

	It("reports that a request to an unknown peer was not run", func() {
		a := start(ctx, issue(folder, folder, "a", keys.RoleInstance))
		_, err := mesh.Call[greeting, greeting](ctx, a, "nobody", greet, &greeting{Text: "hello"})
		Expect(failure.RanOf(err)).To(Equal(failure.NotRun))
	})

	DescribeTable("rejects peers", func(makePeer func() *keys.Credentials) {
		a := start(ctx, issue(folder, folder, "a", keys.RoleInstance))
		b := start(ctx, makePeer())
		b.SetPeer("a", a.Address())
		_, err := mesh.Call[greeting, greeting](ctx, b, "a", greet, &greeting{Text: "hello"})
		Expect(failure.CodeOf(err)).To(Equal(failure.PeerUnreachable))
	},
		Entry("with a foreign authority", func() *keys.Credentials {
			foreign := GinkgoT().TempDir()
			Expect(keys.InitAuthority(foreign, time.Hour)).To(Succeed())
			return issue(foreign, foreign, "b", keys.RoleInstance)
		}),
		Entry("with an operator's certificate", func() *keys.Credentials {
			other := issue(folder, folder, "anvil", keys.RoleOperator)
			return other
		}),
	)

	It("rejects a peer with an unexpected name", func() {
		a := start(ctx, issue(folder, folder, "a", keys.RoleInstance))
		b := start(ctx, issue(folder, folder, "b", keys.RoleInstance))
		a.SetPeer("c", b.Address())
		_, err := mesh.Call[greeting, greeting](ctx, a, "c", greet, &greeting{Text: "hello"})
		Expect(err).To(MatchError(ContainSubstring(`peer is "b", wanted "c"`)))
	})

	It("keeps the requests in progress when another one times out waiting for a stream", func() {
		const streams = 1024
		a := start(ctx, issue(folder, folder, "a", keys.RoleInstance))
		b := start(ctx, issue(folder, folder, "b", keys.RoleInstance))
		release := make(chan struct{})
		mesh.Handle(b, "test.wait", func(context.Context, model.InstanceID, *greeting) (*greeting, error) {
			<-release
			return &greeting{}, nil
		})
		a.SetPeer("b", b.Address())
		errs := make(chan error, streams)
		for range streams {
			go func() {
				_, err := mesh.Call[greeting, greeting](ctx, a, "b", "test.wait", &greeting{})
				errs <- err
			}()
		}
		Eventually(func() error {
			short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			defer cancel()
			_, err := mesh.Call[greeting, greeting](short, a, "b", greet, &greeting{Text: "one more"})
			return err
		}, "10s", "10ms").Should(HaveOccurred())
		close(release)
		for range streams {
			Expect(<-errs).NotTo(HaveOccurred())
		}
	})

	It("does not load an expired certificate", func() {
		a, err := keys.LoadAuthority(folder)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Issue(folder, "old", keys.RoleInstance, -time.Minute)).To(Succeed())
		_, err = keys.Load(keys.Files{
			Authority:   folder + "/" + keys.AuthorityCertificateFile,
			Certificate: folder + "/old.pem", Key: folder + "/old.key",
		})
		Expect(err).To(MatchError(ContainSubstring("expired")))
	})
})
