package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable prints a result as a human-readable table.
func WriteTable(w io.Writer, r Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "scenario %s, policy %s, seed %d, %.0f s counted\n", r.Scenario, r.Policy, r.Seed, r.CountedSeconds)
	fmt.Fprintln(t, "customer\toffered\tanswered\tgood\tgood/s\tof entitled\twrongful\tadmitted of ideal\trefused inside\texcess\tfirst p50\tp95 ms\tinterval p50\tp95 ms\t")
	for _, f := range append(r.Customers, r.Overall) {
		name := f.Customer
		if name == "" {
			name = "all"
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.2f\t%.3f\t%d\t%.3f\t%d\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t\n", name, f.Offered, f.Answered, f.Good,
			f.GoodPerSecond, f.GoodOverEntitled, f.Wrongful, f.AdmittedOverIdeal, f.RefusedInside, f.ExcessTokens,
			f.FirstToken.P50MS, f.FirstToken.P95MS, f.Interval.P50MS, f.Interval.P95MS)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, refusal := range r.Overall.Refusals {
		fmt.Fprintf(w, "refused or failed: %d × status %d, code %q, outcome %q\n", refusal.Count, refusal.Status, refusal.Code, refusal.Outcome)
	}
	for _, call := range r.Services {
		fmt.Fprintf(w, "%s %s: offered %d, answered %d, replayed %d, other %v\n", call.Method, call.Path, call.Offered, call.Answered, call.Replayed, call.Refusals)
	}
	e, b := r.Engines, r.Bookings
	fmt.Fprintf(w, "prefill: %d tokens, %d for answers, %d cached, wasted %.2f%%, unread engines %d\n", e.Tokens, e.UsefulTokens, e.CachedTokens, 100*e.Wasted, len(e.UnreadEngines))
	fmt.Fprintf(w, "bookings: %d calls, %d executed, %d doubled, %d ran although answered not_run\n", b.Calls, b.Executed, b.Duplicated, b.RanNotRun)
	_, err := fmt.Fprintf(w, "worst-served customer: %s with %.3f of its entitlement; of those inside their rate: %s with %.3f\n",
		r.Worst.Customer, r.Worst.GoodOverEntitled, r.WorstInside.Customer, r.WorstInside.GoodOverEntitled)
	return err
}
