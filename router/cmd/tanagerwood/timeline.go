package main

import (
	"bufio"
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"tanagerwood.dev/api/event"
)

// counterBits is the width of the logical part of the hybrid clock, below the milliseconds since the epoch.
const counterBits = 16

type timelineFlags struct {
	processes urlList
	request   string
	customer  string
	chrome    string
}

func newTimeline() *command {
	c := &timelineFlags{}
	return &command{
		name:     "timeline",
		synopsis: "merge the events of all processes in causal order",
		usage: `timeline -processes URL,URL,… [-request ID] [-customer NAME] [-chrome FILE]

Reads GET /events of each process: routers (operators' port), the platform and the endpoints. Prints one line per event
in the order of the hybrid clock, and with -chrome also writes a trace for chrome://tracing or Perfetto.`,
		setFlags: func(f *flag.FlagSet) {
			f.Var(&c.processes, "processes", "base `URLs`, separated by commas")
			f.StringVar(&c.request, "request", "", "only events of the request `ID` and its attempts")
			f.StringVar(&c.customer, "customer", "", "only events of the customer's `name`")
			f.StringVar(&c.chrome, "chrome", "", "Chrome trace-event JSON `file` to write")
		},
		run: c.run,
	}
}

func (c *timelineFlags) run(ctx context.Context, out io.Writer, _ []string) error {
	if len(c.processes) == 0 {
		return fmt.Errorf("%w: name the processes with -processes", errUsage)
	}
	pages, failed := readEvents(ctx, c.processes)
	for _, page := range pages {
		if page.Dropped > 0 {
			fmt.Fprintf(out, "# %s no longer has its first %d events; raise its event capacity\n", page.Process, page.Dropped)
		}
	}
	events := slices.DeleteFunc(mergeEvents(pages), func(e event.Event) bool { return !c.matches(e) })
	if err := printEvents(out, events); err != nil {
		return err
	}
	if c.chrome != "" {
		if err := writeTrace(c.chrome, events); err != nil {
			return err
		}
	}
	return failed
}

func (c *timelineFlags) matches(e event.Event) bool {
	sameRequest := c.request == "" || e.Request == c.request || strings.HasPrefix(e.Request, c.request+".")
	return sameRequest && (c.customer == "" || e.Customer == c.customer)
}

// readEvents returns the event pages of the processes that answer, and the error of one that does not.
func readEvents(ctx context.Context, urls []string) ([]event.Page, error) {
	pages := make([]event.Page, len(urls))
	errs := make([]error, len(urls))
	client := instanceClient()
	var group sync.WaitGroup
	for i, url := range urls {
		group.Go(func() { errs[i] = fetchJSON(ctx, client, http.MethodGet, url+"/events?since=0", &pages[i]) })
	}
	group.Wait()
	for i, err := range errs {
		if err != nil {
			return pages, fmt.Errorf("%s: %w", urls[i], err)
		}
	}
	return pages, nil
}

// mergeEvents sorts the events of all pages by the hybrid clock: an event that could have caused another one has the smaller
// clock value. Events with equal values are concurrent and are sorted by process.
func mergeEvents(pages []event.Page) []event.Event {
	var all []event.Event
	for _, page := range pages {
		all = append(all, page.Events...)
	}
	slices.SortStableFunc(all, func(a, b event.Event) int {
		return cmp.Or(cmp.Compare(a.Clock, b.Clock), cmp.Compare(a.Process, b.Process),
			cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Seq, b.Seq))
	})
	return all
}

// wallTime returns the physical part of the hybrid clock.
func wallTime(clock uint64) time.Time { return time.UnixMilli(int64(clock >> counterBits)) }

func printEvents(out io.Writer, events []event.Event) error {
	w := bufio.NewWriter(out)
	for _, e := range events {
		stamp := wallTime(e.Clock).UTC().Format("15:04:05.000")
		fmt.Fprintf(w, "%s+%d %s %s", stamp, e.Clock&(1<<counterBits-1), e.Process, e.Kind)
		for _, field := range fields(e) {
			fmt.Fprintf(w, " %s=%s", field.name, field.value)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

type field struct{ name, value string }

// fields returns the fields of an event that are set.
func fields(e event.Event) []field {
	all := []field{{"request", e.Request}, {"customer", e.Customer}, {"endpoint", e.Endpoint}}
	if e.Tokens != 0 {
		all = append(all, field{"tokens", strconv.FormatInt(e.Tokens, 10)})
	}
	if e.Detail != "" {
		all = append(all, field{"detail", strconv.Quote(e.Detail)})
	}
	return slices.DeleteFunc(all, func(f field) bool { return f.value == "" })
}

func writeTrace(file string, events []event.Event) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer f.Close() // a second Close after a successful one only returns an error
	if err := encodeTrace(f, events); err != nil {
		return err
	}
	return f.Close()
}
