// Package requestlog collects from the logs of several processes the lines about one
// request, and the state changes that the processes logged shortly before it.
package requestlog

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

// Lookback is how long before a request state changes are included.
const Lookback = 5 * time.Second

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	// Log is the name of the file or process.
	Log     string         `json:"log"`
	At      time.Time      `json:"at"`
	Event   string         `json:"event"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// record is a log line in the daemon's JSON format.
type record struct {
	Fields    map[string]any `json:"fields"`
	Level     string         `json:"level"`
	Timestamp time.Time      `json:"timestamp"`
	Message   string         `json:"message"`
}

// Read returns the lines of one log in order. It skips lines that are not JSON.
// Text before the first brace, such as a log collector's prefix, is skipped.
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

// Report holds what the logs contain about one request.
type Report struct {
	Request string `json:"request"`
	// Lines are the log lines about the request itself.
	Lines []Line `json:"lines"`
	// StateChanges are all lines of the same logs that concern no request, whatever
	// their event, from Lookback before the first of Lines until the last. Timestamps follow the
	// clock of each log.
	StateChanges []Line `json:"beliefs"`
}

// Collect returns the report on a request. The clocks of different logs are never
// compared: state changes are taken only from logs that mention the request.
func Collect(request string, logs [][]Line) Report {
	report := Report{Request: request}
	for _, log := range logs {
		mentions := slices.DeleteFunc(slices.Clone(log), func(l Line) bool { return l.Fields["request"] != request })
		if len(mentions) == 0 {
			continue
		}
		report.Lines = append(report.Lines, mentions...)
		from, to := mentions[0].At.Add(-Lookback), mentions[len(mentions)-1].At
		for _, l := range log {
			if _, isRequest := l.Fields["request"]; !isRequest && !l.At.Before(from) && !l.At.After(to) {
				report.StateChanges = append(report.StateChanges, l)
			}
		}
	}
	byTime := func(a, b Line) int { return cmp.Or(strings.Compare(a.Log, b.Log), a.At.Compare(b.At)) }
	slices.SortStableFunc(report.Lines, byTime)
	slices.SortStableFunc(report.StateChanges, byTime)
	return report
}

// finalEvents are the events that mark the end of a request: CallAnswered,
// CallPartial, CallFailed and CallRefused.
var finalEvents = []string{"RT5015", "RT5016", "RT5017", "RT5018"}

// finalLine returns the last line with a final event, even if other lines follow it,
// or the last line and false if no line has a final event.
func (r *Report) finalLine() (Line, bool) {
	for _, l := range slices.Backward(r.Lines) {
		if slices.Contains(finalEvents, l.Event) {
			return l, true
		}
	}
	return r.Lines[len(r.Lines)-1], false
}

// Conclusion summarizes in one sentence how the request ended and why.
func (r *Report) Conclusion() string {
	if len(r.Lines) == 0 {
		return "no log mentions the request: it never reached these processes, a process ended while serving it (RT1001 shows the next start), or its log line was dropped (RT1104)"
	}
	last, ended := r.finalLine()
	text := func(name string) string {
		if last.Fields[name] == nil {
			return ""
		}
		return fmt.Sprint(last.Fields[name])
	}
	switch {
	case !ended && last.Event == "RT5025": // CallLate
		return fmt.Sprintf("in progress when its log ends, %s ms after its arrival, with %s shards outstanding (%s): the process ended or is still serving it (RT1001 shows the next start)",
			text("milliseconds"), text("waiting"), text("late"))
	case !ended:
		return "in progress when its log ends: the process ended or is still serving it (RT1001 shows the next start), or its final line was dropped (RT1104, or the limit of 20 lines per second on requests answered in time)"
	}
	switch last.Event {
	case "RT5015": // CallAnswered
		return fmt.Sprintf("answered in full after %s ms; late: %s", text("milliseconds"), cmp.Or(text("late"), "none"))
	case "RT5016": // CallPartial
		return fmt.Sprintf("answered after %s ms without %s shards; late: %s; extra requests denied by the retry budget: %s",
			text("milliseconds"), text("missing"), text("late"), text("denied"))
	case "RT5018": // CallRefused
		return fmt.Sprintf("refused after %s ms without being run by a target: %s", text("milliseconds"), text("error"))
	default: // CallFailed
		return fmt.Sprintf("failed after %s ms with status %s: %s; late: %s; extra requests denied: %s",
			text("milliseconds"), text("status"), text("error"), text("late"), text("denied"))
	}
}
