package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"

	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/lab/internal/capacity"
	"tanagerwood.dev/lab/standin/engine"
	"tanagerwood.dev/lab/standin/service"
)

// idleLoadInterval is the time between load reports of endpoints that serve only to measure the routers' own cost.
const idleLoadInterval = time.Second

// capacityCommand plans, prepares and summarizes the fleets that scripts/capacity.sh runs.
type capacityCommand struct {
	dir      string
	point    string
	basePort int
}

func (*capacityCommand) Name() string     { return "capacity" }
func (*capacityCommand) Synopsis() string { return "plan, prepare or summarize fleets of growing size" }
func (*capacityCommand) Usage() string {
	return `tanagerlab capacity [flags] plan|prepare|summarize

plan prints one point a line, such as r8-c100-e60 for 8 routers, 100 customers and 60 endpoints. prepare writes the files
of -point into -dir. summarize reads the samples of all points below -dir, writes capacity.json there and prints Markdown.

`
}

func (c *capacityCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.dir, "dir", "", "`directory` of a point (prepare) or of all points (summarize)")
	f.StringVar(&c.point, "point", "", "`id` of the point to prepare")
	f.IntVar(&c.basePort, "base-port", 23000, "the processes listen on the ports after this one")
}

// Execute implements subcommands.Command.
func (c *capacityCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := parseEnvironment(f); err != nil {
		return usageError(err)
	}
	if err := c.run(f.Arg(0)); err != nil {
		fmt.Fprintln(os.Stderr, "tanagerlab capacity:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *capacityCommand) run(action string) error {
	switch action {
	case "plan":
		for _, p := range capacity.Grid() {
			fmt.Println(p.ID())
		}
		return nil
	case "prepare":
		p, err := capacity.ParsePoint(c.point)
		if err != nil {
			return err
		}
		return capacity.Prepare(p, c.dir, c.basePort)
	case "summarize":
		s, err := capacity.Summarize(c.dir)
		if err != nil {
			return err
		}
		return s.WriteMarkdown(os.Stdout)
	default:
		return errors.New("say plan, prepare or summarize after the flags")
	}
}

// endpointsCommand serves all endpoints of a point in one process, each below /NAME.
type endpointsCommand struct {
	listen string
	point  string
}

func (*endpointsCommand) Name() string     { return "endpoints" }
func (*endpointsCommand) Synopsis() string { return "serve many small stand-ins in one process" }
func (*endpointsCommand) Usage() string {
	return "endpoints -point r8-c100-e60 [flags]\n  Serves each endpoint of the point below the path /NAME.\n"
}

func (c *endpointsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:7300", "`address` to listen on")
	f.StringVar(&c.point, "point", "", "`id` of the point whose endpoints are served")
}

// Execute implements subcommands.Command.
func (c *endpointsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := parseEnvironment(f); err != nil {
		return usageError(err)
	}
	p, err := capacity.ParsePoint(c.point)
	if err != nil {
		return usageError(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	for _, e := range p.Layout() {
		prefix := "/" + e.Name
		mux.Handle(prefix+"/", http.StripPrefix(prefix, endpointHandler(e)))
	}
	return serveHTTP(ctx, "endpoints", c.listen, mux)
}

func endpointHandler(e capacity.Endpoint) http.Handler {
	if e.Role == platform.RoleService {
		return service.New(service.Options{Name: e.Name}).Handler()
	}
	o := engine.DefaultOptions()
	o.Name, o.Role, o.Model, o.LoadReportInterval = e.Name, engine.Role(e.Role), "model", idleLoadInterval
	return engine.New(o).Handler()
}
