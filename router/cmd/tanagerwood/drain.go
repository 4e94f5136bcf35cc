package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"time"

	"tanagerwood.dev/router/internal/adapter/operators"
	"tanagerwood.dev/router/internal/fault"
)

const drainPollInterval = time.Second

type drainFlags struct {
	operatorURL string
	wait        time.Duration
}

func newDrain() *command {
	c := &drainFlags{}
	return &command{
		name:     "drain",
		synopsis: "begin the planned stop of an instance",
		usage: `drain -operator URL [-wait TIME]

The instance reports not ready, finishes its open requests, leaves the roster and exits. With -wait, the command shows
the phases until the instance is gone, and exits with 1 if that takes longer.`,
		setFlags: func(f *flag.FlagSet) {
			f.StringVar(&c.operatorURL, "operator", "", "base `URL` of the instance's operators' port")
			f.DurationVar(&c.wait, "wait", 0, "`time` to wait until the instance is gone; 0 does not wait")
		},
		run: c.run,
	}
}

func (c *drainFlags) run(ctx context.Context, out io.Writer, _ []string) error {
	if c.operatorURL == "" {
		return fmt.Errorf("%w: name the instance with -operator", errUsage)
	}
	client := instanceClient()
	var answer operators.DrainAnswer
	if err := fetchJSON(ctx, client, http.MethodPost, c.operatorURL+"/drain", &answer); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: %s\n", c.operatorURL, answer.Phase)
	if c.wait <= 0 {
		return nil
	}
	return c.waitUntilStopped(ctx, out, client)
}

// waitUntilStopped prints phase changes until the instance is gone. An answer that cannot be used is asked for again.
func (c *drainFlags) waitUntilStopped(ctx context.Context, out io.Writer, client *http.Client) error {
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	var known operators.Status
	var lastErr error
	for ctx.Err() == nil {
		var status operators.Status
		err := fetchJSON(ctx, client, http.MethodGet, c.operatorURL+"/status", &status)
		switch {
		case isGone(err):
			fmt.Fprintf(out, "%s: stopped\n", c.operatorURL)
			return nil
		case err != nil && !fault.Is(err, fault.EndpointFailed):
			return err
		case err != nil && ctx.Err() == nil:
			lastErr = err
		case err == nil:
			if status.Phase != known.Phase {
				fmt.Fprintf(out, "%s: %s, %d open requests\n", c.operatorURL, status.Phase, status.OpenRequests)
			}
			known, lastErr = status, nil
		}
		_ = sleep(ctx, drainPollInterval) // the loop checks ctx
	}
	still := fmt.Errorf("the instance is still %s after %s, with %d open requests", known.Phase, c.wait, known.OpenRequests)
	if lastErr != nil {
		return fmt.Errorf("%w; last answer: %v", still, lastErr) // the exit code is that of a stop that takes longer
	}
	return still
}
