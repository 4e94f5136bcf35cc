package servicepath_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/api/platform"
	standplatform "tanagerwood.dev/lab/standin/platform"
	"tanagerwood.dev/lab/standin/service"
	"tanagerwood.dev/router/internal/adapter/platformhttp"
	"tanagerwood.dev/router/internal/adapter/servicehttp"
	"tanagerwood.dev/router/internal/app/servicepath"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

func TestServicePath(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "service path")
}

const key = "sk-test"

// world is everything outside the instances under test: clock, platform, configuration, endpoints and peers.
type world struct {
	port.Platform
	server    *standplatform.Server
	mu        sync.Mutex
	boot      time.Duration
	requests  int
	afterMake func()
	snapshot  *config.Snapshot
	watchers  []func(*config.Snapshot)
	endpoints []port.Endpoint
	alive     []peer.Member
	instances map[string]*instance
	admitErr  error
	admitWait chan struct{}
	charged   int64
}

type instance struct {
	*world
	self peer.Member
	path *servicepath.Forwarder
	// killed instances no longer reach the platform.
	killed atomic.Bool
}

var errKilled = fault.Wrap(errors.New("killed"), fault.PlatformDown, openai.NotRun, "killed")

func (i *instance) Create(ctx context.Context, k platform.Kind, name string, v json.RawMessage) (uint64, error) {
	version, err := i.world.Create(ctx, k, name, v)
	if i.afterMake != nil {
		i.afterMake()
	}
	return version, err
}

func (i *instance) Replace(ctx context.Context, k platform.Kind, name string, version uint64, v json.RawMessage) (uint64, error) {
	if i.killed.Load() {
		return 0, errKilled
	}
	return i.world.Replace(ctx, k, name, version, v)
}

func (i *instance) Delete(ctx context.Context, k platform.Kind, name string, version uint64) error {
	if i.killed.Load() {
		return errKilled
	}
	return i.world.Delete(ctx, k, name, version)
}

func newWorld() *world {
	w := &world{server: standplatform.New(standplatform.Options{}), instances: map[string]*instance{},
		snapshot: config.New(1, catalogueWith(key))}
	web := httptest.NewServer(w.server)
	DeferCleanup(web.Close)
	w.Platform = platformhttp.New(platformhttp.Options{BaseURL: web.URL})
	return w
}

// setDown begins or ends a platform outage.
func (w *world) setDown(down bool) { w.server.SetFaults(standplatform.Faults{Outage: &down}) }

// loseReplies makes the replies of the next writes get lost.
func (w *world) loseReplies(n int) { w.server.SetFaults(standplatform.Faults{LoseReplies: &n}) }

func (w *world) claims() int {
	list, err := w.List(context.Background(), platform.KindClaim)
	Expect(err).NotTo(HaveOccurred())
	return len(list.Objects)
}

func catalogueWith(keys ...string) catalogue.Catalogue {
	c := catalogue.Customer{Name: "asahan"}
	for _, k := range keys {
		d := config.DigestKey(k)
		c.Keys = append(c.Keys, catalogue.Key{Name: k, SHA256: hexOf(d)})
	}
	return catalogue.Catalogue{Customers: []catalogue.Customer{c}}
}

func (w *world) instance(name string) *instance {
	i := &instance{world: w, self: peer.Member{MemberID: peer.MemberID{Name: name, Incarnation: 1}, Address: name}}
	client := servicehttp.New(nil)
	DeferCleanup(client.Close)
	i.path = servicepath.New(servicepath.Deps{Clock: w, Config: w, Platform: i, Peers: peers{world: w}, Membership: i,
		Admission: w, ServiceClient: client, Events: i})
	w.alive = append(w.alive, i.self)
	w.instances[name] = i
	return i
}

// service starts a stand-in and lists it as an endpoint of the pool.
func (w *world) service(name string) (*service.Service, *httptest.Server) {
	s := service.New(service.Options{Name: name})
	web := httptest.NewServer(s.Handler())
	DeferCleanup(func() {
		s.Close()
		web.CloseClientConnections()
		web.Close()
	})
	w.endpoints = append(w.endpoints, port.Endpoint{Name: name, Pool: "kaunter", URL: web.URL})
	return s, web
}

func (w *world) lock() func() { w.mu.Lock(); return w.mu.Unlock }

func (w *world) advance(d time.Duration) { defer w.lock()(); w.boot += d }

// Clock.
func (w *world) Now() time.Time      { return time.UnixMilli(1e12).Add(w.Boot()) }
func (w *world) Boot() time.Duration { defer w.lock()(); return w.boot }

