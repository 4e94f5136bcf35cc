package main

import (
	"context"
	"errors"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"

	"tanagerwood.dev/router/internal/adapter/statelog"
	"tanagerwood.dev/router/internal/node"
	"tanagerwood.dev/router/internal/settings"
)

func newNode() *command {
	var n *settings.Node
	var signals <-chan os.Signal
	return &command{
		name:     "node",
		synopsis: "run an instance on a platform whose store holds the configuration",
		usage: `node [flags]

Runs one router instance whose configuration and endpoints are objects in the platform's store. SIGTERM or SIGINT begin a
planned stop: readiness ends at once, open requests are answered. SIGHUP reads the settings file again.`,
		setFlags: func(f *flag.FlagSet) { n = settings.RegisterNodeFlags(f) },
		parse: func(f *flag.FlagSet, arguments []string) error {
			signals = subscribeSignals()
			return settings.ParseNode(f, arguments)
		},
		run: func(ctx context.Context, out io.Writer, _ []string) error { return runNode(ctx, out, n, signals) },
	}
}

func runNode(ctx context.Context, out io.Writer, s *settings.Node, signals <-chan os.Signal) error {
	if problems := s.Problems(); len(problems) > 0 {
		return problemsError("the settings", problems)
	}
	writer := statelog.NewAsyncWriter(out)
	logger := statelog.NewAsyncLogger(writer, s.LogLevel, s.Instance)
	n := node.New(node.Options{Settings: s, Version: version(), Logger: logger, DroppedLines: writer.DroppedLines})
	go handleSignals(n, signals)
	return errors.Join(n.Run(ctx), writer.Close())
}

// subscribeSignals replaces the default action of the signals, which terminates the process. It is called before the settings
// are read, since the platform may send signals at any time after the start.
func subscribeSignals() <-chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// handleSignals starts a planned stop on SIGTERM and SIGINT, and reloads the settings on SIGHUP.
func handleSignals(n *node.Node, signals <-chan os.Signal) {
	for sig := range signals {
		if sig == syscall.SIGHUP {
			n.Reload()
		} else {
			n.Stop()
		}
	}
}
