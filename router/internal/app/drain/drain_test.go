package drain_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/router/internal/app/drain"
)

// instance stands for everything that a planned stop touches. Its methods run inside a synctest bubble.
type instance struct {
	began     time.Time
	announced atomic.Int64
	open      atomic.Int64
	ended     atomic.Int64
	closed    atomic.Bool
	shutdown  chan struct{}
	idle      chan struct{}
	leaves    atomic.Int64
	leaveErr  error
	leftAfter atomic.Int64
}

func newInstance() *instance {
	return &instance{began: time.Now(), shutdown: make(chan struct{}), idle: make(chan struct{})}
}

func (i *instance) AnnounceDraining() { i.announced.Add(1) }
func (i *instance) Open() int         { return int(i.open.Load()) }
func (i *instance) EndAll()           { i.ended.Add(i.open.Swap(0)) }

func (i *instance) Close() error {
	i.closed.Store(true)
	return nil
}

func (i *instance) Shutdown(ctx context.Context) error {
	close(i.shutdown)
	select {
	case <-i.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (i *instance) Leave(context.Context) error {
	i.leaves.Add(1)
	i.leftAfter.Store(int64(time.Since(i.began)))
	return i.leaveErr
}

func (i *instance) accepts() bool {
	select {
	case <-i.shutdown:
		return false
	default:
		return true
	}
}

func machine(i *instance, log *event.Log) *drain.Controller {
	return drain.New(drain.Options{
		NoticePeriod: 2 * time.Second, FinishTimeout: 15 * time.Minute,
		Announcer: i, Server: i, Requests: i, Roster: i, Events: log,
	})
}

func newLog() *event.Log { return event.NewLog("r1", "1", 64, time.Now) }

// Guards against a stop that closes the listener before the balancer has noticed, or leaves the roster while requests
// still use the share (G11).
func TestDrainFinishesOpenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		i, log := newInstance(), newLog()
		i.open.Store(3)
		m := machine(i, log)
		m.Start()
		m.Start() // a second order changes nothing
		g.Expect(m.Phase()).To(Equal(drain.PhaseNotice))
		g.Expect(i.announced.Load()).To(BeEquivalentTo(1))

		time.Sleep(2*time.Second - time.Millisecond)
		synctest.Wait()
		g.Expect(i.accepts()).To(BeTrue(), "the listener closed before the notice had passed")
		time.Sleep(time.Millisecond)
		synctest.Wait()
		g.Expect(i.accepts()).To(BeFalse())
		g.Expect(m.Phase()).To(Equal(drain.PhaseFinishing))

		time.Sleep(10 * time.Minute)
		close(i.idle)
		synctest.Wait()
		g.Expect(i.leaves.Load()).To(BeZero(), "left the roster under open requests")
		i.open.Store(0)
		<-m.Done()
		g.Expect(i.ended.Load()).To(BeZero())
		g.Expect(i.closed.Load()).To(BeFalse())
		g.Expect(i.leaves.Load()).To(BeEquivalentTo(1))
		g.Expect(m.Phase()).To(Equal(drain.PhaseDone))
		g.Expect(phases(log)).To(Equal([]string{"notice", "finishing", "leaving", "done"}))
	})
}

// Guards against a connection that is still being read when the open requests are counted: it has no request yet.
func TestDrainWaitsForConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		i := newInstance()
		m := machine(i, newLog())
		m.Start()
		time.Sleep(time.Minute)
		synctest.Wait()
		g.Expect(m.Phase()).To(Equal(drain.PhaseFinishing))
		close(i.idle)
		<-m.Done()
		g.Expect(time.Duration(i.leftAfter.Load())).To(BeNumerically(">=", time.Minute))
	})
}

// Guards against a request that never ends and keeps the instance from stopping.
func TestDrainTimeoutEndsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		i := newInstance()
		i.open.Store(2)
		m := machine(i, newLog())
		m.Start()
		<-m.Done()
		g.Expect(i.ended.Load()).To(BeEquivalentTo(2))
		g.Expect(i.closed.Load()).To(BeTrue(), "silent connections are closed after the grace period")
		g.Expect(time.Since(i.began)).To(Equal(2*time.Second + 15*time.Minute + 5*time.Second))
	})
}

// Guards against a platform outage that keeps the instance from stopping.
func TestDrainGivesUpLeavingTheRoster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		i, log := newInstance(), newLog()
		i.leaveErr = errors.New("platform down")
		close(i.idle)
		m := machine(i, log)
		m.Start()
		<-m.Done()
		g.Expect(i.leaves.Load()).To(BeNumerically(">=", 10))
		events := log.Since(0).Events
		g.Expect(events[len(events)-1].Detail).To(ContainSubstring("platform down"))
	})
}

// Guards against callers that keep idle connections through the notice and write to them as they are closed.
func TestDrainAsksCallersForNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		i := newInstance()
		close(i.idle)
		m := machine(i, newLog())
		handler := m.DisableKeepAlives(http.NotFoundHandler())
		header := func() string {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
			return w.Header().Get("Connection")
		}
		g.Expect(header()).To(BeEmpty())
		m.Start()
		g.Expect(header()).To(Equal("close"))
		<-m.Done()
	})
}

func phases(log *event.Log) (list []string) {
	for _, e := range log.Since(0).Events {
		phase, _, _ := strings.Cut(strings.TrimPrefix(e.Detail, "drain: "), ",")
		list = append(list, phase)
	}
	return list
}

// server joins a real HTTP server with the instance's other parts.
type server struct {
	*instance
	*http.Server
}

func (s server) Shutdown(ctx context.Context) error { return s.Server.Shutdown(ctx) }
func (s server) Close() error                       { return s.Server.Close() }

// Guards against a stop that cuts an answer which is being streamed, with a real listener.
func TestDrainUnderOpenRequestsOverHTTP(t *testing.T) {
	g := NewWithT(t)
	i, release := newInstance(), make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		i.open.Add(1)
		defer i.open.Add(-1)
		_, _ = io.WriteString(w, "first ")
		_ = http.NewResponseController(w).Flush()
		<-release
		_, _ = io.WriteString(w, "last")
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	web := server{instance: i, Server: &http.Server{Handler: handler}}
	go func() { _ = web.Serve(listener) }()
	url := "http://" + listener.Addr().String()

	resp, err := http.Get(url)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	m := drain.New(drain.Options{FinishTimeout: time.Hour, Announcer: i, Server: web, Requests: i, Roster: i, Events: newLog()})
	m.Start()
	g.Eventually(func() error {
		connection, err := net.Dial("tcp", listener.Addr().String())
		if err == nil {
			_ = connection.Close()
		}
		return err
	}).WithTimeout(20 * time.Second).Should(HaveOccurred())
	g.Expect(m.Phase()).To(Equal(drain.PhaseFinishing))
	close(release)
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("first last"))
	g.Eventually(m.Done()).WithTimeout(20 * time.Second).Should(BeClosed())
	g.Expect(i.ended.Load()).To(BeZero())
	g.Expect(i.leaves.Load()).To(BeEquivalentTo(1))
}
