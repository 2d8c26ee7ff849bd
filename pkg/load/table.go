package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

const tablePadding = 2

// row is one row of the table: a name, and a function for the value of each
// variant.
type row struct {
	name  string
	value func(*VariantReport) string
}

var rows = []row{
	{"sent", func(v *VariantReport) string { return fmt.Sprint(v.Sent) }},
	{"not sent (too many in flight)", func(v *VariantReport) string { return fmt.Sprint(v.NotSent) }},
	{"goodput, answers in time per s", func(v *VariantReport) string { return fmt.Sprintf("%.1f", v.Goodput) }},
	{"goodput weighed by coverage", func(v *VariantReport) string { return fmt.Sprintf("%.1f", v.WeightedGoodput) }},
	{"goodput, full answers only", func(v *VariantReport) string { return fmt.Sprintf("%.1f", v.FullGoodput) }},
	{"late answers", func(v *VariantReport) string { return fmt.Sprint(v.Late) }},
	{"query p50 ms", func(v *VariantReport) string { return fmt.Sprintf("%.1f", v.Queries.P50) }},
	{"query p90 ms", func(v *VariantReport) string { return fmt.Sprintf("%.1f", v.Queries.P90) }},
	{"query p99 ms", func(v *VariantReport) string { return fmt.Sprintf("%.1f", v.Queries.P99) }},
	{"query p99.9 ms", func(v *VariantReport) string { return fmt.Sprintf("%.1f", v.Queries.P999) }},
	{"order p50 ms", func(v *VariantReport) string { return fmt.Sprintf("%.1f", v.Orders.P50) }},
	{"order p99 ms", func(v *VariantReport) string { return fmt.Sprintf("%.1f", v.Orders.P99) }},
	{"failure p99 ms", func(v *VariantReport) string { return fmt.Sprintf("%.1f", v.Failures.P99) }},
	{"coverage mean", func(v *VariantReport) string { return fmt.Sprintf("%.5f", v.Coverage.Mean) }},
	{"coverage min", func(v *VariantReport) string { return fmt.Sprintf("%.5f", v.Coverage.Min) }},
	{"full answers", func(v *VariantReport) string { return fmt.Sprintf("%.2f%%", v.Coverage.FullShare*100) }},
	{"leaf requests", func(v *VariantReport) string { return fmt.Sprint(v.Targets.Requests) }},
	{"extra leaf requests", func(v *VariantReport) string { return fmt.Sprintf("%.2f%%", v.ExtraLoad*100) }},
	{"most connections at a target", func(v *VariantReport) string { return fmt.Sprint(v.Targets.MaxConnections) }},
	{"connections refused", func(v *VariantReport) string { return fmt.Sprint(v.Targets.RefusedConnections) }},
	{"most in flight at a target", func(v *VariantReport) string { return fmt.Sprint(v.Targets.MaxInFlight) }},
	{"most in flight while cold", func(v *VariantReport) string { return fmt.Sprint(v.Targets.MaxColdInFlight) }},
	{"cold overloads", func(v *VariantReport) string { return fmt.Sprint(v.Targets.ColdOverloads) }},
	{"cold overloads 1 s after the first sign", func(v *VariantReport) string { return fmt.Sprint(v.Targets.KnownColdOverloads) }},
	{"longest warm-up ms (ideal)", func(v *VariantReport) string { return fmt.Sprintf("%d (%d)", v.Targets.MaxWarmUp, v.IdealWarmUpMs) }},
	{"targets cold at the end", func(v *VariantReport) string { return fmt.Sprint(v.Targets.ColdTargets) }},
	{"failures or gaps until s", func(v *VariantReport) string { return fmt.Sprint(v.DegradedUntilSecond) }},
	{"p99 over twice the usual until s", func(v *VariantReport) string { return fmt.Sprint(v.SlowUntilSecond) }},
	{"longest new work for leaving targets ms", func(v *VariantReport) string { return fmt.Sprint(v.longestRemovalMs()) }},
	{"shed by targets", func(v *VariantReport) string { return fmt.Sprint(v.Targets.Shed) }},
	{"cancelled at targets", func(v *VariantReport) string { return fmt.Sprint(v.Targets.Cancelled) }},
	{"damaged replies", func(v *VariantReport) string { return fmt.Sprint(v.Targets.DamagedReplies) }},
	{"target crashes", func(v *VariantReport) string { return fmt.Sprint(v.Targets.Crashes) }},
	{"order keys", func(v *VariantReport) string { return fmt.Sprint(v.OrderRuns.Keys) }},
	{"order runs", func(v *VariantReport) string { return fmt.Sprint(v.OrderRuns.Runs) }},
	{"orders confirmed", func(v *VariantReport) string { return fmt.Sprint(v.OrderRuns.Confirmed) }},
}

