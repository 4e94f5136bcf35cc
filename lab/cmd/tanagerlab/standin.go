package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/peterbourgon/ff/v3"
	"github.com/phuslu/log"
)

// environmentPrefix is the prefix of the environment variables that set flags.
const environmentPrefix = "TANAGERLAB"

// parseEnvironment sets flags from environment variables, except those given on the command line.
func parseEnvironment(f *flag.FlagSet) error {
	given := map[string]bool{}
	f.Visit(func(fl *flag.Flag) { given[fl.Name] = true })
	fromEnvironment := flag.NewFlagSet(f.Name(), flag.ContinueOnError)
	f.VisitAll(func(fl *flag.Flag) {
		if !given[fl.Name] {
			fromEnvironment.Var(fl.Value, fl.Name, fl.Usage)
		}
	})
	return ff.Parse(fromEnvironment, nil, ff.WithEnvVarPrefix(environmentPrefix))
}

func usageError(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitUsageError
}

// serveHTTP serves until SIGINT or SIGTERM. It then aborts open requests, as a killed process would.
func serveHTTP(ctx context.Context, name, address string, h http.Handler) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return usageError(fmt.Errorf("%w; choose another -listen address", err))
	}
	log.Info().Str("name", name).Str("address", listener.Addr().String()).Msg("listening")
	server := &http.Server{Handler: h}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		log.Error().Err(err).Msg("HTTP server stopped unexpectedly")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
