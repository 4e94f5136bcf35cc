package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"tanagerwood.dev/platform/standin"
)

// Options configure a run.
type Options struct {
	Plan   Plan
	Bounds Bounds
	// Binary is the path of the router's executable.
	Binary string
	// Dir is the directory for the logs of the processes.
	Dir string
	// Instances and Callers are the numbers of router instances and of callers.
	Instances, Callers int
}

// Result is the outcome of a run.
type Result struct {
	Seed uint64 `json:"seed"`
	// Stalls is the number of times in which the machine did not run the soak test for 250 ms or more. Time-bound guarantees
	// are not judged around them.
	Stalls int `json:"stalls"`
	// Requests counts the requests by kind and outcome.
	Requests   map[string]map[string]int `json:"requests"`
	Violations []Violation               `json:"violations"`
}

// Violation is a guarantee that the run broke.
type Violation struct {
	Guarantee string `json:"promise"`
	Request   string `json:"request,omitempty"`
	Text      string `json:"text"`
}

// String formats the violation in one line.
func (v Violation) String() string {
	return strings.TrimSpace(v.Guarantee+": "+v.Request) + ": " + v.Text
}

// testbed is the system under test with its environment.
type testbed struct {
	options   Options
	store     *standin.Store
	operator  *operator
	evacuator *evacuator
	machines  []*machine
	instances []*instance
	balancer  *balancer
	load      *load
	poison    *poisonPart
	deadly    *deadlyRequest
	faults    timeline
	stopStore func()

	mu sync.Mutex
	// lateStops are planned stops of undisturbed instances that took longer than the grace period.
	lateStops []string
	errs      []error
}

// domains are the failure domains of a run.
var domains = []string{"north", "south"}

// Run executes the plan and checks the guarantees. An error means that the run itself failed and says nothing about the
// guarantees.
func Run(ctx context.Context, o Options) (*Result, error) {
	t, err := newWorld(o)
	if err != nil {
		return nil, err
	}
	defer t.close()
	if err := t.start(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	go t.balancer.run(loadCtx)
	go t.faults.watchStalls(ctx)
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		t.load.run(loadCtx, o.Callers)
	}()
	t.runPlan(ctx)
	t.poison.stop()
	t.deadly.stop()
	unrecovered := t.awaitRecovery(ctx)
	stopLoad()
	<-loadDone
	left := t.awaitIdle(ctx)
	t.stopAll()
	if err := errors.Join(append(t.errs, ctx.Err())...); err != nil {
		return nil, err
	}
	e := t.execution()
	e.unrecovered, e.stillBusy = unrecovered, left
	return &Result{Seed: o.Plan.Seed, Stalls: t.faults.stalls(), Requests: e.count(), Violations: e.check()}, nil
}

func newWorld(o Options) (*testbed, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, err
	}
	t := &testbed{options: o, store: standin.NewStore()}
	t.poison, t.deadly = &poisonPart{crasher: crasher{faults: &t.faults}}, &deadlyRequest{crasher: crasher{faults: &t.faults}}
	server := httptest.NewServer(t.store)
	t.stopStore = func() {
		server.CloseClientConnections()
		server.Config.Close() //nolint:errcheck // nothing is left to be done with it
	}
	t.operator = &operator{store: t.store}
	t.evacuator = &evacuator{store: t.store, open: map[string]int{}}
	t.operator.change(0)
	t.addMachines()
	if err := t.addInstances(strings.TrimPrefix(server.URL, "http://")); err != nil {
		t.close()
		return nil, err
	}
	t.balancer = newBalancer(t.instances)
	t.load = &load{seed: o.Plan.Seed, operator: t.operator, balancer: t.balancer, poison: t.poison}
	t.deadly.load = t.load
	return t, nil
}

// addMachines adds the servers and assigns them to the failure domains in turn.
func (t *testbed) addMachines() {
	run := strconv.FormatUint(rand.Uint64(), 36)
	for _, group := range []struct {
		service, stage string
		count          int
	}{{counterService, "", 3}, {otherService, "", 2}, {modelService, "prefill", 4}, {modelService, "decode", 3}} {
		name := group.service
		if group.stage != "" {
			name = group.stage
		}
		for n := range group.count {
			t.machines = append(t.machines, &machine{
				name: fmt.Sprint(name, n+1), run: run, service: group.service, stage: group.stage, domain: domains[n%len(domains)], store: t.store, poison: t.poison, deadly: t.deadly,
			})
		}
	}
}

func (t *testbed) addInstances(store string) error {
	for n := range t.options.Instances {
		path, err := NewProxy(store)
		if err != nil {
			return err
		}
		i := &instance{
			name: fmt.Sprint("router-", n+1), domain: domains[n%len(domains)], evacuateWithin: t.options.Bounds.Evacuate, binary: t.options.Binary, dir: t.options.Dir, store: path,
		}
		for _, address := range []*string{&i.callers, &i.ready, &i.peer} {
			if *address, err = freeAddress(); err != nil {
				return err
			}
		}
		t.instances = append(t.instances, i)
	}
	return nil
}

// startTimeout bounds the time in which all processes must be ready.
const startTimeout = 20 * time.Second

