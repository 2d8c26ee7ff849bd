package cli

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
)

// print writes v as JSON if requested, or else as the table that render writes.
func (o *options) print(v any, render func(w *tabwriter.Writer)) error {
	if o.json {
		encoder := json.NewEncoder(o.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	render(w)
	return w.Flush()
}

// printf writes a line of a table; cells are separated by tabs.
func printf(w *tabwriter.Writer, format string, args ...any) {
	// Flush reports the error of a failed write.
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}
