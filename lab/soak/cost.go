package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"tanagerwood.dev/platform/standin"
)

// Cost is what one instance needs, measured on its process from outside.
type Cost struct {
	// PlainMS and StreamMS are milliseconds of processor time for a plain request and for a stream of 70 events.
	PlainMS  float64 `json:"plainMs"`
	StreamMS float64 `json:"streamMs"`
	// StreamsMB is the peak resident memory with 200 open streams, BodiesMB with 20 requests of 4 MB at once, each in a
	// process of its own.
	StreamsMB float64 `json:"streamsMb"`
	BodiesMB  float64 `json:"bodiesMb"`
	// IdleCalls is the number of calls to the store in a second without traffic, IdlePercent the part of a core.
	IdleCalls   float64 `json:"idleCalls"`
	IdlePercent float64 `json:"idlePercent"`
}

const (
	costCallers = 4
	costPlain   = 4000
	costStreams = 400
	costEvents  = 70
	openStreams = 200
	openBodies  = 20
	bodyBytes   = 4 << 20
	idleTime    = 15 * time.Second
	settleTime  = 2 * time.Second
	bytesPerMB  = 1 << 20
	clockTicks  = 100 // a second, as Linux tells processor time on all platforms
	bytesPerKB  = 1024
)

// MeasureCost starts an instance for each figure and measures it. Binary is the router's program, dir takes the logs.
func MeasureCost(ctx context.Context, binary, dir string) (Cost, error) {
	var c Cost
	for _, part := range []struct {
		name    string
		measure func(context.Context, *world, *Cost) error
	}{
		{"plain", measurePlain}, {"streams", measureStreams}, {"open", measureOpenStreams}, {"bodies", measureBodies}, {"idle", measureIdle},
	} {
		w, err := newWorld(Options{Plan: Plan{}, Bounds: DefaultBounds(), Binary: binary, Dir: fmt.Sprint(dir, "/", part.name), Instances: 1})
		if err != nil {
			return c, err
		}
		err = w.start(ctx)
		if err == nil {
			sleep(ctx, settleTime)
			err = part.measure(ctx, w, &c)
		}
		w.close()
		if err := errors.Join(err, ctx.Err()); err != nil {
			return c, fmt.Errorf("%s: %w", part.name, err)
		}
	}
	return c, nil
}

// timed returns the processor time that the instance used meanwhile, for each of count requests.
func timed(w *world, count int, do func() error) (ms float64, err error) {
	before, err := w.instances[0].processorTime()
	if err != nil {
		return 0, err
	}
	if err := do(); err != nil {
		return 0, err
	}
	after, err := w.instances[0].processorTime()
	return float64((after - before).Milliseconds()) / float64(count), err
}

func measurePlain(_ context.Context, w *world, c *Cost) (err error) {
	for _, m := range w.machines {
		m.current.server.ServiceTime = 0
	}
	c.PlainMS, err = timed(w, costPlain, func() error { return w.sendAll(costCallers, costPlain, look, "") })
	return err
}

func measureStreams(_ context.Context, w *world, c *Cost) (err error) {
	w.setStreams(costEvents, time.Millisecond)
	c.StreamMS, err = timed(w, costStreams, func() error { return w.sendAll(costCallers, costStreams, digest, "") })
	return err
}

func measureOpenStreams(_ context.Context, w *world, c *Cost) (err error) {
	w.setStreams(costEvents, 20*time.Millisecond)
	for _, m := range w.machines {
		m.current.server.Slots = 0
	}
	if err := w.sendAll(openStreams, openStreams, digest, ""); err != nil {
		return err
	}
	c.StreamsMB, err = w.instances[0].peakMemory()
	return err
}

func measureBodies(_ context.Context, w *world, c *Cost) (err error) {
	if err := w.sendAll(openBodies, openBodies, look, strings.Repeat("x", bodyBytes)); err != nil {
		return err
	}
	c.BodiesMB, err = w.instances[0].peakMemory()
	return err
}

func measureIdle(ctx context.Context, w *world, c *Cost) error {
	calls := w.store.Calls()
	ms, err := timed(w, 1, func() error {
		sleep(ctx, idleTime)
		return nil
	})
	c.IdleCalls = float64(w.store.Calls()-calls) / idleTime.Seconds()
	c.IdlePercent = ms / float64(idleTime.Milliseconds()) * 100
	return err
}

func (w *world) setStreams(events int, pause time.Duration) {
	for _, m := range w.machines {
		m.current.server.Events, m.current.server.EventInterval = events, pause
	}
}

// sendAll sends requests from some callers at once and fails unless all are answered.
func (w *world) sendAll(callers, count int, k kind, body string) error {
	var group sync.WaitGroup
	failures := make(chan error, callers)
	for n := range callers {
		group.Go(func() {
			caller := standin.NewCaller()
			defer caller.Close()
			random := rand.New(rand.NewPCG(1, uint64(n)))
			for range count / callers {
				if err := w.sendOne(caller, k, body, random); err != nil {
					failures <- err
					return
				}
			}
		})
	}
	group.Wait()
	close(failures)
	return <-failures
}

// sendOne sends a request until it is answered, as callers come back after refusals.
func (w *world) sendOne(caller *standin.Caller, k kind, body string, random *rand.Rand) error {
	var a standin.Response
	for range 20 {
		s, q := w.load.prepare(w.instances[0], k)
		q.Timeout = streamPatience
		if body != "" {
			q.Body = body
		}
		ctx, cancel := context.WithTimeout(context.Background(), q.Timeout)
		a = caller.Send(ctx, w.instances[0].callers, q)
		cancel()
		if a.Err == nil && a.Status == 200 {
			return nil
		}
		if !a.NotRun() {
			return fmt.Errorf("request %s: status %d: %w", s.id, a.Status, a.Err)
		}
		time.Sleep(time.Duration(random.Int64N(int64(max(a.RetryAfter, poll)))))
	}
	return fmt.Errorf("a request was refused with status %d again and again", a.Status)
}

// processorTime is the processor time of the running process.
func (i *instance) processorTime() (time.Duration, error) {
	raw, err := i.proc("stat")
	if err != nil {
		return 0, err
	}
	// The name in parentheses may hold spaces; user and system time are the 12th and 13th field after it.
	fields := bytes.Fields(raw[bytes.LastIndexByte(raw, ')')+1:])
	if len(fields) < 13 {
		return 0, errors.New("/proc/PID/stat has too few fields")
	}
	user, err := strconv.ParseInt(string(fields[11]), 10, 64)
	system, systemErr := strconv.ParseInt(string(fields[12]), 10, 64)
	return time.Duration(user+system) * time.Second / clockTicks, errors.Join(err, systemErr)
}

// peakMemory is the largest resident memory of the running process so far, in MB.
func (i *instance) peakMemory() (float64, error) {
	raw, err := i.proc("status")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64)
			return kb * bytesPerKB / bytesPerMB, err
		}
	}
	return 0, errors.New("/proc/PID/status tells no VmHWM")
}

func (i *instance) proc(file string) ([]byte, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return nil, fmt.Errorf("%s has ended", i.name)
	}
	return os.ReadFile(fmt.Sprintf("/proc/%d/%s", i.cmd.Process.Pid, file))
}
