package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"tanagerwood.dev/router/internal/adapter/statelog"
	"tanagerwood.dev/router/internal/instance"
	"tanagerwood.dev/router/internal/settings"
)

func newServe() *command {
	var s *settings.Settings
	return &command{
		name:     "serve",
		synopsis: "run a router instance until SIGTERM, SIGINT or a drain",
		usage: `serve [flags]

Runs one router instance. SIGTERM, SIGINT or "tanagerwood drain" begin a planned stop: no open request is cut, and the
process exits with code 0. A second SIGINT ends the process at once.`,
		setFlags: func(f *flag.FlagSet) { s = settings.RegisterFlags(f) },
		run:      func(ctx context.Context, _ io.Writer, _ []string) error { return serve(ctx, s) },
	}
}

func serve(ctx context.Context, s *settings.Settings) error {
	if problems := s.Problems(); len(problems) > 0 {
		return problemsError("the settings", problems)
	}
	listeners, err := instance.Listen(s)
	if err != nil {
		return fmt.Errorf("cannot listen: %w; choose a free address", err)
	}
	logger := statelog.NewLogger(os.Stderr, s.LogLevel, s.Instance)
	i := instance.New(instance.Options{Settings: s, Version: version(), Logger: logger})
	go drainOnSignal(i)
	return i.Run(ctx, listeners)
}

// drainOnSignal starts a planned stop on the first signal; a second one has its default effect.
func drainOnSignal(i *instance.Instance) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	signal.Stop(signals)
	i.Drain()
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}
