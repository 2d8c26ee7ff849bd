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

// replyToQuery writes the reply to a query, damaged if the effects say so.
func (t *target) replyToQuery(w http.ResponseWriter, request *leafRequest, e effects, contents *leafContent) {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	answered := request
	if previous := t.previous.Load(); e.reply == ReplySwap && previous != nil {
		answered = previous
	}
	if e.reply == ReplyOtherSnapshot {
		contents = t.otherContent(contents)
	}
	t.previous.Store(request)
	*buffer = contents.appendReply((*buffer)[:0], model.RequestID(answered.request), answered.Query, request.Limit)
	t.writeHeaders(w, answered)
	t.writeBody(w, e, *buffer)
}

// replyToOrder writes the reply to an order that ran.
func (t *target) replyToOrder(w http.ResponseWriter, request *leafRequest, e effects, confirmation string) {
	body, err := json.Marshal(targetproto.OrderReply{
		Request:      model.RequestID(request.request),
		Leaf:         t.Leaf,
		Confirmation: confirmation,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	t.writeHeaders(w, request)
	t.writeBody(w, e, body)
}

// writeBody writes the body and its length, damaged if the effects say so.
func (t *target) writeBody(w http.ResponseWriter, e effects, body []byte) {
	h := w.Header()
	h["Content-Type"] = []string{contentTypeJSON}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	if e.reply != "" {
		t.counters.damaged.Add(1)
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
		w.Write(body) // the client is gone
	}
}

// writeRaw takes the connection over, writes the reply as often as asked
// whatever its stated length, and closes the connection.
func writeRaw(w http.ResponseWriter, body []byte, times int) {
	conn, stream, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close() // nothing is left to do
	var reply bytes.Buffer
	fmt.Fprint(&reply, "HTTP/1.1 200 OK\r\n")
	w.Header().Write(&reply) // a buffer never fails
	reply.WriteString("\r\n")
	reply.Write(body)
	for range times {
		stream.Write(reply.Bytes()) // the client is gone
	}
	stream.Flush() // the client is gone
}

// otherContent returns the target's part of another snapshot that it holds.
func (t *target) otherContent(asked *leafContent) *leafContent {
	for _, c := range *t.contents.Load() {
		if c != asked {
			return c
		}
	}
	return asked
}
