package soak

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// apply executes one action and returns when it has ended.
func (t *testbed) apply(a Action) error {
	i := t.instances[a.Target%len(t.instances)]
	m := t.machines[a.Target%len(t.machines)]
	switch a.Fault {
	case Kill, KillAll, Freeze, Stop, RollingRestart, Reload:
		return t.disturbInstances(a, i)
	case StorePartition, StoreUnavailable, StoreSlow, StoreResponseLoss, StoreHistoryLoss, StoreRestore, StoreSilent:
		t.disturbStore(a, i)
	case ConfigurationChange:
		t.operator.change(a.Variant)
	case ConfigurationStorm:
		for n := range stormLength {
			t.operator.change(a.Variant + n)
			time.Sleep(stormPause)
		}
	case ServerLimit:
		t.limitServers(a)
	case ServersLeave:
		return t.leave(a, i)
	case Evacuation:
		t.evacuate(a, i)
	case PoisonPart:
		t.poison.play(a)
	case DeadlyRequest:
		t.deadly.play(a)
	default:
		return t.disturbServers(a, m)
	}
	return nil
}

// limitServers has one server or several announce request limits at the same time.
func (t *testbed) limitServers(a Action) {
	var group sync.WaitGroup
	count := 1 + a.Variant/len(limitPatterns)%len(t.machines)
	for n := range count {
		if b := t.machines[(a.Target+n)%len(t.machines)].currentServer(); b != nil {
			group.Go(func() { announceLimits(b, a.Variant+n, limitLength+a.Duration) })
		}
	}
	group.Wait()
}

const (
	stormLength = 10
	stormPause  = 80 * time.Millisecond
	// rollPause is the pause between the steps of a rolling restart. In each step the part 1/rollDivisor of the instances restarts, but at
	// least one.
	rollPause   = 1100 * time.Millisecond
	rollDivisor = 4
)

func (t *testbed) disturbInstances(a Action, i *instance) error {
	switch a.Fault {
	case Kill:
		return t.kill(i, a.Duration)
	case KillAll:
		t.forEach(t.instances, func(i *instance) error { return t.kill(i, a.Duration) })
	case Freeze:
		return t.freeze(i, a.Duration)
	case Stop:
		return t.restart(i)
	case RollingRestart:
		for step := range slices.Chunk(t.instances, max(1, len(t.instances)/rollDivisor)) {
			t.forEach(step, t.restart)
			time.Sleep(rollPause)
		}
	case Reload:
		defer t.faults.begin(i.name, true)()
		_, err := i.signal(syscall.SIGHUP, false)
		return err
	}
	return nil
}

func (t *testbed) kill(i *instance, pause time.Duration) error {
	defer t.faults.begin(i.name, false)()
	err := i.kill()
	time.Sleep(pause)
	return errors.Join(err, i.start())
}

func (t *testbed) freeze(i *instance, pause time.Duration) error {
	defer t.faults.begin(i.name, false)()
	_, err := i.signal(syscall.SIGSTOP, false)
	time.Sleep(pause)
	_, wakeErr := i.signal(syscall.SIGCONT, false)
	return errors.Join(err, wakeErr)
}

func (t *testbed) restart(i *instance) error {
	defer t.faults.begin(i.name, true)()
	began := time.Now()
	inTime, err := i.stop(t.options.Bounds.Grace)
	disturbed := t.faults.overlaps(began, time.Now(), func(v interval) bool { return v.scope == i.name && !v.planned })
	if !inTime && !disturbed {
		t.mu.Lock()
		t.lateStops = append(t.lateStops, i.name)
		t.mu.Unlock()
	}
	return errors.Join(err, i.start())
}

func (t *testbed) disturbStore(a Action, i *instance) {
	if a.Fault == StorePartition {
		defer t.faults.begin(i.name, false)()
		if a.Variant%2 == 0 {
			i.store.Reset()
		}
		i.store.Set(partition(a.Variant))
		time.Sleep(a.Duration)
		i.store.Set(Impairment{})
		return
	}
	defer t.faults.begin(storeScope, false)()
	switch a.Fault {
	case StoreUnavailable:
		t.store.Refuse(http.StatusServiceUnavailable)
		time.Sleep(a.Duration)
		t.store.Refuse(0)
	case StoreSlow:
		for _, i := range t.instances {
			i.store.Set(Impairment{Delay: slowPath})
		}
		time.Sleep(a.Duration)
		for _, i := range t.instances {
			i.store.Set(Impairment{})
		}
	case StoreResponseLoss:
		t.store.DropResponses(responseLossShare, rand.Float64)
		time.Sleep(a.Duration)
		t.store.DropResponses(0, nil)
	case StoreHistoryLoss:
		t.store.CompactHistory()
	case StoreSilent:
		t.operator.change(a.Variant) // the instances watch again soon after it, and lose their watches
		time.Sleep(silenceDelay)
		t.store.SetSilent(true)
		time.Sleep(a.Duration)
		t.store.SetSilent(false)
		t.operator.change(a.Variant + 1)
	case StoreRestore:
		copied := t.store.Snapshot()
		time.Sleep(a.Duration)
		t.store.Restore(copied)
		t.operator.rewrite()
		t.evacuator.rewrite()
		for _, m := range t.machines {
			m.rewrite()
		}
	}
}

// silenceDelay is the time from a change to the silence of the store: the watches are answered, and the next ones not yet made.
const silenceDelay = 100 * time.Millisecond

// responseLossShare is the share of the store's responses that are lost.
const responseLossShare = 0.5

func (t *testbed) disturbServers(a Action, m *machine) error {
	defer t.faults.begin(serversScope, a.Fault == ServerReplacement)()
	switch a.Fault {
	case ServerCrash:
		return m.crash(a.Duration)
	case ServerReplacement:
		return m.release(t.options.Bounds.Drain, a.Duration, departure{})
	}
	b := m.currentServer()
	if b == nil {
		return nil
	}
	switch a.Fault {
	case ServerMisbehavior:
		injectFault(b, a.Variant, a.Duration)
	case ServerPathReset:
		b.path.Reset()
	case ServerPathPartition, ServerPathSlow:
		d := partition(a.Variant)
		if a.Fault == ServerPathSlow {
			d = Impairment{Delay: slowPath}
		}
		b.path.Set(d)
		time.Sleep(a.Duration)
		b.path.Set(Impairment{})
	}
	return nil
}
