package routing_test

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/routing"
)

func account(name string, keys ...string) routing.Caller {
	c := routing.Caller{Name: model.CallerID(name)}
	for _, k := range keys {
		c.Keys = append(c.Keys, routing.DigestKey(k))
	}
	return c
}

func decoded(t *routing.Table) *routing.Table {
	GinkgoHelper()
	encoded, err := cbor.Marshal(t)
	Expect(err).NotTo(HaveOccurred())
	out := new(routing.Table)
	Expect(cbor.Unmarshal(encoded, out)).To(Succeed())
	return out
}

var _ = Describe("Callers", func() {
	It("are found by any of their keys, and override a route's priority also by 0", func() {
		t, zero := table(), 0
		t.Routes[0].Priority = 2
		t.Callers = []routing.Caller{account("ralo", "k1", "k2"), account("mira", "k3")}
		t.Callers[1].Priority = &zero
		x := routing.NewIndex(decoded(t))
		Expect(x.NeedsKeys()).To(BeTrue())
		Expect(x.Caller(routing.DigestKey("k2")).Name).To(BeEquivalentTo("ralo"))
		Expect(x.Caller(routing.DigestKey("k4"))).To(BeNil())
		Expect(x.Caller(routing.DigestKey("k1")).EffectivePriority(&t.Routes[0])).To(Equal(2))
		Expect(x.Caller(routing.DigestKey("k3")).EffectivePriority(&t.Routes[0])).To(Equal(0))
		Expect(x.Caller(routing.DigestKey("k4")).EffectivePriority(&t.Routes[0])).To(Equal(2))
	})

	// Guards against an upgrade after which instances refuse requests that need no key.
	It("are absent from tables of earlier builds", func() {
		t := table()
		Expect(decoded(t)).To(Equal(t))
		encoded, err := cbor.Marshal(t)
		Expect(err).NotTo(HaveOccurred())
		var fields map[int]cbor.RawMessage
		Expect(cbor.Unmarshal(encoded, &fields)).To(Succeed())
		Expect(fields).NotTo(HaveKey(6))
		Expect(routing.NewIndex(decoded(t)).NeedsKeys()).To(BeFalse())
	})

	It("reach entry instances as digests only", func() {
		t := table()
		t.Callers, t.Source = []routing.Caller{account("ralo", "secret-key")}, []byte("secret-key")
		old := table()
		old.Version = 2
		for _, d := range []*routing.TableDelta{t.FullDelta(), t.DeltaSince(2, t.Diff(old))} {
			encoded, err := cbor.Marshal(d)
			Expect(err).NotTo(HaveOccurred())
			Expect(bytes.Contains(encoded, []byte("secret-key"))).To(BeFalse())
			received, ok := old.Apply(d)
			Expect(ok).To(BeTrue())
			Expect(received.Callers).To(Equal(t.Callers))
		}
	})

	DescribeTable("are refused", func(message string, callers ...routing.Caller) {
		t := table()
		t.Callers = callers
		err := t.Check()
		Expect(err).To(MatchError(ContainSubstring(message)))
		Expect(err.Error()).NotTo(ContainSubstring("secret"))
	},
		Entry("shared key", "share a key", account("a", "x", "secret"), account("b", "secret")),
		Entry("same name", "listed twice", account("a", "x"), account("a", "y")),
		Entry("no name", "empty", account("", "x")),
		Entry("name with a line end", "no value of a header field", account("a\r\nX-Other: b", "x")),
		Entry("name with a space at its end", "no value of a header field", account("a ", "x")),
		Entry("empty key", "empty key", account("a", "")),
	)

	It("may have one key twice, or none", func() {
		t := table()
		t.Callers = []routing.Caller{account("a", "x", "x"), account("b")}
		Expect(t.Check()).To(Succeed())
	})
})
