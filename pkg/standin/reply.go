package standin

import (
	"encoding/json"
	"strconv"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/standin/content"
	"radishturn.example/radishturn/pkg/targetproto"
)

// leafContent is the part of a snapshot that one leaf holds. Its reply is
// pre-encoded except for the request ID and the query.
type leafContent struct {
	snapshot  model.SnapshotID
	documents int
	// head is the JSON between the request ID and the first hit.
	head []byte
	// hits holds the JSON of each hit up to its title, which is the query.
	hits [][]byte
}

func newLeafContent(c model.CollectionID, s model.SnapshotID, part model.LeafPart) *leafContent {
	leaf, _ := json.Marshal(part.Leaf) // encoding strings and numbers cannot fail
	l := &leafContent{snapshot: s, documents: part.Documents}
	l.head = append(l.head, `,"leaf":`...)
	l.head = append(l.head, leaf...)
	l.head = append(l.head, `,"snapshot":`...)
	l.head = appendString(l.head, string(s))
	l.head = append(l.head, `,"documents":`...)
	l.head = strconv.AppendInt(l.head, int64(part.Documents), 10)
	l.head = append(l.head, `,"hits":[`...)
	for _, hit := range content.Hits(c, s, part.Leaf, "") {
		l.hits = append(l.hits, hitPrefix(hit))
	}
	return l
}

func hitPrefix(hit targetproto.Hit) []byte {
	b := append([]byte(nil), `{"id":`...)
	b = appendString(b, hit.ID)
	b = append(b, `,"score":`...)
	b = strconv.AppendFloat(b, hit.Score, 'g', -1, 64)
	return append(b, `,"title":`...)
}

// appendReply appends a targetproto.QueryReply as JSON.
func (l *leafContent) appendReply(b []byte, request model.RequestID, query string, limit int) []byte {
	b = append(b, `{"request":`...)
	b = appendString(b, string(request))
	b = append(b, l.head...)
	for i, hit := range l.hits[:min(limit, len(l.hits))] {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, hit...)
		b = appendString(b, query)
		b = append(b, '}')
	}
	return append(b, "]}"...)
}

// appendString appends text as a JSON string. The fast path handles printable
// ASCII that needs no escaping.
func appendString(b []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(text) // encoding a string cannot fail
			return append(b, quoted...)
		}
	}
	b = append(b, '"')
	b = append(b, text...)
	return append(b, '"')
}
