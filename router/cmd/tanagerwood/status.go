package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/samber/lo"

	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/adapter/operators"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

// maxStatusBytes limits the size of an instance's response.
const maxStatusBytes = 16 << 20

type statusFlags struct {
	platformFlags
	operators urlList
}

func newStatus() *command {
	c := &statusFlags{}
	return &command{
		name:     "status",
		synopsis: "show the catalogue's status and what each instance has in force",
		usage: `status [-operators URL,URL,…]

Shows the platform's catalogue version and its status, and for each operators' port the revision in force, the roster
generation, members, shares and open requests. The exit code is 4 if the platform or an instance does not answer.`,
		setFlags: func(f *flag.FlagSet) {
			c.register(f)
			f.Var(&c.operators, "operators", "base `URLs` of the instances' operators' ports, separated by commas")
		},
		run: c.run,
	}
}

func (c *statusFlags) run(ctx context.Context, out io.Writer, _ []string) error {
	if c.url == "" && len(c.operators) == 0 {
		return fmt.Errorf("%w: set -platform-url, -operators, or both", errUsage)
	}
	var failed error
	if c.url != "" {
		client, err := c.client()
		if err != nil {
			return err
		}
		failed = c.showPlatform(ctx, out, client)
	}
	if err := c.showInstances(ctx, out); err != nil {
		failed = err
	}
	return failed
}

// showPlatform prints the catalogue version and its status. After an error, run still queries the instances, which may answer.
func (c *statusFlags) showPlatform(ctx context.Context, out io.Writer, client port.Platform) error {
	current, err := currentCatalogue(ctx, client)
	if err != nil {
		fmt.Fprintf(out, "platform: does not answer\n")
		return err
	}
	fmt.Fprintf(out, "platform: catalogue version %d\n", current.Version)
	status, err := readStatus(ctx, client)
	switch {
	case fault.Is(err, fault.NotFound):
		fmt.Fprintln(out, "status: no instance has judged a revision yet")
		return nil
	case err != nil:
		return err
	case status.Valid:
		fmt.Fprintf(out, "status: revision %d is valid, judged by %s\n", status.Revision, status.ValidatedBy)
		return nil
	}
	fmt.Fprintf(out, "status: revision %d is NOT valid and not in force, judged by %s:\n", status.Revision, status.ValidatedBy)
	for _, p := range status.Problems {
		fmt.Fprintf(out, "  %s\n", p)
	}
	return nil
}

// instanceStatus is the response of one operators' port, or the error.
type instanceStatus struct {
	url    string
	status operators.Status
	err    error
}

func (c *statusFlags) showInstances(ctx context.Context, out io.Writer) error {
	if len(c.operators) == 0 {
		return nil
	}
	all := fetchStatuses(ctx, c.operators)
	newest := lo.Max(lo.Map(all, func(s instanceStatus, _ int) uint64 { return s.status.Revision }))
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tDOMAIN\tREADY\tPHASE\tREVISION\tGENERATION\tCONFIRMED\tALIVE\tOPEN")
	for _, s := range all {
		if s.err != nil {
			fmt.Fprintf(table, "%s\t-\t-\tdoes not answer\t-\t-\t-\t-\t-\n", s.url)
			continue
		}
		showRow(table, s.status, newest)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, s := range all {
		showDetails(out, s)
	}
	failed := lo.Filter(all, func(s instanceStatus, _ int) bool { return s.err != nil })
	if len(failed) > 0 {
		message := fmt.Sprintf("%d of %d instances do not answer", len(failed), len(all))
		return fault.Wrap(failed[0].err, fault.EndpointFailed, openai.NotRun, message)
	}
	return nil
}

func showRow(out io.Writer, s operators.Status, newest uint64) {
	revision := fmt.Sprint(s.Revision)
	if s.Revision < newest {
		revision += " (behind)"
	}
	if !s.CheckedRevisionValid {
		revision += fmt.Sprintf(" (%d refused)", s.CheckedRevision)
	}
	fmt.Fprintf(out, "%s\t%s\t%t\t%s\t%s\t%d\t%t\t%d\t%d\n",
		s.Instance, s.Domain, s.Ready, s.Phase, revision, s.Generation, s.Confirmed, len(s.Alive), s.OpenRequests)
}

func showDetails(out io.Writer, s instanceStatus) {
	if s.err != nil {
		return
	}
	fmt.Fprintf(out, "\n%s\n", s.status.Instance)
	for _, reason := range s.status.NotReady {
		fmt.Fprintf(out, "  not ready: %s\n", reason)
	}
	names := lo.Map(s.status.Members, func(m peer.Member, _ int) string { return m.Name })
	fmt.Fprintf(out, "  roster: %s\n", strings.Join(names, ", "))
	for _, share := range s.status.Shares {
		fmt.Fprintf(out, "  share: %s %.1f tokens/s, burst %.0f, level %.0f, lent %.0f\n",
			share.Customer, share.Rate, share.Burst, share.Level, share.Lent)
	}
	for _, e := range s.status.Endpoints {
		if e.Leaving {
			fmt.Fprintf(out, "  leaving: %s of pool %s\n", e.Name, e.Pool)
		}
	}
}

func fetchStatuses(ctx context.Context, urls []string) []instanceStatus {
	all := make([]instanceStatus, len(urls))
	client := instanceClient()
	var group sync.WaitGroup
	for i, url := range urls {
		all[i].url = url
		group.Go(func() { all[i].err = fetchJSON(ctx, client, http.MethodGet, url+"/status", &all[i].status) })
	}
	group.Wait()
	return all
}
