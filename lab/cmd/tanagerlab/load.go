package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/lab/internal/load"
	"tanagerwood.dev/lab/standin/engine"
)

// settleTime is how long engines get to finish cancelled work before their counters are read.
const settleTime = 1500 * time.Millisecond

// loadCommand sends the traffic of a scenario and evaluates the answers.
type loadCommand struct {
	scenario   string
	catalogue  string
	routers    string
	engines    string
	services   string
	out        string
	records    string
	judgeOnly  bool
	fillTime   time.Duration
	policy     string
	seed       uint64
	parallel   int
	timeout    time.Duration
	firstToken time.Duration
	interval   time.Duration
	progress   time.Duration
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "send the traffic of a scenario and judge the answers" }
func (*loadCommand) Usage() string {
	return `tanagerlab load -scenario FILE -catalogue FILE -routers URL,URL [flags]

Sends open-loop traffic to routers on loopback addresses and writes a JSON result and a text table.
Flags may also be set by environment variables: TANAGERLAB_ROUTERS for -routers, and so on.

`
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.scenario, "scenario", "", "scenario `file`")
	f.StringVar(&c.catalogue, "catalogue", "", "catalogue `file` with rates, bursts and latency targets")
	f.StringVar(&c.routers, "routers", "", "base `URLs` of the routers' callers' ports, separated by commas")
	f.StringVar(&c.engines, "engines", "", "base `URLs` of the engines, for their counters; optional")
	f.StringVar(&c.services, "services", "", "base `URLs` of the plain services, for their counters; optional")
	f.StringVar(&c.out, "out", "", "`file` for the JSON result; optional")
	f.StringVar(&c.records, "records", "", "`file` for one JSON line a request; optional")
	f.BoolVar(&c.judgeOnly, "judge-only", false, "send nothing; judge the file of -records again and replace the result at -out")
	f.DurationVar(&c.fillTime, "filled", 0, "`time` that the routers' empty shares have filled before the run; 0 means that they are full")
	f.StringVar(&c.policy, "policy", "", "`label` of the policy in the result; the scenario's if empty")
	f.Uint64Var(&c.seed, "seed", 0, "seed that replaces the scenario's; 0 keeps it")
	f.IntVar(&c.parallel, "parallel", 4000, "most open requests; arrivals beyond it are not sent")
	f.DurationVar(&c.timeout, "request-timeout", time.Minute, "longest time for one request")
	f.DurationVar(&c.firstToken, "first-token", 0, "target for the first token; 0 takes the catalogue's targets")
	f.DurationVar(&c.interval, "token-interval", 0, "target for the mean time between tokens; needs -first-token")
	f.DurationVar(&c.progress, "progress", 5*time.Second, "time between progress lines")
}

// Execute implements subcommands.Command.
func (c *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "tanagerlab load: unknown argument:", f.Arg(0))
		return subcommands.ExitUsageError
	}
	if err := parseEnvironment(f); err != nil {
		return usageError(err)
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "tanagerlab load:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *loadCommand) run(ctx context.Context) error {
	o, err := c.options()
	if err != nil {
		return err
	}
	if c.judgeOnly {
		return c.judgeAgain(o)
	}
	engines, err := load.ParseTargetURLs(c.engines)
	if err != nil {
		return err
	}
	services, err := load.ParseTargetURLs(c.services)
	if err != nil {
		return err
	}
	runner, err := load.NewRunner(o)
	if err != nil {
		return err
	}
	client := load.NewClient(len(engines) + len(services))
	before := load.ReadEngineStats(ctx, client, engines)
	started := time.Now()
	records := runner.Run(ctx)
	if ctx.Err() != nil {
		return errors.New("interrupted; no result written")
	}
	time.Sleep(settleTime)
	result, err := load.Evaluate(o.Scenario, o.Catalogue, records, o.Targets)
	if err != nil {
		return err
	}
	result.StartedMS = started.UnixMilli()
	result.Engines = load.MeasurePrefill(before, load.ReadEngineStats(ctx, client, engines), records)
	result.Bookings = load.CountExecutions(o.Scenario, records, load.ReadExecutions(ctx, client, services))
	return c.write(result, records)
}

// judgeAgain evaluates the saved records again. It keeps the counters of the stand-ins from the earlier result, because the
// records do not have them.
func (c *loadCommand) judgeAgain(o load.Options) error {
	earlier, err := load.ReadResult(c.out)
	if err != nil {
		return err
	}
	records, err := load.ReadRecords(c.records)
	if err != nil {
		return err
	}
	result, err := load.Evaluate(o.Scenario, o.Catalogue, records, o.Targets)
	if err != nil {
		return err
	}
	result.StartedMS, result.Engines, result.Bookings = earlier.StartedMS, earlier.Engines, earlier.Bookings
	if err := result.Write(c.out); err != nil {
		return err
	}
	return load.WriteTable(os.Stdout, result)
}

func (c *loadCommand) options() (load.Options, error) {
	scenario, err := load.ReadScenario(c.scenario)
	if err != nil {
		return load.Options{}, err
	}
	if c.seed != 0 {
		scenario.Seed = c.seed
	}
	if c.fillTime > 0 {
		scenario.FilledMS = c.fillTime.Milliseconds()
	}
	if err := scenario.Validate(); err != nil {
		return load.Options{}, err
	}
	if c.policy != "" {
		scenario.Policy = c.policy
	}
	limits, err := readCatalogueIndex(c.catalogue)
	if err != nil {
		return load.Options{}, err
	}
	routers, err := load.ParseTargetURLs(c.routers)
	if err != nil {
		return load.Options{}, err
	}
	return load.Options{
		Scenario:        scenario,
		Catalogue:       limits,
		Routers:         routers,
		Targets:         load.LatencyTargets{FirstToken: c.firstToken, Interval: c.interval},
		Output:          engine.Output,
		MaxOpenRequests: max(c.parallel, 1),
		RequestTimeout:  c.timeout,
		Progress:        os.Stderr,
		ProgressEvery:   c.progress,
	}, nil
}

func (c *loadCommand) write(result load.Result, records []load.Record) error {
	if c.records != "" {
		if err := load.WriteRecords(c.records, records); err != nil {
			return err
		}
	}
	if c.out != "" {
		if err := result.Write(c.out); err != nil {
			return err
		}
	}
	return load.WriteTable(os.Stdout, result)
}

func readCatalogueIndex(path string) (*load.CatalogueIndex, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := catalogue.Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return load.NewCatalogueIndex(c), nil
}
