package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"tanagerwood.dev/lab/soak"
)

// soakCommand injects faults into router processes and checks their guarantees.
type soakCommand struct {
	router    string
	dir       string
	seed      uint64
	seeds     int
	parallel  int
	length    time.Duration
	instances int
	callers   int
}

func (*soakCommand) Name() string { return "soak" }
func (*soakCommand) Synopsis() string {
	return "play seeded faults against router processes and check the promises"
}
func (*soakCommand) Usage() string {
	return `tanagerlab soak [flags]

Starts router instances ("tanagerwood node") as processes on loopback addresses with stand-ins of the platform, sends
traffic, plays faults drawn from a seed, and checks what callers and servers saw. Prints the seed, the plan and each
violation. Exits with 1 if a promise was broken or a run could not be made.

`
}

func (c *soakCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.router, "router", "bin/tanagerwood", "the router's `program`")
	f.StringVar(&c.dir, "dir", "out/soak", "`directory` for plans, reports and logs, one directory in it for each seed")
	f.Uint64Var(&c.seed, "seed", 0, "first `seed`; 0 draws one")
	f.IntVar(&c.seeds, "seeds", 1, "`number` of runs, each with the next seed")
	f.IntVar(&c.parallel, "parallel", 1, "`number` of runs at a time")
	f.DurationVar(&c.length, "length", 15*time.Second, "`time` for which faults are played")
	f.IntVar(&c.instances, "instances", 4, "`number` of router instances in a run")
	f.IntVar(&c.callers, "callers", 32, "`number` of callers in a run")
}

// Execute implements subcommands.Command.
func (c *soakCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "tanagerlab soak: unknown argument:", f.Arg(0))
		return subcommands.ExitUsageError
	}
	if err := parseEnvironment(f); err != nil {
		return usageError(err)
	}
	if c.instances < 1 || c.callers < 1 || c.parallel < 1 || c.seeds < 1 || c.length <= 0 {
		return usageError(fmt.Errorf("-instances, -callers, -parallel, -seeds and -length have to be positive"))
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.seed == 0 {
		c.seed = rand.Uint64N(1 << 32)
	}
	if failed := c.runAll(ctx); failed > 0 {
		fmt.Fprintf(os.Stderr, "tanagerlab soak: %d of %d runs failed\n", failed, c.seeds)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// runAll runs all seeds, at most c.parallel at a time, and returns how many failed.
func (c *soakCommand) runAll(ctx context.Context) (failed int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, c.parallel)
	for n := range c.seeds {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			if !c.runOne(ctx, c.seed+uint64(n)) {
				mu.Lock()
				defer mu.Unlock()
				failed++
			}
		})
	}
	group.Wait()
	return failed
}

func (c *soakCommand) runOne(ctx context.Context, seed uint64) bool {
	dir := filepath.Join(c.dir, fmt.Sprint(seed))
	plan := soak.NewPlan(seed, c.length)
	report, err := soak.Run(ctx, soak.Options{
		Plan: plan, Bounds: soak.DefaultBounds(), Binary: c.router, Dir: dir, Instances: c.instances, Callers: c.callers,
	})
	if err == nil {
		err = writeSoakReport(dir, plan, report)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "seed %d: the run failed: %v\n", seed, err)
		return false
	}
	fmt.Printf("seed %d: %d violations, %d stalls of the machine\n", seed, len(report.Violations), report.Stalls)
	if len(report.Violations) == 0 {
		return true
	}
	fmt.Print(plan)
	for _, v := range report.Violations {
		fmt.Println(v)
	}
	return false
}

func writeSoakReport(dir string, plan soak.Plan, report *soak.Result) error {
	raw, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "plan.txt"), []byte(plan.String()), 0o600); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "report.json"), append(raw, '\n'), 0o600)
}
