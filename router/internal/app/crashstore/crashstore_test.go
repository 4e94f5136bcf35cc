package crashstore_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/crashstore"
	"tanagerwood.dev/router/internal/domain/quarantine"
)

// fakeStore holds one value.
type fakeStore struct {
	mu       sync.Mutex
	value    json.RawMessage
	revision uint64
	err      error
	calls    int
	era      uint64
}

// change runs a function while no call is made.
func (f *fakeStore) change(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

func (f *fakeStore) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func (f *fakeStore) ReadState(context.Context, string) (json.RawMessage, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	return f.value, f.revision, f.err
}

func (f *fakeStore) WriteState(_ context.Context, _ string, revision uint64, value any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.err != nil {
		return f.err
	}
	if revision != f.revision {
		return routing.ErrConflict
	}
	raw, err := json.Marshal(value)
	f.value = raw
	f.revision++
	return err
}

func (f *fakeStore) Era() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

// start runs a keeper until the test ends and returns its crash records.
func start(t *testing.T, store *fakeStore, leads bool) (*quarantine.Tracker, func() time.Duration) {
	began := time.Now()
	boot := func() time.Duration { return time.Since(began) + time.Hour }
	q := quarantine.New()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go crashstore.New(crashstore.Deps{
		Store: store, Quarantine: q, IsLeader: func() bool { return leads }, OnLoad: func() {}, Boot: boot, Now: time.Now,
		Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	}).Run(ctx)
	return q, boot
}

// crashThree records three crashes by the part, and an answer.
func crashThree(q *quarantine.Tracker, boot func() time.Duration, part string) {
	for n := range 3 {
		q.RecordCrash("m", fmt.Sprint("e", n, part), fmt.Sprint("r", n), []string{"sys", part}, boot())
		time.Sleep(time.Second)
		q.RecordAnswer("m", []string{"sys"}, true, boot(), boot())
	}
}

func isBlocked(q *quarantine.Tracker, boot func() time.Duration, part string) bool {
	_, blocked := q.Blocked("m", []string{"sys", part}, boot())
	return blocked
}

// Guards against what is learnt again, crash by crash, after all instances have started again, and against records that never age.
func TestRecordsOutliveAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		q, boot := start(t, store, true)
		time.Sleep(time.Second)
		crashThree(q, boot, "dead")
		time.Sleep(time.Second)
		again, bootAgain := start(t, store, true)
		time.Sleep(time.Second)
		if !isBlocked(again, bootAgain, "dead") {
			t.Error("not blocked after a restart")
		}
		time.Sleep(10 * time.Minute)
		if isBlocked(again, bootAgain, "dead") {
			t.Error("the age of the stored crashes is lost")
		}
	})
}

// Guards against calls without need, which the platform counts.
func TestCallsAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		q, boot := start(t, store, true)
		start(t, store, false)
		q.RecordCrash("m", "e", "r", []string{"sys", "doc"}, boot())
		time.Sleep(time.Minute)
		if calls := store.callCount(); calls != 1 {
			t.Errorf("%d calls without a quarantine, want one at the start of the leader", calls)
		}
		crashThree(q, boot, "dead")
		time.Sleep(time.Minute)
		if calls := store.callCount(); calls != 3 {
			t.Errorf("%d calls after a quarantine, want three", calls)
		}
	})
}

// Guards against a leader that ends before it has written, and whose successor takes what it has heard for stored.
func TestNextLeaderWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{err: errors.New("away")}
		first, boot := start(t, store, false)
		crashThree(first, boot, "dead")
		store.change(func() { store.err = nil })
		next, bootNext := start(t, store, true)
		next.MergePeer(first.All(boot()), bootNext())
		time.Sleep(time.Second)
		again, bootAgain := start(t, store, true)
		time.Sleep(time.Second)
		if !isBlocked(again, bootAgain, "dead") {
			t.Error("not stored")
		}
	})
}

// Guards against records that are lost because another instance has written, the store was away, was restored from a backup, or holds
// something else.
func TestRecordsAreKeptThroughFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{value: json.RawMessage(`"something else"`), revision: 7}
		q, boot := start(t, store, true)
		other, bootOther := start(t, store, true)
		time.Sleep(time.Second)
		store.change(func() { store.err = errors.New("away") })
		crashThree(q, boot, "dead")
		crashThree(other, bootOther, "mort")
		time.Sleep(10 * time.Second)
		store.change(func() { store.err = nil })
		time.Sleep(10 * time.Second)
		check := func(when string) {
			t.Helper()
			again, bootAgain := start(t, store, true)
			time.Sleep(time.Second)
			if !isBlocked(again, bootAgain, "dead") || !isBlocked(again, bootAgain, "mort") {
				store.change(func() { t.Errorf("%s: stored %s", when, store.value) })
			}
		}
		check("after an outage")
		store.change(func() { store.value, store.revision, store.era = nil, 0, 1 })
		time.Sleep(10 * time.Second)
		check("after a restore")
	})
}
