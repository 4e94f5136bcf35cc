// Package losses counts from the log lines of "tanagerwood node" how model requests ended over time, and by which cause those
// that were not served on time failed or were late.
package losses

import (
	"cmp"
	"errors"
	"io"
	"slices"
	"time"

	"tanagerwood.dev/lab/internal/loglines"
)

// Window is the length of a counting interval; a request counts in the interval of its arrival.
const Window = 2 * time.Second

// onTime labels requests that were served on time, in place of a cause.
const onTime = "on time"

// Result is the number of requests by window and cause.
type Result struct {
	// Causes are ordered by frequency, the most frequent first.
	Causes  []string
	Windows []Count
	Total   map[string]int
}

// Count is the number of requests by cause that arrived in a window.
type Count struct {
	Begin   time.Time
	ByCause map[string]int
}

// line holds the fields of a log line that are evaluated.
type line struct {
	Time    time.Time `json:"time"`
	Event   string    `json:"event"`
	Prompt  int64     `json:"prompt"`
	TookMS  float64   `json:"took_ms"`
	Late    string    `json:"late"`
	Kind    string    `json:"kind"`
	Outcome string    `json:"outcome"`
	Status  int       `json:"status"`
}

// cause returns why a request was not served on time, or onTime.
func (l line) cause() string {
	switch {
	case l.Kind != "" && l.Late != "":
		return "late (" + l.Late + "), then " + l.Kind
	case l.Kind != "":
		return l.Kind + " (" + l.Outcome + ")"
	case l.Late != "":
		return "late (" + l.Late + ")"
	case l.Status >= 300:
		return "failed at the endpoint"
	default:
		return onTime
	}
}

// Read counts the model requests of a log.
func Read(in io.Reader) (Result, error) {
	type ended struct {
		arrived time.Time
		cause   string
	}
	var all []ended
	total := map[string]int{}
	err := loglines.Read(in, func(l line) {
		if l.Event != "request.ended" || l.Prompt == 0 {
			return
		}
		e := ended{l.Time.Add(-time.Duration(l.TookMS * float64(time.Millisecond))), l.cause()}
		all = append(all, e)
		total[e.cause]++
	})
	if err != nil {
		return Result{}, err
	}
	if len(all) == 0 {
		return Result{}, errors.New("the log has no model requests; give the lines of \"tanagerwood node\" at log level info")
	}
	slices.SortFunc(all, func(a, b ended) int { return a.arrived.Compare(b.arrived) })
	out := Result{Total: total}
	first := all[0].arrived
	for _, e := range all {
		n := int(e.arrived.Sub(first) / Window)
		for len(out.Windows) <= n {
			begin := first.Add(time.Duration(len(out.Windows)) * Window)
			out.Windows = append(out.Windows, Count{Begin: begin, ByCause: map[string]int{}})
		}
		out.Windows[n].ByCause[e.cause]++
	}
	for c := range total {
		out.Causes = append(out.Causes, c)
	}
	slices.SortFunc(out.Causes, func(a, b string) int {
		if total[a] != total[b] {
			return total[b] - total[a]
		}
		return cmp.Compare(a, b)
	})
	return out, nil
}
