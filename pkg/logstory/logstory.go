// Package logstory finds in the logs of several processes what concerns one
// request, and what the processes came to believe shortly before.
package logstory

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Lookback is how long before a request changes of belief are told.
const Lookback = 5 * time.Second

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	// Log names the file or process.
	Log     string         `json:"log"`
	At      time.Time      `json:"at"`
	Event   string         `json:"event"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// record is a line as the daemon writes it.
type record struct {
	Fields    map[string]any `json:"fields"`
	Level     string         `json:"level"`
	Timestamp time.Time      `json:"timestamp"`
	Message   string         `json:"message"`
}

// Read returns the lines of one log that can be read, in order. Text before the
// first brace, such as a collector's prefix, is passed over.
func Read(log string, r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, text, ok := strings.Cut(scanner.Text(), "{")
		var parsed record
		if !ok || json.Unmarshal([]byte("{"+text), &parsed) != nil {
			continue
		}
		event, _ := parsed.Fields["event"].(string)
		lines = append(lines, Line{
			Log: log, At: parsed.Timestamp, Event: event, Level: parsed.Level,
			Message: parsed.Message, Fields: parsed.Fields,
		})
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log %s: %w", log, err)
	}
	return lines, nil
}

// Report is what the logs tell of one request.
type Report struct {
	Request string `json:"request"`
	// Lines concern the request itself.
	Lines []Line `json:"lines"`
	// StateChanges are changes of belief in the same logs shortly before. Their times
	// are by the clock of their own log.
	StateChanges []Line `json:"beliefs"`
}

// Collect collects the story of a request from logs. The clocks of different logs
// are never compared: only a log that mentions the request is searched for what
// its process believed.
func Collect(request string, logs [][]Line) Report {
	s := Report{Request: request}
	for _, log := range logs {
		mentions := slices.DeleteFunc(slices.Clone(log), func(l Line) bool { return l.Fields["request"] != request })
		if len(mentions) == 0 {
			continue
		}
		s.Lines = append(s.Lines, mentions...)
		from, to := mentions[0].At.Add(-Lookback), mentions[len(mentions)-1].At
		for _, l := range log {
			if _, isRequest := l.Fields["request"]; !isRequest && !l.At.Before(from) && !l.At.After(to) {
				s.StateChanges = append(s.StateChanges, l)
			}
		}
	}
	byTime := func(a, b Line) int { return cmp.Or(strings.Compare(a.Log, b.Log), a.At.Compare(b.At)) }
	slices.SortStableFunc(s.Lines, byTime)
	slices.SortStableFunc(s.StateChanges, byTime)
	return s
}

// finalEvents are the events with which a request ends.
var finalEvents = []string{"RT5015", "RT5016", "RT5017", "RT5018"}

// lastLine returns the last line on the end of the request, or else its last line and false.
func (s *Report) lastLine() (Line, bool) {
	for _, l := range slices.Backward(s.Lines) {
		if slices.Contains(finalEvents, l.Event) {
			return l, true
		}
	}
	return s.Lines[len(s.Lines)-1], false
}

// Conclusion says in a sentence why the request ended as it did.
func (s *Report) Conclusion() string {
	if len(s.Lines) == 0 {
		return "no log mentions the request: it never reached these processes, a process ended while it worked on it (RT1001 shows the next start), or its line was dropped (RT1104)"
	}
	last, ended := s.lastLine()
	text := func(name string) string {
		if last.Fields[name] == nil {
			return ""
		}
		return fmt.Sprint(last.Fields[name])
	}
	switch {
	case !ended && last.Event == "RT5025":
		return fmt.Sprintf("in progress when its log ends, %s ms after it came, with %s shards outstanding (%s): the process ended or still works on it (RT1001 shows the next start)",
			text("milliseconds"), text("waiting"), text("late"))
	case !ended:
		return "admitted, and in progress when its log ends: the process ended or still works on it (RT1001 shows the next start), or the line on its end was dropped (RT1104, or 20 lines a second on requests that were answered in time)"
	}
	switch last.Event {
	case "RT5015":
		return fmt.Sprintf("answered in full after %s ms; overdue on the way: %s", text("milliseconds"), cmp.Or(text("late"), "none"))
	case "RT5016":
		return fmt.Sprintf("answered after %s ms without %s shards; late: %s; extra requests denied by the retry budget: %s",
			text("milliseconds"), text("missing"), text("late"), text("denied"))
	case "RT5018":
		return fmt.Sprintf("refused after %s ms, no target ran it: %s", text("milliseconds"), text("error"))
	default:
		return fmt.Sprintf("failed after %s ms with status %s: %s; late: %s; extra requests denied: %s",
			text("milliseconds"), text("status"), text("error"), text("late"), text("denied"))
	}
}
