package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/peterbourgon/ff/v3"

	api "tanagerwood.dev/api/platform"
	"tanagerwood.dev/lab/standin/platform"
)

const platformShutdownTimeout = 2 * time.Second

// platformCommand runs the stand-in for the platform.
type platformCommand struct {
	flags     *flag.FlagSet
	listen    string
	token     string
	reads     float64
	writes    float64
	lag       time.Duration
	instances string
	events    int
}

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "run the stand-in for the platform" }
func (*platformCommand) Usage() string {
	return `tanagerlab platform [flags]

Serves the object API at /api/v1, and for the lab GET /calls, GET and POST /faults, POST /instances and GET /events.
Flags may also be set by environment variables: TANAGERLAB_LISTEN for -listen, and so on.

`
}

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	c.flags = f
	f.StringVar(&c.listen, "listen", "127.0.0.1:7000", "`address` to listen on")
	f.StringVar(&c.token, "platform-token", "", "bearer `token` that API calls must carry; empty means none")
	f.Float64Var(&c.reads, "reads-per-second", 2000, "reads a second before 429; 0 sets no limit")
	f.Float64Var(&c.writes, "writes-per-second", 400, "writes a second before 429; 0 sets no limit")
	f.DurationVar(&c.lag, "instance-lag", 2*time.Second, "how long changes of the instance list stay invisible")
	f.StringVar(&c.instances, "instances", "", "JSON `file` with the instance list at the start")
	f.IntVar(&c.events, "event-capacity", 65536, "events kept in memory")
}

// Execute implements subcommands.Command.
func (c *platformCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "tanagerlab platform: takes no arguments, got", f.Args())
		return subcommands.ExitUsageError
	}
	if err := ff.Parse(c.flags, nil, ff.WithEnvVarPrefix("TANAGERLAB")); err != nil {
		fmt.Fprintln(os.Stderr, "tanagerlab platform: invalid environment variable:", err)
		return subcommands.ExitUsageError
	}
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "tanagerlab platform:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *platformCommand) run(ctx context.Context) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	seed, err := readInstances(c.instances)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.listen)
	if err != nil {
		return err
	}
	fmt.Printf("{\"listening\":%q}\n", listener.Addr().String())
	server := &http.Server{Handler: platform.New(platform.Options{
		Token:           c.token,
		ReadsPerSecond:  c.reads,
		WritesPerSecond: c.writes,
		InstanceLag:     c.lag,
		Instances:       seed,
		EventCapacity:   c.events,
	})}
	stopped := make(chan error, 1)
	go func() { stopped <- server.Serve(listener) }()
	select {
	case err := <-stopped:
		return err
	case <-ctx.Done():
	}
	deadline, cancel := context.WithTimeout(context.Background(), platformShutdownTimeout)
	defer cancel()
	if err := server.Shutdown(deadline); errors.Is(err, context.DeadlineExceeded) {
		return server.Close() // open watches never finish on their own
	}
	return nil
}

func readInstances(file string) ([]api.Instance, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var list api.InstanceList
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return list.Instances, nil
}
