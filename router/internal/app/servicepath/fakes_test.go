package servicepath_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
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
	"tanagerwood.dev/lab/standin/service"
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
	mu        sync.Mutex
	boot      time.Duration
	objects   map[string]platform.Object
	version   uint64
	down      bool
	loseReply map[string]int // by call: create, replace
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
	path *servicepath.Path
	// killed instances no longer reach the platform.
	killed atomic.Bool
}

func (i *instance) Replace(ctx context.Context, k platform.Kind, name string, version uint64, v json.RawMessage) (uint64, error) {
	if i.killed.Load() {
		return 0, errDown
	}
	return i.world.Replace(ctx, k, name, version, v)
}

func (i *instance) Delete(ctx context.Context, k platform.Kind, name string, version uint64) error {
	if i.killed.Load() {
		return errDown
	}
	return i.world.Delete(ctx, k, name, version)
}

func newWorld() *world {
	return &world{objects: map[string]platform.Object{}, loseReply: map[string]int{}, instances: map[string]*instance{},
		snapshot: config.New(1, catalogueWith(key))}
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
		Admission: w, Service: client, Events: i})
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

// Platform.
var errDown = fault.Wrap(errors.New("503"), fault.PlatformDown, openai.NotRun, "down")

func (w *world) isDown() bool { defer w.lock()(); return w.down }

func (w *world) Get(_ context.Context, _ platform.Kind, name string) (platform.Object, error) {
	if w.isDown() {
		return platform.Object{}, errDown
	}
	defer w.lock()()
	o, ok := w.objects[name]
	if !ok {
		return o, fault.New(fault.NotFound, "no object")
	}
	return o, nil
}

func (w *world) write(call, name string, match uint64, value json.RawMessage) (uint64, error) {
	if w.isDown() {
		return 0, errDown
	}
	defer w.lock()()
	if w.objects[name].Version != match {
		return 0, fault.New(fault.Conflict, "version")
	}
	w.version++
	w.objects[name] = platform.Object{Name: name, Version: w.version, Value: value}
	if w.loseReply[call] > 0 {
		w.loseReply[call]--
		return 0, fault.Wrap(errors.New("EOF"), fault.PlatformDown, openai.Unknown, "reply lost")
	}
	return w.version, nil
}

func (w *world) Create(_ context.Context, _ platform.Kind, name string, value json.RawMessage) (uint64, error) {
	v, err := w.write("create", name, 0, value)
	if w.afterMake != nil {
		w.afterMake()
	}
	return v, err
}

func (w *world) Replace(_ context.Context, _ platform.Kind, name string, version uint64, value json.RawMessage) (uint64, error) {
	return w.write("replace", name, version, value)
}

func (w *world) Delete(_ context.Context, _ platform.Kind, name string, version uint64) error {
	if w.isDown() {
		return errDown
	}
	defer w.lock()()
	if w.objects[name].Version == version {
		delete(w.objects, name)
	}
	return nil
}

func (w *world) claims() int { defer w.lock()(); return len(w.objects) }

func (w *world) GetNewer(context.Context, platform.Kind, string, uint64) (o platform.Object, c bool, err error) {
	return o, false, errDown
}

func (w *world) List(context.Context, platform.Kind) (l platform.List, err error) {
	defer w.lock()()
	for _, o := range w.objects {
		l.Objects = append(l.Objects, o)
	}
	return l, nil
}
func (w *world) Instances(context.Context) ([]platform.Instance, error) { return nil, errDown }

// Config.
func (w *world) Current() *config.Snapshot          { defer w.lock()(); return w.snapshot }
func (w *world) Subscribe(f func(*config.Snapshot)) { w.watchers = append(w.watchers, f) }
func (w *world) Endpoints() []port.Endpoint         { return w.endpoints }
func (w *world) Routers() (list []platform.Instance, read bool) {
	for name := range w.instances {
		list = append(list, platform.Instance{Name: name})
	}
	return list, true
}

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
		return i.path.Claims(m), nil
	}
	return peer.ClaimsReply{}, errors.New("no route")
}

// book makes a booking call under the idempotency key.
func (i *instance) book(ctx context.Context, idempotencyKey, booking string) (port.ServiceResponse, error) {
	return i.call(ctx, false, http.MethodPost, "/slots?api_key=x&day=2", idempotencyKey, `{"booking":"`+booking+`"}`)
}

func (i *instance) call(ctx context.Context, repeatable bool, method, path, idempotencyKey, body string) (port.ServiceResponse, error) {
	customer, _ := i.Current().Customer("asahan")
	unlock := i.lock()
	i.version++ // request ids only need to differ
	id := i.self.Name + ".1." + time.Duration(i.version).String()
	unlock()
	return i.path.Handle(ctx, servicepath.Call{
		Route:    &catalogue.Route{Name: "slots", Pool: "kaunter", Repeatable: repeatable, TimeoutMS: 4000, CostTokens: 5},
		Customer: customer, KeyDigest: config.DigestKey(key), Method: method, Path: path, Body: []byte(body),
		Header:         http.Header{"Authorization": {"Bearer " + key}, "Cookie": {"c"}, "X-Api-Key": {key}, "Accept": {"a/b"}},
		IdempotencyKey: idempotencyKey, RequestID: id,
	})
}
