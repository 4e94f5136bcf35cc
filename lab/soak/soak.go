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
	"strings"
	"sync"
	"syscall"
	"time"

	"tanagerwood.dev/platform/standin"
)

// Options configure a run.
type Options struct {
	Plan   Plan
	Bounds Bounds
	// Binary is the router's program.
	Binary string
	// Dir takes the processes' logs.
	Dir string
	// Instances and Callers are their numbers.
	Instances, Callers int
}

// Result is the outcome of a run.
type Result struct {
	Seed uint64 `json:"seed"`
	// Stalls is the number of times in which the machine did not run the soak for 250 ms or more. Promises with a time are
	// not judged around them.
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

// String tells the violation in one line.
func (v Violation) String() string {
	return strings.TrimSpace(v.Guarantee+": "+v.Request) + ": " + v.Text
}

// world is the system under test with all that surrounds it.
type world struct {
	options   Options
	store     *standin.Store
	operator  *operator
	machines  []*machine
	instances []*instance
	balancer  *balancer
	load      *load
	faults    timeline
	stopStore func()

	mu sync.Mutex
	// lateStops are planned stops of undisturbed instances that took longer than the grace.
	lateStops []string
	errs      []error
}

// domains are the failure domains of a run.
var domains = []string{"north", "south"}

// Run plays the plan and checks the promises. An error means that the run itself failed and says nothing about them.
func Run(ctx context.Context, o Options) (*Result, error) {
	w, err := newWorld(o)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.start(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	go w.balancer.run(loadCtx)
	go w.faults.watchMachine(ctx)
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		w.load.run(loadCtx, o.Callers)
	}()
	w.play(ctx)
	unrecovered := w.awaitRecovery(ctx)
	stopLoad()
	<-loadDone
	left := w.awaitIdle(ctx)
	w.stopAll()
	if err := errors.Join(append(w.errs, ctx.Err())...); err != nil {
		return nil, err
	}
	e := w.evidence()
	e.unrecovered, e.atWork = unrecovered, left
	return &Result{Seed: o.Plan.Seed, Stalls: w.faults.stalls(), Requests: e.count(), Violations: e.check()}, nil
}

func newWorld(o Options) (*world, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, err
	}
	w := &world{options: o, store: standin.NewStore()}
	server := httptest.NewServer(w.store)
	w.stopStore = func() {
		server.CloseClientConnections()
		server.Config.Close() //nolint:errcheck // nothing is left to be done with it
	}
	w.operator = &operator{store: w.store}
	w.operator.change(0)
	w.addMachines()
	if err := w.addInstances(strings.TrimPrefix(server.URL, "http://")); err != nil {
		w.close()
		return nil, err
	}
	w.balancer = newBalancer(w.instances)
	w.load = &load{seed: o.Plan.Seed, operator: w.operator, balancer: w.balancer}
	return w, nil
}

// addMachines lays out the servers, in turn in the failure domains.
func (w *world) addMachines() {
	for _, group := range []struct {
		service, stage string
		count          int
	}{{counterService, "", 3}, {otherService, "", 2}, {modelService, "prefill", 4}, {modelService, "decode", 3}} {
		name := group.service
		if group.stage != "" {
			name = group.stage
		}
		for n := range group.count {
			w.machines = append(w.machines, &machine{
				name: fmt.Sprint(name, n+1), service: group.service, stage: group.stage, domain: domains[n%len(domains)], store: w.store,
			})
		}
	}
}

func (w *world) addInstances(store string) error {
	for n := range w.options.Instances {
		path, err := NewProxy(store)
		if err != nil {
			return err
		}
		i := &instance{
			name: fmt.Sprint("router-", n+1), domain: domains[n%len(domains)], binary: w.options.Binary, dir: w.options.Dir, store: path,
		}
		for _, address := range []*string{&i.callers, &i.ready, &i.peer} {
			if *address, err = freeAddress(); err != nil {
				return err
			}
		}
		w.instances = append(w.instances, i)
	}
	return nil
}

// startTimeout bounds the start of all processes.
const startTimeout = 20 * time.Second

func (w *world) start(ctx context.Context) error {
	for _, m := range w.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, i := range w.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, i := range w.instances {
		for !standin.Ready(ctx, i.ready) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready within %v; see %s", i.name, startTimeout, filepath.Join(w.options.Dir, i.name+".log"))
			}
			sleep(ctx, poll)
		}
	}
	return nil
}

