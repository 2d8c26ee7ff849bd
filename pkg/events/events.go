// Package events writes the log: every line is an event with a number that
// docs/EVENTS.md explains. The catalogue defines level and fields, so a call site
// only names the event and passes the values.
package events

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
)

// Number identifies a kind of event; its meaning never changes.
type Number int

// Event describes one kind of event.
type Event struct {
	Number Number
	Level  log.Level
	// Message is the fixed text of the log line.
	Message string
	// Fields lists the names of the fields besides "event".
	Fields []string
}

// String returns the number as written in logs, such as "RT1001".
func (n Number) String() string { return fmt.Sprintf("RT%04d", int(n)) }

// Setup sets the destination, format and level of the log.
func Setup(w io.Writer, format, level string) error {
	l, err := log.ParseLevel(level)
	if err != nil {
		return fmt.Errorf("log level %q: %w", level, err)
	}
	log.SetLevel(l)
	minLevel.Store(int64(l))
	handler := newHandler(w, format)
	if sink, ok := w.(*Sink); ok {
		handler = sink.deferEncoding(handler)
	}
	log.SetHandler(handler)
	return nil
}

func newHandler(w io.Writer, format string) log.Handler {
	if format == "text" {
		return text.New(w)
	}
	return json.New(w)
}

// minLevel is the level below which events are discarded.
var minLevel atomic.Int64

func init() { minLevel.Store(int64(log.InfoLevel)) }

// Emit writes event n with its fields. Values are in the order of the catalogue's
// Fields; surplus values are dropped and missing ones omitted.
func Emit(n Number, values ...any) {
	e, ok := byNumber[n]
	if !ok {
		e = byNumber[UnknownEvent]
		values = []any{n.String()}
	}
	if int64(e.Level) < minLevel.Load() {
		return
	}
	fields := log.Fields{"event": e.Number.String()}
	for i, name := range e.Fields {
		if i < len(values) {
			fields[name] = fieldValue(values[i])
		}
	}
	write(log.WithFields(fields), e)
}

// fieldValue renders errors and every fmt.Stringer, such as addresses and
// durations, as text, since the JSON handler would write their internal
// representation.
func fieldValue(v any) any {
	switch v := v.(type) {
	case error:
		return v.Error()
	case fmt.Stringer:
		return v.String()
	default:
		return v
	}
}

func write(entry *log.Entry, e Event) {
	switch e.Level {
	case log.DebugLevel:
		entry.Debug(e.Message)
	case log.WarnLevel:
		entry.Warn(e.Message)
	case log.ErrorLevel:
		entry.Error(e.Message)
	default:
		entry.Info(e.Message)
	}
}
