package mesh

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"radishturn.example/radishturn/pkg/membudget"
)

// FuzzReadMessage decodes arbitrary bytes from a peer as a request and as a
// reply.
func FuzzReadMessage(f *testing.F) {
	for _, message := range []any{
		&requestMessage{Kind: "lease.renew", Payload: cbor.RawMessage{0xa0}},
		&replyMessage{Payload: cbor.RawMessage{0xa1, 0x01, 0x02}},
		&replyMessage{Failure: &wireFailure{Code: "conflict", Ran: "not-run", Step: "s", Peer: "p", Message: "m"}},
	} {
		encoded, err := cbor.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Add([]byte{})
	f.Add(bytes.Repeat([]byte{0x81}, 64))
	f.Fuzz(func(t *testing.T, raw []byte) {
		e := new(requestMessage)
		if err := readMessage(bytes.NewReader(raw), e, membudget.Space{}); err == nil && len(e.Payload) > len(raw) {
			t.Fatal("payload longer than the message")
		}
		r := new(replyMessage)
		if err := readMessage(bytes.NewReader(raw), r, membudget.Space{}); err == nil && r.Failure != nil {
			_ = r.Failure.toError().Error()
		}
	})
}