// poll is how often a condition is checked.
const poll = 20 * time.Millisecond

// play does all actions at their times and returns when the last one has ended.
func (w *world) play(ctx context.Context) {
	began := time.Now()
	var group sync.WaitGroup
	for _, a := range w.options.Plan.Actions {
		sleep(ctx, a.At-time.Since(began))
		if ctx.Err() != nil {
			break
		}
		group.Go(func() { w.note(w.do(a)) })
	}
	sleep(ctx, w.options.Plan.Length-time.Since(began))
	group.Wait()
}

func (w *world) note(err error) {
	if err == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.errs = append(w.errs, err)
}

// do does one action and returns when it has ended.
func (w *world) do(a Action) error {
	i := w.instances[a.Target%len(w.instances)]
	m := w.machines[a.Target%len(w.machines)]
	switch a.Fault {
	case Kill, KillAll, Freeze, Stop, RollingRestart, Reload:
		return w.disturbInstances(a, i)
	case StorePartition, StoreUnavailable, StoreSlow, StoreResponseLoss, StoreHistoryLoss, StoreRestore:
		w.disturbStore(a, i)
	case ConfigurationChange:
		w.operator.change(a.Variant)
	case ConfigurationStorm:
		for n := range stormLength {
			w.operator.change(a.Variant + n)
			time.Sleep(stormPause)
		}
	default:
		return w.disturbServers(a, m)
	}
	return nil
}

const (
	stormLength = 10
	stormPause  = 80 * time.Millisecond
	// rollPause is the time between the stops of a rolling restart.
	rollPause = 1100 * time.Millisecond
)

func (w *world) disturbInstances(a Action, i *instance) error {
	switch a.Fault {
	case Kill:
		return w.kill(i, a.Duration)
	case KillAll:
		var group sync.WaitGroup
		for _, i := range w.instances {
			group.Go(func() { w.note(w.kill(i, a.Duration)) })
		}
		group.Wait()
	case Freeze:
		return w.freeze(i, a.Duration)
	case Stop:
		return w.restart(i)
	case RollingRestart:
		for _, i := range w.instances {
			if err := w.restart(i); err != nil {
				return err
			}
			time.Sleep(rollPause)
		}
	case Reload:
		defer w.faults.begin(i.name, true)()
		_, err := i.signal(syscall.SIGHUP, false)
		return err
	}
	return nil
}

func (w *world) kill(i *instance, pause time.Duration) error {
	defer w.faults.begin(i.name, false)()
	err := i.kill()
	time.Sleep(pause)
	return errors.Join(err, i.start())
}

func (w *world) freeze(i *instance, pause time.Duration) error {
	defer w.faults.begin(i.name, false)()
	_, err := i.signal(syscall.SIGSTOP, false)
	time.Sleep(pause)
	_, wakeErr := i.signal(syscall.SIGCONT, false)
	return errors.Join(err, wakeErr)
}

func (w *world) restart(i *instance) error {
	defer w.faults.begin(i.name, true)()
	began := time.Now()
	inTime, err := i.stop(w.options.Bounds.Grace)
	disturbed := w.faults.any(began, time.Now(), func(v interval) bool { return v.scope == i.name && !v.planned })
	if !inTime && !disturbed {
		w.mu.Lock()
		w.lateStops = append(w.lateStops, i.name)
		w.mu.Unlock()
	}
	return errors.Join(err, i.start())
}

func (w *world) disturbStore(a Action, i *instance) {
	if a.Fault == StorePartition {
		defer w.faults.begin(i.name, false)()
		if a.Variant%2 == 0 {
			i.store.Reset()
		}
		i.store.Set(hold(a.Variant))
		time.Sleep(a.Duration)
		i.store.Set(Impairment{})
		return
	}
	defer w.faults.begin(storeScope, false)()
	switch a.Fault {
	case StoreUnavailable:
		w.store.Refuse(http.StatusServiceUnavailable)
		time.Sleep(a.Duration)
		w.store.Refuse(0)
	case StoreSlow:
		for _, i := range w.instances {
			i.store.Set(Impairment{Delay: slowPath})
		}
		time.Sleep(a.Duration)
		for _, i := range w.instances {
			i.store.Set(Impairment{})
		}
	case StoreResponseLoss:
		w.store.DropResponses(lostShare, rand.Float64)
		time.Sleep(a.Duration)
		w.store.DropResponses(0, nil)
	case StoreHistoryLoss:
		w.store.CompactHistory()
	case StoreRestore:
		copied := w.store.Snapshot()
		time.Sleep(a.Duration)
		w.store.Restore(copied)
		w.operator.rewrite()
		for _, m := range w.machines {
			m.rewrite()
		}
	}
}

