package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/targetproto"
)

// replyToQuery writes the reply to a query, damaged as the effects specify.
func (t *target) replyToQuery(w http.ResponseWriter, request *leafRequest, e effects, content *leafContent) {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	answeredRequest := request
	if previous := t.previousRequest.Load(); e.reply == ReplySwap && previous != nil {
		answeredRequest = previous
	}
	if e.reply == ReplyOtherSnapshot {
		content = t.otherSnapshotContent(content)
	}
	t.previousRequest.Store(request)
	*buffer = content.appendReply((*buffer)[:0], model.RequestID(answeredRequest.requestID), answeredRequest.Query, request.Limit)
	t.setHeaders(w, answeredRequest)
	t.writeBody(w, e, *buffer)
}

// replyToOrder writes the reply to an executed order.
func (t *target) replyToOrder(w http.ResponseWriter, request *leafRequest, e effects, confirmation string) {
	body, err := json.Marshal(targetproto.OrderReply{
		Request:      model.RequestID(request.requestID),
		Leaf:         t.Leaf,
		Confirmation: confirmation,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	t.setHeaders(w, request)
	t.writeBody(w, e, body)
}

// writeBody writes the body and its length, damaged as the effects specify.
func (t *target) writeBody(w http.ResponseWriter, e effects, body []byte) {
	h := w.Header()
	h["Content-Type"] = []string{contentTypeJSON}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	if e.reply != "" {
		t.counters.damagedReplies.Add(1)
	}
	switch e.reply {
	case ReplyTruncate:
		w.Write(body[:len(body)/2]) // the connection is closed next
		panic(http.ErrAbortHandler)
	case ReplyWrongLength:
		h["Content-Length"] = []string{strconv.Itoa(len(body) - len(body)/4)}
		writeRaw(w, body, 1)
	case ReplyDuplicate:
		writeRaw(w, body, 2)
	default:
		w.Write(body) // a write fails only if the client is gone
	}
}

// writeRaw hijacks the connection, writes the reply the given number of times
// without checking Content-Length, and closes the connection.
func writeRaw(w http.ResponseWriter, body []byte, times int) {
	conn, stream, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close() // an error requires no action
	var reply bytes.Buffer
	fmt.Fprint(&reply, "HTTP/1.1 200 OK\r\n")
	w.Header().Write(&reply) // writes to a bytes.Buffer never fail
	reply.WriteString("\r\n")
	reply.Write(body)
	for range times {
		stream.Write(reply.Bytes()) // a write fails only if the client is gone
	}
	stream.Flush() // a write fails only if the client is gone
}

// otherSnapshotContent returns the content of another snapshot that the target
// holds, or the requested one if there is no other.
func (t *target) otherSnapshotContent(requested *leafContent) *leafContent {
	for _, c := range *t.contents.Load() {
		if c != requested {
			return c
		}
	}
	return requested
}
