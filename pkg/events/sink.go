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
	// sinkBytes bounds the lines that wait to be written, and how many may come
	// at once.
	sinkBytes = 256 << 10
	// sinkRate bounds the bytes that are written in a second.
	sinkRate = 64 << 10
	// sinkInterval is how long lines wait for others to be written with.
	sinkInterval = 100 * time.Millisecond
	// maxEntries bounds the events that wait to be encoded.
	maxEntries = 2048
)

var linesDropped = metrics.GetOrCreateCounter("radishturn_log_lines_dropped_total")

// Sink is a writer that never blocks: lines wait in a bounded buffer, and those
// over the bound are dropped and counted. It takes events as they are and encodes
// them when it writes, so that a request does not wait for the lines about it.
type Sink struct {
	w     io.Writer
	write sync.Mutex
	// encoder writes events to the sink as lines; nil until events come.
	encoder log.Handler

	mu      sync.Mutex
	entries []*log.Entry
	pending bytes.Buffer
	// allowance is how many bytes may be taken in now; it grows by sinkRate.
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

// deferEncoding returns a handler that keeps events until the sink writes.
func (s *Sink) deferEncoding(encoder log.Handler) log.Handler {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.encoder = encoder
	return log.HandlerFunc(s.enqueue)
}

// enqueue takes in one event, or drops it.
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

// encode turns the events that wait into lines.
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

// Write takes in one line, or drops it.
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

// Flush writes what waits. It blocks as long as the writer does.
func (s *Sink) Flush() {
	s.write.Lock()
	defer s.write.Unlock()
	s.encode()
	text := s.takePending()
	if len(text) == 0 {
		return
	}
	// A log that cannot be written has nowhere to be reported.
	_, _ = s.w.Write(text)
}

func (s *Sink) takePending() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := bytes.Clone(s.pending.Bytes())
	s.pending.Reset()
	if s.dropped > 0 {
		const form = `{"fields":{"event":%q,"lines":%d},"level":"warn","message":"log lines dropped"}` + "\n"
		text = fmt.Appendf(text, form, LogLinesDropped, s.dropped)
		s.dropped = 0
	}
	return text
}
