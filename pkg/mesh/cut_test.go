package mesh

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/fxamacker/cbor/v2"

	"radishturn.example/radishturn/pkg/membudget"
)

// A message that a peer stopped sending must not be taken for a shorter one.
func TestReadMessageRefusesCutMessages(t *testing.T) {
	for _, message := range []any{
		&requestMessage{Kind: "lease.renew", Payload: cbor.RawMessage{0xa2, 0x01, 0x18, 0x2a, 0x02, 0x63, 'a', 'b', 'c'}},
		&replyMessage{Payload: cbor.RawMessage{0xa1, 0x01, 0x02}},
		&replyMessage{Failure: &wireFailure{Code: "conflict", Ran: "not-run", Step: "s", Peer: "p", Message: "m"}},
	} {
		encoded, err := cbor.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		for cut := range len(encoded) {
			for _, end := range []error{io.EOF, io.ErrUnexpectedEOF} {
				sent := io.MultiReader(bytes.NewReader(encoded[:cut]), iotest.ErrReader(end))
				if err := readMessage(sent, new(requestMessage), membudget.Space{}); err == nil {
					t.Fatalf("%x of %x is taken as a request", encoded[:cut], encoded)
				}
				sent = io.MultiReader(bytes.NewReader(encoded[:cut]), iotest.ErrReader(end))
				if err := readMessage(sent, new(replyMessage), membudget.Space{}); err == nil {
					t.Fatalf("%x of %x is taken as a reply", encoded[:cut], encoded)
				}
			}
		}
		// The stream must end in order, even after a whole message.
		sent := io.MultiReader(bytes.NewReader(encoded), iotest.ErrReader(io.ErrUnexpectedEOF))
		if readMessage(sent, new(replyMessage), membudget.Space{}) == nil {
			t.Fatal("a message of a stream that broke off is taken")
		}
	}
}
