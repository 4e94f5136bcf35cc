package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"tanagerwood.dev/lab/internal/experiment"
)

// experimentCommand plans, prepares and aggregates the cells that scripts/experiment.sh runs.
type experimentCommand struct {
	file     string
	dir      string
	cell     string
	basePort int
}

func (*experimentCommand) Name() string     { return "experiment" }
func (*experimentCommand) Synopsis() string { return "plan, prepare or aggregate an experiment" }
func (*experimentCommand) Usage() string {
	return `tanagerlab experiment -file FILE [flags] plan|prepare|aggregate

plan prints one cell id a line. prepare writes the files of -cell into -dir: catalogue, instance list, scenario,
processes and faults. aggregate reads the results of all cells below -dir, writes summary.json there and prints a
Markdown table. The command starts no process; scripts/experiment.sh does.

`
}

func (c *experimentCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "file", "", "experiment `file`")
	f.StringVar(&c.dir, "dir", "", "`directory` of a cell (prepare) or of all cells (aggregate)")
	f.StringVar(&c.cell, "cell", "", "`id` of the cell to prepare")
	f.IntVar(&c.basePort, "base-port", 21000, "the processes listen on the ports after this one")
}

// Execute implements subcommands.Command.
func (c *experimentCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := parseEnvironment(f); err != nil {
		return usageError(err)
	}
	if err := c.run(f.Arg(0)); err != nil {
		fmt.Fprintln(os.Stderr, "tanagerlab experiment:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *experimentCommand) run(action string) error {
	file, err := experiment.Read(c.file)
	if err != nil {
		return err
	}
	switch action {
	case "plan":
		for _, cell := range file.Plan() {
			fmt.Println(cell.ID)
		}
		return nil
	case "prepare":
		cell, err := file.Cell(c.cell)
		if err != nil {
			return err
		}
		return experiment.Prepare(cell, c.dir, c.basePort)
	case "aggregate":
		summary, err := experiment.AggregateDir(file, c.dir)
		if err != nil {
			return err
		}
		return summary.WriteMarkdown(os.Stdout)
	default:
		return errors.New("say plan, prepare or aggregate after the flags")
	}
}