func (t *testbed) start(ctx context.Context) error {
	for _, m := range t.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, i := range t.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, i := range t.instances {
		for !standin.Ready(ctx, i.ready) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready within %v; see %s", i.name, startTimeout, filepath.Join(t.options.Dir, i.name+".log"))
			}
			sleep(ctx, pollInterval)
		}
	}
	return nil
}

// pollInterval is how often a condition is checked.
const pollInterval = 20 * time.Millisecond

// runPlan executes all actions at their times and returns when the last one has ended.
func (t *testbed) runPlan(ctx context.Context) {
	began := time.Now()
	var group sync.WaitGroup
	for _, a := range t.options.Plan.Actions {
		sleep(ctx, a.At-time.Since(began))
		if ctx.Err() != nil {
			break
		}
		group.Go(func() { t.recordError(t.apply(a)) })
	}
	sleep(ctx, t.options.Plan.Length-time.Since(began))
	group.Wait()
}

// forEach calls f for all instances at the same time, and records its errors.
func (t *testbed) forEach(instances []*instance, f func(*instance) error) {
	var group sync.WaitGroup
	for _, i := range instances {
		group.Go(func() { t.recordError(f(i)) })
	}
	group.Wait()
}

func (t *testbed) recordError(err error) {
	if err == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.errs = append(t.errs, err)
}

// awaitRecovery waits until every instance serves each kind of request, and returns those that do not within the bound. The instances
// are asked at the same time, since a stream alone takes over half a second.
func (t *testbed) awaitRecovery(ctx context.Context) (failing []string) {
	ctx, cancel := context.WithTimeout(ctx, t.options.Bounds.Recovery)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	for n, i := range t.instances {
		group.Go(func() {
			random := rand.New(rand.NewPCG(t.options.Plan.Seed, recoveryStream+uint64(n)))
			for _, k := range []kind{safeRequest, unsafeRequest, unsafeStream, resumableStream, newestRouteRequest} {
				if !t.serves(ctx, i, k, random) {
					mu.Lock()
					failing = append(failing, fmt.Sprint(i.name, " ", k))
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	return failing
}

// recoveryStream is the first of the random streams of a seed from which the requests after the last fault are drawn.
const recoveryStream = 1 << 32

func (t *testbed) serves(ctx context.Context, i *instance, k kind, random *rand.Rand) bool {
	caller := standin.NewCaller()
	defer caller.Close()
	for ctx.Err() == nil {
		if a := t.load.send(caller, i, k, random).response; a.Err == nil && a.Status == http.StatusOK {
			return true
		}
		sleep(ctx, pollInterval)
	}
	return false
}

// awaitIdle waits until no server runs a request or holds a lease, and returns those that still do after the lease time.
func (t *testbed) awaitIdle(ctx context.Context) (busy []string) {
	deadline := time.Now().Add(lease + t.options.Bounds.CancelDelay + time.Second)
	for _, m := range t.machines {
		for _, b := range m.boots {
			for b.stoppedAt.IsZero() && b.server.Running()+b.server.OpenLeases() > 0 {
				if ctx.Err() != nil || time.Now().After(deadline) {
					busy = append(busy, b.server.ID)
					break
				}
				sleep(ctx, pollInterval)
			}
		}
	}
	return busy
}

func (t *testbed) stopAll() {
	t.forEach(t.instances, func(i *instance) error {
		_, err := i.stop(t.options.Bounds.Grace)
		return err
	})
}

// close stops all processes and listeners.
func (t *testbed) close() {
	for _, i := range t.instances {
		t.recordError(i.kill())
		t.recordError(i.store.Close())
	}
	for _, m := range t.machines {
		if b := m.claim(); b != nil {
			t.recordError(m.end(b))
		}
	}
	t.stopStore()
}

// execution collects what callers, servers and the operator observed.
func (t *testbed) execution() *execution {
	e := &execution{
		bounds: t.options.Bounds, sent: t.load.sent, faults: &t.faults, versions: t.operator.all(), evacuations: t.evacuator.all(), lateStops: t.lateStops,
		runs: map[string][]standin.Run{}, servers: map[string]*serverBoot{}, limited: map[string]serverLimits{},
		poison: t.poison.observations(), deadly: t.deadly.observations(),
	}
	for _, m := range t.machines {
		for _, b := range m.boots {
			e.servers[b.server.ID] = b
			if limits := b.server.Limits(); len(limits) > 0 {
				e.limited[b.server.ID] = serverLimits{limits: limits, arrivals: b.server.Arrivals()}
			}
			for _, a := range b.server.CrashingArrivals() {
				if isDeadlyID(a.ID) {
					e.deadly.arrivals = append(e.deadly.arrivals, a)
				} else {
					e.poison.arrivals = append(e.poison.arrivals, a)
				}
			}
			for _, r := range b.server.Runs() {
				e.runs[r.ID] = append(e.runs[r.ID], r)
			}
		}
	}
	for id := range e.runs {
		slices.SortFunc(e.runs[id], func(a, b standin.Run) int { return a.Began.Compare(b.Began) })
	}
	for _, i := range t.instances {
		e.exits = append(e.exits, i.exits...)
	}
	return e
}
