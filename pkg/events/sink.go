package events

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

const (
	// sinkBytes bounds the bytes of pending lines and the size of a burst.
	sinkBytes = 256 << 10
	// sinkRate bounds the bytes written per second.
	sinkRate = 64 << 10
	// sinkInterval is how long lines wait to be batched with others.
	sinkInterval = 100 * time.Millisecond
	// maxEntries bounds the events that are queued for encoding.
	maxEntries = 2048
)

var linesDropped = metrics.GetOrCreateCounter("radishturn_log_lines_dropped_total")

// Sink is a writer that never blocks: lines are kept in a bounded buffer, and those
// that do not fit are dropped and counted. Events are queued unencoded and encoded
// in the background, so that a request does not wait for its own log lines.
type Sink struct {
	w       io.Writer
	flushMu sync.Mutex
	// encoder writes events to the sink as lines; nil until Setup uses the sink.
	encoder log.Handler

	mu      sync.Mutex
	entries []*log.Entry
	pending bytes.Buffer
	// allowance is how many bytes are accepted now, as in a token bucket; it grows
	// by sinkRate per second up to sinkBytes.
	allowance int
	refilled  time.Time
	dropped   int
	wake      chan struct{}
}

// NewSink returns a Sink that writes to w in the background.
func NewSink(w io.Writer) *Sink {
	s := &Sink{w: w, allowance: sinkBytes, refilled: time.Now(), wake: make(chan struct{}, 1)}
	go s.run()
	return s
}

// deferEncoding returns a handler that queues events until the sink encodes them.
func (s *Sink) deferEncoding(encoder log.Handler) log.Handler {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.encoder = encoder
	return log.HandlerFunc(s.enqueue)
}

// enqueue queues an event, or drops it if the queue is full.
func (s *Sink) enqueue(e *log.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.entries) >= maxEntries {
		s.dropped++
		linesDropped.Inc()
		return nil
	}
	s.entries = append(s.entries, e)
	s.signal()
	return nil
}

func (s *Sink) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// encode encodes the queued events as lines.
func (s *Sink) encode() {
	s.mu.Lock()
	entries, encoder := s.entries, s.encoder
	s.entries = nil
	s.mu.Unlock()
	for _, e := range entries {
		if err := encoder.HandleLog(e); err != nil {
			s.mu.Lock()
			s.dropped++
			s.mu.Unlock()
			linesDropped.Inc()
		}
	}
}

// Write buffers one line, or drops it if it exceeds the buffer or the rate.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refill(time.Now())
	if s.pending.Len()+len(line) > sinkBytes || len(line) > s.allowance {
		s.dropped++
		linesDropped.Inc()
		return len(line), nil
	}
	s.allowance -= len(line)
	s.pending.Write(line)
	s.signal()
	return len(line), nil
}

func (s *Sink) refill(now time.Time) {
	grown := int(now.Sub(s.refilled).Seconds() * sinkRate)
	if grown > 0 {
		s.allowance = min(sinkBytes, s.allowance+grown)
		s.refilled = now
	}
}

func (s *Sink) run() {
	for range s.wake {
		time.Sleep(sinkInterval)
		s.Flush()
	}
}

// Flush writes all pending events and lines. It blocks as long as the underlying
// writer does.
func (s *Sink) Flush() {
	s.flushMu.Lock()
	defer s.flushMu.Unlock()
	s.encode()
	text := s.takePending()
	if len(text) == 0 {
		return
	}
	// There is nowhere to report an error of the log itself.
	_, _ = s.w.Write(text)
}

func (s *Sink) takePending() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := bytes.Clone(s.pending.Bytes())
	s.pending.Reset()
	if s.dropped > 0 {
		const format = `{"fields":{"event":%q,"lines":%d},"level":"warn","message":"log lines dropped"}` + "\n"
		text = fmt.Appendf(text, format, LogLinesDropped, s.dropped)
		s.dropped = 0
	}
	return text
}
