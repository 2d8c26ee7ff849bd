package mesh

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"radishturn.example/radishturn/pkg/membudget"
)

// exchange sends e and reads the reply, for whose bytes memory has to have room. It cancels
// the stream when ctx is done, and reports progress as WithProgress and
// WithReceived describe.
func exchange(ctx context.Context, stream *quic.Stream, e *requestMessage, memory *membudget.Budget) (*replyMessage, error) {
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(streamCancelled)
		stream.CancelWrite(streamCancelled)
	})
	defer stop()
	progress := progressOf(ctx)
	if err := writeMessage(stream, e, progress); err != nil {
		return nil, errors.Join(err, ctx.Err())
	}
	r := new(replyMessage)
	reserved := new(membudget.Reservation)
	defer reserved.Release()
	received := receivedOf(ctx)
	reader := &progressReader{Reader: stream, progress: func(bytes int) {
		progress()
		received(bytes)
	}}
	if err := readMessage(reader, r, messageSpace(memory, reserved)); err != nil {
		return nil, errors.Join(err, ctx.Err())
	}
	return r, nil
}

func payloadOf(r *replyMessage) (cbor.RawMessage, error) {
	if r.Failure != nil {
		return nil, r.Failure.toError()
	}
	return r.Payload, nil
}

func writeMessage(stream *quic.Stream, message any, progress func()) error {
	payload, err := cbor.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	if err := writePieces(stream, payload, progress); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	return stream.Close()
}

// messageSpace returns the room for one message. A control snapshot may take all of it;
// short messages, such as renewals of leases, are read in any case.
func messageSpace(memory *membudget.Budget, reserved *membudget.Reservation) membudget.Space {
	return membudget.Space{Budget: memory, Reservation: reserved, Assured: true, Whole: true}
}

func readMessage(r io.Reader, message any, space membudget.Space) error {
	payload, err := membudget.ReadAll(r, membudget.UnknownLength, maxMessageBytes, space)
	if err != nil {
		return fmt.Errorf("read message: %w", err)
	}
	if err := decodeMode.Unmarshal(payload, message); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}
