package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"tanagerwood.dev/lab/internal/experiment"
	"tanagerwood.dev/lab/internal/report"
)

// reportCommand writes an HTML page with the results of experiments.
type reportCommand struct {
	out string
}

func (*reportCommand) Name() string     { return "report" }
func (*reportCommand) Synopsis() string { return "write an HTML page from summaries of experiments" }
func (*reportCommand) Usage() string {
	return `tanagerlab report -out FILE SUMMARY.json [SUMMARY.json…]

Writes one self-contained HTML page with plots and a table of measures against the goals of docs/design.md.

`
}

func (c *reportCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.out, "out", "report.html", "`file` to write")
}

// Execute implements subcommands.Command.
func (c *reportCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := parseEnvironment(f); err != nil {
		return usageError(err)
	}
	if err := c.run(f.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "tanagerlab report:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *reportCommand) run(files []string) error {
	if len(files) == 0 {
		return errors.New("name at least one summary file")
	}
	var summaries []experiment.Summary
	for _, file := range files {
		s, err := experiment.ReadSummary(file)
		if err != nil {
			return err
		}
		summaries = append(summaries, s)
	}
	out, err := os.Create(c.out)
	if err != nil {
		return err
	}
	return errors.Join(report.Write(out, summaries), out.Close())
}
