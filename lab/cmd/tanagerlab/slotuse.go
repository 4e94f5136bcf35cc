package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"tanagerwood.dev/lab/internal/slotuse"
)

// slotUseCommand prints the utilization of the decode slots.
type slotUseCommand struct{ slots int }

func (*slotUseCommand) Name() string { return "slotuse" }
func (*slotUseCommand) Synopsis() string {
	return "compute from router logs how full the decode engines were"
}
func (*slotUseCommand) Usage() string {
	return `tanagerlab slotuse [-slots N] FILE

Reads log lines of all instances of "tanagerwood node" and prints, for each 2 s, the decode slots that were taken, the slots there
were, and the requests that waited or were refused; then the part of the slots that was taken while requests waited.

`
}

func (c *slotUseCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.slots, "slots", 12, "`number` of slots of each engine, as the configuration tells it")
}

// Execute implements subcommands.Command.
func (c *slotUseCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usageError(fmt.Errorf("give one file of log lines"))
	}
	file, err := os.Open(f.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "tanagerlab slotuse:", err)
		return subcommands.ExitFailure
	}
	defer file.Close()
	result, err := slotuse.Read(file, c.slots)
	if err != nil {
		fmt.Fprintln(os.Stderr, "tanagerlab slotuse:", err)
		return subcommands.ExitFailure
	}
	fmt.Println("begin         taken  slots  waiting  refused")
	for _, u := range result.Windows {
		fmt.Printf("%s  %6.1f %6.1f %8.1f %8d\n", u.Begin.Format("15:04:05.000"), u.Busy, u.Slots, u.Waiting, u.Refused)
	}
	ratio, windows := result.Ratio()
	fmt.Printf("taken while requests waited: %.3f of the slots, in %d windows of %v\n", ratio, windows, slotuse.Window)
	return subcommands.ExitSuccess
}
