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

// Cost is the resource usage of one instance, measured on its process from outside.
type Cost struct {
	// PlainMS and StreamMS are milliseconds of CPU time for a plain request and for a stream of 70 events.
	PlainMS  float64 `json:"plainMs"`
	StreamMS float64 `json:"streamMs"`
	// StreamsMB is the peak resident memory with 200 open streams, BodiesMB with 20 concurrent requests of 4 MB, each measured
	// in a process of its own.
	StreamsMB float64 `json:"streamsMb"`
	BodiesMB  float64 `json:"bodiesMb"`
	// IdleCalls is the number of store calls per second without traffic, IdlePercent the CPU usage without traffic in percent
	// of a core.
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
	clockTicks  = 100 // per second; Linux reports CPU time in this unit on all platforms
	bytesPerKB  = 1024
)

// MeasureCost starts one instance per measurement. binary is the router's executable, dir the directory for its logs.
func MeasureCost(ctx context.Context, binary, dir string) (Cost, error) {
	var c Cost
	for _, part := range []struct {
		name    string
		measure func(context.Context, *testbed, *Cost) error
	}{
		{"plain", measurePlain}, {"streams", measureStreams}, {"open", measureOpenStreams}, {"bodies", measureBodies}, {"idle", measureIdle},
	} {
		t, err := newWorld(Options{Plan: Plan{}, Bounds: DefaultBounds(), Binary: binary, Dir: fmt.Sprint(dir, "/", part.name), Instances: 1})
		if err != nil {
			return c, err
		}
		err = t.start(ctx)
		if err == nil {
			sleep(ctx, settleTime)
			err = part.measure(ctx, t, &c)
		}
		t.close()
		if err := errors.Join(err, ctx.Err()); err != nil {
			return c, fmt.Errorf("%s: %w", part.name, err)
		}
	}
	return c, nil
}

// cpuTimePerRequest runs do and returns the CPU time that the instance used during it, divided by count.
func cpuTimePerRequest(t *testbed, count int, do func() error) (ms float64, err error) {
	before, err := t.instances[0].cpuTime()
	if err != nil {
		return 0, err
	}
	if err := do(); err != nil {
		return 0, err
	}
	after, err := t.instances[0].cpuTime()
	return float64((after - before).Milliseconds()) / float64(count), err
}

func measurePlain(_ context.Context, t *testbed, c *Cost) (err error) {
	for _, m := range t.machines {
		m.current.server.ServiceTime = 0
	}
	c.PlainMS, err = cpuTimePerRequest(t, costPlain, func() error { return t.sendAll(costCallers, costPlain, safeRequest, "") })
	return err
}

func measureStreams(_ context.Context, t *testbed, c *Cost) (err error) {
	t.setStreams(costEvents, time.Millisecond)
	c.StreamMS, err = cpuTimePerRequest(t, costStreams, func() error { return t.sendAll(costCallers, costStreams, resumableStream, "") })
	return err
}

func measureOpenStreams(_ context.Context, t *testbed, c *Cost) (err error) {
	t.setStreams(costEvents, 20*time.Millisecond)
	for _, m := range t.machines {
		m.current.server.Slots = 0
	}
	if err := t.sendAll(openStreams, openStreams, resumableStream, ""); err != nil {
		return err
	}
	c.StreamsMB, err = t.instances[0].peakMemory()
	return err
}

func measureBodies(_ context.Context, t *testbed, c *Cost) (err error) {
	if err := t.sendAll(openBodies, openBodies, safeRequest, strings.Repeat("x", bodyBytes)); err != nil {
		return err
	}
	c.BodiesMB, err = t.instances[0].peakMemory()
	return err
}

func measureIdle(ctx context.Context, t *testbed, c *Cost) error {
	calls := t.store.Calls()
	ms, err := cpuTimePerRequest(t, 1, func() error {
		sleep(ctx, idleTime)
		return nil
	})
	c.IdleCalls = float64(t.store.Calls()-calls) / idleTime.Seconds()
	c.IdlePercent = ms / float64(idleTime.Milliseconds()) * 100
	return err
}

func (t *testbed) setStreams(events int, pause time.Duration) {
	for _, m := range t.machines {
		m.current.server.Events, m.current.server.EventInterval = events, pause
	}
}

// sendAll sends requests from concurrent callers and returns an error unless all succeed.
func (t *testbed) sendAll(callers, count int, k kind, body string) error {
	var group sync.WaitGroup
	failures := make(chan error, callers)
	for n := range callers {
		group.Go(func() {
			caller := standin.NewCaller()
			defer caller.Close()
			random := rand.New(rand.NewPCG(1, uint64(n)))
			for range count / callers {
				if err := t.sendOne(caller, k, body, random); err != nil {
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

// sendOne sends a request and retries it after refusals, as callers do, until it succeeds.
func (t *testbed) sendOne(caller *standin.Caller, k kind, body string, random *rand.Rand) error {
	var a standin.Response
	for range 20 {
		s, q := t.load.prepare(t.instances[0], k)
		q.Timeout = streamCallerTimeout
		if body != "" {
			q.Body = body
		}
		ctx, cancel := context.WithTimeout(context.Background(), q.Timeout)
		a = caller.Send(ctx, t.instances[0].callers, q)
		cancel()
		if a.Err == nil && a.Status == 200 {
			return nil
		}
		if !a.NotRun() {
			return fmt.Errorf("request %s: status %d: %w", s.id, a.Status, a.Err)
		}
		time.Sleep(time.Duration(random.Int64N(int64(max(a.RetryAfter, pollInterval)))))
	}
	return fmt.Errorf("request refused with status %d on every attempt", a.Status)
}

// cpuTime returns the CPU time that the running process has used.
func (i *instance) cpuTime() (time.Duration, error) {
	raw, err := i.readProc("stat")
	if err != nil {
		return 0, err
	}
	// The process name in parentheses may contain spaces; user and system time are the 12th and 13th fields after it.
	fields := bytes.Fields(raw[bytes.LastIndexByte(raw, ')')+1:])
	if len(fields) < 13 {
		return 0, errors.New("/proc/PID/stat has too few fields")
	}
	user, err := strconv.ParseInt(string(fields[11]), 10, 64)
	system, systemErr := strconv.ParseInt(string(fields[12]), 10, 64)
	return time.Duration(user+system) * time.Second / clockTicks, errors.Join(err, systemErr)
}

// peakMemory returns the peak resident memory of the running process in MB.
func (i *instance) peakMemory() (float64, error) {
	raw, err := i.readProc("status")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64)
			return kb * bytesPerKB / bytesPerMB, err
		}
	}
	return 0, errors.New("/proc/PID/status has no VmHWM line")
}

func (i *instance) readProc(file string) ([]byte, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return nil, fmt.Errorf("%s is not running", i.name)
	}
	return os.ReadFile(fmt.Sprintf("/proc/%d/%s", i.cmd.Process.Pid, file))
}
