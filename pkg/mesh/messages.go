package mesh

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
)

// exchange sends e and reads the reply. It cancels the stream when ctx is done.
func exchange(ctx context.Context, stream *quic.Stream, e *requestMessage) (*replyMessage, error) {
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(streamCancelled)
		stream.CancelWrite(streamCancelled)
	})
	defer stop()
	if err := writeMessage(stream, e); err != nil {
		return nil, errors.Join(err, ctx.Err())
	}
	r := new(replyMessage)
	if err := readMessage(stream, r); err != nil {
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

func writeMessage(stream *quic.Stream, message any) error {
	payload, err := cbor.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	if _, err := stream.Write(payload); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	return stream.Close()
}

func readMessage(r io.Reader, message any) error {
	payload, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return fmt.Errorf("read message: %w", err)
	}
	if len(payload) > maxMessageBytes {
		return fmt.Errorf("message is longer than %d bytes", maxMessageBytes)
	}
	if err := decodeMode.Unmarshal(payload, message); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}
