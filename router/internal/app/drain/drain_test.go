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

// fakeInstance implements all dependencies of a controller. Its methods run inside a synctest bubble.
type fakeInstance struct {
	startedAt      time.Time
	announcements  atomic.Int64
	openRequests   atomic.Int64
	endedRequests  atomic.Int64
	waitsEndedAt   atomic.Int64
	closed         atomic.Bool
	shutdown       chan struct{}
	idle           chan struct{}
	leaveCalls     atomic.Int64
	leaveErr       error
	lastLeaveAfter atomic.Int64
}

func newFakeInstance() *fakeInstance {
	return &fakeInstance{startedAt: time.Now(), shutdown: make(chan struct{}), idle: make(chan struct{})}
}

func (i *fakeInstance) AnnounceDraining() { i.announcements.Add(1) }
func (i *fakeInstance) Open() int         { return int(i.openRequests.Load()) }
func (i *fakeInstance) EndAll()           { i.endedRequests.Add(i.openRequests.Swap(0)) }

func (i *fakeInstance) EndWaits() { i.waitsEndedAt.Store(int64(time.Since(i.startedAt))) }

func (i *fakeInstance) Close() error {
	i.closed.Store(true)
	return nil
}

func (i *fakeInstance) Shutdown(ctx context.Context) error {
	close(i.shutdown)
	select {
	case <-i.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (i *fakeInstance) Leave(context.Context) error {
	i.leaveCalls.Add(1)
	i.lastLeaveAfter.Store(int64(time.Since(i.startedAt)))
	return i.leaveErr
}

func (i *fakeInstance) isAccepting() bool {
	select {
	case <-i.shutdown:
		return false
	default:
		return true
	}
}

func newController(i *fakeInstance, log *event.Log) *drain.Controller {
	return drain.New(drain.Options{
		NoticePeriod: 2 * time.Second, FinishTimeout: 15 * time.Minute,
		Announcer: i, Server: i, Requests: i, Roster: i, Events: log,
	})
}

func newLog() *event.Log { return event.NewLog("r1", "1", 64, time.Now) }

// Guards against a stop that closes the listener before the balancer has noticed, or leaves the roster while requests still use
// the share (G11).
func TestDrainFinishesOpenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		i, log := newFakeInstance(), newLog()
		i.openRequests.Store(3)
		m := newController(i, log)
		m.Start()
		m.Start() // a second call has no effect
		g.Expect(m.Phase()).To(Equal(drain.PhaseNotice))
		g.Expect(i.announcements.Load()).To(BeEquivalentTo(1))

		time.Sleep(2*time.Second - time.Millisecond)
		synctest.Wait()
		g.Expect(i.isAccepting()).To(BeTrue(), "the listener closed before the notice had passed")
		time.Sleep(time.Millisecond)
		synctest.Wait()
		g.Expect(i.isAccepting()).To(BeFalse())
		g.Expect(m.Phase()).To(Equal(drain.PhaseFinishing))

		time.Sleep(10 * time.Minute)
		close(i.idle)
		synctest.Wait()
		g.Expect(i.leaveCalls.Load()).To(BeZero(), "left the roster while requests were open")
		i.openRequests.Store(0)
		<-m.Done()
		g.Expect(i.endedRequests.Load()).To(BeZero())
		g.Expect(i.closed.Load()).To(BeFalse())
		g.Expect(i.leaveCalls.Load()).To(BeEquivalentTo(1))
		g.Expect(m.Phase()).To(Equal(drain.PhaseDone))
		g.Expect(phases(log)).To(Equal([]string{"notice", "finishing", "leaving", "done"}))
	})
}

// Guards against a stop that ignores a connection whose request is still being read and therefore not counted as open.
func TestDrainWaitsForConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		i := newFakeInstance()
		m := newController(i, newLog())
		m.Start()
		time.Sleep(time.Minute)
		synctest.Wait()
		g.Expect(m.Phase()).To(Equal(drain.PhaseFinishing))
		close(i.idle)
		<-m.Done()
		g.Expect(time.Duration(i.lastLeaveAfter.Load())).To(BeNumerically(">=", time.Minute))
	})
}

// Guards against a request that never ends and prevents the instance from stopping.
func TestDrainTimeoutEndsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		i := newFakeInstance()
		i.openRequests.Store(2)
		m := newController(i, newLog())
		m.Start()
		<-m.Done()
		g.Expect(i.endedRequests.Load()).To(BeEquivalentTo(2))
		g.Expect(time.Duration(i.waitsEndedAt.Load())).To(Equal(2*time.Second+15*time.Minute/2), "requests that wait must be refused while others can be answered")
		g.Expect(i.closed.Load()).To(BeTrue(), "open connections must be closed after the grace period")
		g.Expect(time.Since(i.startedAt)).To(Equal(2*time.Second + 15*time.Minute + 5*time.Second))
	})
}

// Guards against a platform outage that prevents the instance from stopping.
func TestDrainGivesUpLeavingTheRoster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		i, log := newFakeInstance(), newLog()
		i.leaveErr = errors.New("platform down")
		close(i.idle)
		m := newController(i, log)
		m.Start()
		<-m.Done()
		g.Expect(i.leaveCalls.Load()).To(BeNumerically(">=", 10))
		events := log.Since(0).Events
		g.Expect(events[len(events)-1].Detail).To(ContainSubstring("platform down"))
	})
}

// Guards against callers that keep idle connections through the notice period and write to them as they are closed.
func TestDrainAsksCallersForNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		i := newFakeInstance()
		close(i.idle)
		m := newController(i, newLog())
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

// httpServer combines a real HTTP server with the other dependencies of a fakeInstance.
type httpServer struct {
	*fakeInstance
	*http.Server
}

func (s httpServer) Shutdown(ctx context.Context) error { return s.Server.Shutdown(ctx) }
func (s httpServer) Close() error                       { return s.Server.Close() }

// Guards against a stop that interrupts a response which is being streamed, with a real listener.
func TestDrainUnderOpenRequestsOverHTTP(t *testing.T) {
	g := NewWithT(t)
	i, release := newFakeInstance(), make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		i.openRequests.Add(1)
		defer i.openRequests.Add(-1)
		_, _ = io.WriteString(w, "first ")
		_ = http.NewResponseController(w).Flush()
		<-release
		_, _ = io.WriteString(w, "last")
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	web := httpServer{fakeInstance: i, Server: &http.Server{Handler: handler}}
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
	g.Expect(i.endedRequests.Load()).To(BeZero())
	g.Expect(i.leaveCalls.Load()).To(BeEquivalentTo(1))
}
