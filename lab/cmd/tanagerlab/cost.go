package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"tanagerwood.dev/lab/soak"
)

// costCommand measures the resource use of one router instance.
type costCommand struct {
	router string
	dir    string
}

func (*costCommand) Name() string { return "cost" }
func (*costCommand) Synopsis() string {
	return "measure processor time, memory and store calls of an instance"
}
func (*costCommand) Usage() string {
	return `tanagerlab cost [flags]

Starts "tanagerwood node" on loopback addresses with stand-ins of the platform, one process for each figure, and prints a JSON
object: milliseconds of processor time for a plain request and a stream of 70 events, the peak memory in MB with 200 open
streams and with 20 bodies of 4 MB, and the calls to the store and the processor time without traffic. Needs Linux.

`
}

func (c *costCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.router, "router", "bin/tanagerwood", "the router's `program`")
	f.StringVar(&c.dir, "dir", "out/cost", "`directory` for logs")
}

// Execute implements subcommands.Command.
func (c *costCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "tanagerlab cost: unknown argument:", f.Arg(0))
		return subcommands.ExitUsageError
	}
	if err := parseEnvironment(f); err != nil {
		return usageError(err)
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	cost, err := soak.MeasureCost(ctx, c.router, c.dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "tanagerlab cost:", err)
		return subcommands.ExitFailure
	}
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	if err := out.Encode(cost); err != nil {
		fmt.Fprintln(os.Stderr, "tanagerlab cost:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
