package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"tanagerwood.dev/lab/internal/losses"
)

// lossesCommand prints how many model requests were late or not served, by cause.
type lossesCommand struct{}

func (*lossesCommand) Name() string { return "losses" }
func (*lossesCommand) Synopsis() string {
	return "compute from router logs why model requests were late or not served"
}
func (*lossesCommand) SetFlags(f *flag.FlagSet) {}
func (*lossesCommand) Usage() string {
	return `tanagerlab losses FILE

Reads log lines of all instances of "tanagerwood node" and prints, for each 2 s, how many model requests arrived that were served on
time, were late, or were not served, by cause.

`
}

// Execute implements subcommands.Command.
func (c *lossesCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usageError(fmt.Errorf("give one file of log lines"))
	}
	file, err := os.Open(f.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "tanagerlab losses:", err)
		return subcommands.ExitFailure
	}
	defer file.Close()
	result, err := losses.Read(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "tanagerlab losses:", err)
		return subcommands.ExitFailure
	}
	for i, cause := range result.Causes {
		fmt.Printf("%2d %6d  %s\n", i+1, result.Total[cause], cause)
	}
	fmt.Print("\nbegin       ")
	for i := range result.Causes {
		fmt.Printf(" %6d", i+1)
	}
	fmt.Println()
	for _, w := range result.Windows {
		fmt.Print(w.Begin.Format("15:04:05.000"))
		for _, cause := range result.Causes {
			fmt.Printf(" %6d", w.ByCause[cause])
		}
		fmt.Println()
	}
	return subcommands.ExitSuccess
}
