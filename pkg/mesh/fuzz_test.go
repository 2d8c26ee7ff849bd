package mesh

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// FuzzReadMessage feeds what a peer may send to the decoder of both messages.
func FuzzReadMessage(f *testing.F) {
	for _, message := range []any{
		&envelope{Kind: "lease.renew", Payload: cbor.RawMessage{0xa0}},
		&answer{Payload: cbor.RawMessage{0xa1, 0x01, 0x02}},
		&answer{Failure: &wireFailure{Code: "conflict", Ran: "not-run", Step: "s", Peer: "p", Message: "m"}},
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
		e := new(envelope)
		if err := readMessage(bytes.NewReader(raw), e); err == nil && len(e.Payload) > len(raw) {
			t.Fatal("payload longer than the message")
		}
		a := new(answer)
		if err := readMessage(bytes.NewReader(raw), a); err == nil && a.Failure != nil {
			_ = a.Failure.toError().Error()
		}
	})
}