// lostShare is the share of the store's answers that are lost.
const lostShare = 0.5

func (w *world) disturbServers(a Action, m *machine) error {
	defer w.faults.begin(serversScope, a.Fault == ServerReplacement)()
	switch a.Fault {
	case ServerCrash:
		return m.crash(a.Duration)
	case ServerReplacement:
		return m.release(w.options.Bounds.Drain, a.Duration)
	}
	b := m.now()
	if b == nil {
		return nil
	}
	switch a.Fault {
	case ServerMisbehavior:
		disturb(b, a.Variant, a.Duration)
	case ServerPathReset:
		b.path.Reset()
	case ServerPathPartition, ServerPathSlow:
		d := hold(a.Variant)
		if a.Fault == ServerPathSlow {
			d = Impairment{Delay: slowPath}
		}
		b.path.Set(d)
		time.Sleep(a.Duration)
		b.path.Set(Impairment{})
	}
	return nil
}

// awaitRecovery waits until every instance serves each kind of request, and returns those that do not within the bound.
func (w *world) awaitRecovery(ctx context.Context) (failing []string) {
	ctx, cancel := context.WithTimeout(ctx, w.options.Bounds.Recovery)
	defer cancel()
	random := rand.New(rand.NewPCG(w.options.Plan.Seed, 0))
	for _, i := range w.instances {
		for _, k := range []kind{look, book, brief, digest, newest} {
			if !w.serves(ctx, i, k, random) {
				failing = append(failing, fmt.Sprint(i.name, " ", k))
			}
		}
	}
	return failing
}

func (w *world) serves(ctx context.Context, i *instance, k kind, random *rand.Rand) bool {
	caller := standin.NewCaller()
	defer caller.Close()
	for ctx.Err() == nil {
		if a := w.load.send(caller, i, k, random).answer; a.Err == nil && a.Status == http.StatusOK {
			return true
		}
		sleep(ctx, poll)
	}
	return false
}

// awaitIdle waits until no server works or keeps anything and returns those that still do after the leases' time.
func (w *world) awaitIdle(ctx context.Context) (busy []string) {
	deadline := time.Now().Add(lease + w.options.Bounds.CancelDelay + time.Second)
	for _, m := range w.machines {
		for _, b := range m.boots {
			for b.gone.IsZero() && b.server.Running()+b.server.OpenLeases() > 0 {
				if ctx.Err() != nil || time.Now().After(deadline) {
					busy = append(busy, b.server.ID)
					break
				}
				sleep(ctx, poll)
			}
		}
	}
	return busy
}

func (w *world) stopAll() {
	var group sync.WaitGroup
	for _, i := range w.instances {
		group.Go(func() {
			_, err := i.stop(w.options.Bounds.Grace)
			w.note(err)
		})
	}
	group.Wait()
}

// close ends all processes and listeners.
func (w *world) close() {
	for _, i := range w.instances {
		w.note(i.kill())
		w.note(i.store.Close())
	}
	for _, m := range w.machines {
		if b := m.take(); b != nil {
			w.note(m.end(b))
		}
	}
	w.stopStore()
}

// evidence collects what callers and servers saw.
func (w *world) evidence() *evidence {
	e := &evidence{
		bounds: w.options.Bounds, sent: w.load.sent, faults: &w.faults, versions: w.operator.all(), lateStops: w.lateStops,
		runs: map[string][]standin.Run{}, servers: map[string]*serverBoot{},
	}
	for _, m := range w.machines {
		for _, b := range m.boots {
			e.servers[b.server.ID] = b
			for _, r := range b.server.Runs() {
				e.runs[r.ID] = append(e.runs[r.ID], r)
			}
		}
	}
	for id := range e.runs {
		slices.SortFunc(e.runs[id], func(a, b standin.Run) int { return a.Began.Compare(b.Began) })
	}
	for _, i := range w.instances {
		e.ends = append(e.ends, i.ends...)
	}
	return e
}