// Config.
func (w *world) Current() *config.Snapshot          { defer w.lock()(); return w.snapshot }
func (w *world) Subscribe(f func(*config.Snapshot)) { w.watchers = append(w.watchers, f) }
func (w *world) Endpoints() []port.Endpoint         { defer w.lock()(); return w.endpoints }
func (w *world) Routers() (list []platform.Instance, read bool) {
	for name := range w.instances {
		list = append(list, platform.Instance{Name: name})
	}
	return list, true
}

func (w *world) setEndpoints(list []port.Endpoint) { defer w.lock()(); w.endpoints = list }

func (w *world) apply(s *config.Snapshot) {
	unlock := w.lock()
	w.snapshot = s
	unlock()
	for _, f := range w.watchers {
		f(s)
	}
}

// Membership.
func (i *instance) Self() peer.Member                    { return i.self }
func (w *world) Alive() []peer.Member                    { defer w.lock()(); return append([]peer.Member{}, w.alive...) }
func (w *world) IsAlive(peer.MemberID) bool              { return true }
func (i *instance) Owner(string) (m peer.Member, _ bool) { return i.self, true }
func (w *world) Confirmed() bool                         { return true }

// Admission and events.
func (w *world) Admit(ctx context.Context, _ *config.Customer, tokens int64, _ time.Duration) (port.Charge, error) {
	if w.admitWait != nil {
		w.admitWait <- struct{}{}
		<-ctx.Done()
		return nil, fault.Wrap(ctx.Err(), fault.CallerGone, openai.NotRun, "gone")
	}
	defer w.lock()()
	if w.admitErr == nil {
		w.charged += tokens
	}
	return &charge{w, tokens}, w.admitErr
}

type charge struct {
	w      *world
	tokens int64
}

func (c *charge) Settle(used int64)    { defer c.w.lock()(); c.w.charged += used - c.tokens }
func (c *charge) Cancel()              { c.Settle(0) }
func (i *instance) Record(event.Event) {}

// peers carries claim questions; a peer that is not in the world does not answer.
type peers struct {
	port.Peers
	*world
}

func (p peers) Claims(_ context.Context, address string, m peer.ClaimsRequest) (peer.ClaimsReply, error) {
	if i, ok := p.instances[address]; ok {
		return i.path.HandleClaims(m), nil
	}
	return peer.ClaimsReply{}, errors.New("no route")
}

// book makes a booking call under the idempotency key.
func (i *instance) book(ctx context.Context, idempotencyKey, booking string) (port.ServiceResponse, error) {
	_, resp, err := i.request(ctx, idempotencyKey, booking)
	return resp, err
}

// request is book that also returns the request id.
func (i *instance) request(ctx context.Context, idempotencyKey, booking string) (string, port.ServiceResponse, error) {
	return i.send(ctx, false, http.MethodPost, "/slots?api_key=x&day=2", idempotencyKey, `{"booking":"`+booking+`"}`)
}

func (i *instance) call(ctx context.Context, repeatable bool, method, path, idempotencyKey, body string) (port.ServiceResponse, error) {
	_, resp, err := i.send(ctx, repeatable, method, path, idempotencyKey, body)
	return resp, err
}

func (i *instance) send(ctx context.Context, repeatable bool, method, path, idempotencyKey, body string) (string, port.ServiceResponse, error) {
	customer, _ := i.Current().Customer("asahan")
	unlock := i.lock()
	i.requests++
	id := i.self.Name + ".1." + strconv.Itoa(i.requests)
	unlock()
	resp, err := i.path.Handle(ctx, servicepath.Call{
		Route:    &catalogue.Route{Name: "slots", Pool: "kaunter", Repeatable: repeatable, TimeoutMS: 4000, CostTokens: 5},
		Customer: customer, KeyDigest: config.DigestKey(key), Method: method, Path: path, Body: []byte(body),
		Header:         http.Header{"Authorization": {"Bearer " + key}, "Cookie": {"c"}, "X-Api-Key": {key}, "Accept": {"a/b"}},
		IdempotencyKey: idempotencyKey, RequestID: id,
	})
	return id, resp, err
}

// runsOf counts the runs that the attempts of one request caused at the services.
func runsOf(request string, services ...*service.Service) (runs int) {
	for _, s := range services {
		for _, run := range s.Runs().Runs {
			for attempt, n := range run.Attempts {
				if strings.HasPrefix(attempt, request+".") {
					runs += n
				}
			}
		}
	}
	return runs
}
