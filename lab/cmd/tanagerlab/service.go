package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"tanagerwood.dev/lab/standin/service"
)

// serviceCommand runs one stand-in for a plain service.
type serviceCommand struct {
	listen string
	opts   service.Options
}

// Name implements subcommands.Command.
func (*serviceCommand) Name() string { return "service" }

// Synopsis implements subcommands.Command.
func (*serviceCommand) Synopsis() string { return "run a stand-in for a plain service" }

// Usage implements subcommands.Command.
func (*serviceCommand) Usage() string {
	return "service [flags]\n  Every flag can be set as TANAGERLAB_<FLAG>, for instance TANAGERLAB_LISTEN.\n"
}

// SetFlags implements subcommands.Command.
func (c *serviceCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:7200", "address to listen on")
	f.StringVar(&c.opts.Name, "name", "service", "name of the endpoint")
	f.StringVar(&c.opts.BookingField, "field", service.DefaultBookingField, "field of a JSON body that names the booking")
}

// Execute implements subcommands.Command.
func (c *serviceCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := parseEnvironment(f); err != nil {
		return usageError(err)
	}
	c.opts.Exit = func() { os.Exit(1) }
	s := service.New(c.opts)
	defer s.Close()
	return serveHTTP(ctx, c.opts.Name, c.listen, s.Handler())
}