func (v *VariantReport) longestRemovalMs() int64 {
	longest := int64(0)
	for _, l := range v.Removals {
		longest = max(longest, l.LongestMs)
	}
	return longest
}

// WriteTable writes the report as a table with a column for each variant.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintf(t, "%s (seed %d)", r.Experiment, r.Seed)
	for i := range r.Variants {
		fmt.Fprintf(t, "\t%s", r.Variants[i].Name)
	}
	fmt.Fprintln(t)
	for _, row := range rows {
		fmt.Fprint(t, row.name)
		for i := range r.Variants {
			fmt.Fprintf(t, "\t%s", row.value(&r.Variants[i]))
		}
		fmt.Fprintln(t)
	}
	r.writeMissing(t)
	r.writeOutcomes(t)
	if err := t.Flush(); err != nil {
		return err
	}
	return r.writeViolations(w)
}

// countTable holds counts by name and variant.
type countTable struct {
	variants int
	counts   map[string][]int
}

func newCountTable(variants int) countTable {
	return countTable{variants: variants, counts: make(map[string][]int)}
}

func (t countTable) add(name string, variant, n int) {
	if t.counts[name] == nil {
		t.counts[name] = make([]int, t.variants)
	}
	t.counts[name][variant] += n
}

func (t countTable) write(w io.Writer) {
	for _, name := range slices.Sorted(maps.Keys(t.counts)) {
		fmt.Fprint(w, name)
		for _, n := range t.counts[name] {
			fmt.Fprintf(w, "\t%d", n)
		}
		fmt.Fprintln(w)
	}
}

// writeOutcomes writes a row for each outcome that occurred in any variant.
func (r *Report) writeOutcomes(w io.Writer) {
	t := newCountTable(len(r.Variants))
	for i := range r.Variants {
		for _, o := range r.Variants[i].Outcomes {
			t.add(fmt.Sprintf("%s: %s, %s", o.Kind, o.Code, o.Ran), i, o.Count)
		}
	}
	t.write(w)
}

// writeMissing writes a row for each reason for missing leaves.
func (r *Report) writeMissing(w io.Writer) {
	t := newCountTable(len(r.Variants))
	for i := range r.Variants {
		for reason, n := range r.Variants[i].Coverage.Missing {
			t.add(fmt.Sprintf("missing leaves: %s", reason), i, n)
		}
	}
	t.write(w)
}

func (r *Report) writeViolations(w io.Writer) error {
	if !r.HasViolations() {
		_, err := fmt.Fprintln(w, "violations: none")
		return err
	}
	for i := range r.Variants {
		v := &r.Variants[i]
		for _, kind := range slices.Sorted(maps.Keys(v.Violations)) {
			fmt.Fprintf(w, "VIOLATION %s: %s: %d\n", v.Name, kind, v.Violations[kind])
		}
		for _, example := range v.Examples {
			if _, err := fmt.Fprintf(w, "  %s %s: %s\n", example.Kind, example.Request, example.Detail); err != nil {
				return err
			}
		}
	}
	return nil
}
