package routing_test

import (
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

var _ = Describe("Callers", func() {
	It("are found by any of their keys, and override a route's priority also by 0", func() {
		t, urgent := table(), 0
		t.Routes[0].Priority = 2
		t.Callers = []routing.Caller{account("ralo", "k1", "k2"), account("mira", "k3")}
		t.Callers[1].Priority = &urgent
		encoded, err := cbor.Marshal(t.FullDelta())
		Expect(err).NotTo(HaveOccurred())
		var delta routing.TableDelta
		Expect(cbor.Unmarshal(encoded, &delta)).To(Succeed())
		received, _ := (*routing.Table)(nil).Apply(&delta)
		x := routing.NewIndex(received)
		for key, want := range map[string]int{"k1": 2, "k2": 2, "k3": 0, "k4": 2} {
			Expect(x.Caller(routing.DigestKey(key)).EffectivePriority(&t.Routes[0])).To(Equal(want), key)
		}
		Expect(x.Caller(routing.DigestKey("k2")).Name).To(BeEquivalentTo("ralo"))
	})

	// Guards against an upgrade after which instances refuse requests that need no key.
	It("are absent from tables of earlier builds", func() {
		encoded, err := cbor.Marshal(table())
		Expect(err).NotTo(HaveOccurred())
		var fields map[int]cbor.RawMessage
		Expect(cbor.Unmarshal(encoded, &fields)).To(Succeed())
		Expect(fields).NotTo(HaveKey(6))
		decoded := new(routing.Table)
		Expect(cbor.Unmarshal(encoded, decoded)).To(Succeed())
		Expect(decoded).To(Equal(table()))
		Expect(routing.NewIndex(decoded).NeedsKeys()).To(BeFalse())
	})

	DescribeTable("are checked", func(message string, callers ...routing.Caller) {
		t := table()
		t.Callers = callers
		if message == "" {
			Expect(t.Check()).To(Succeed())
		} else {
			Expect(t.Check()).To(MatchError(ContainSubstring(message)))
		}
	},
		Entry("one key twice, and no key", "", account("a", "x", "x"), account("b")),
		Entry("shared key", "share a key", account("a", "x", "y"), account("b", "y")),
		Entry("same name", "listed twice", account("a", "x"), account("a", "y")),
		Entry("no name", "empty", account("", "x")),
		Entry("name with a line end", "no value of a header field", account("a\r\nX-Other: b", "x")),
		Entry("name with a space at its end", "no value of a header field", account("a ", "x")),
		Entry("empty key", "empty key", account("a", "")),
	)
})
