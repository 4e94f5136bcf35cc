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

const testKey = "sk-test"

// testEnv is everything outside the instances under test: clock, platform, configuration, endpoints and peers.
type testEnv struct {
	port.Platform
	server           *standplatform.Server
	mu               sync.Mutex
	sinceBoot        time.Duration
	requestCount     int
	afterCreate      func()
	snapshot         *config.Snapshot
	subscribers      []func(*config.Snapshot)
	endpoints        []port.Endpoint
	alive            []peer.Member
	instances        map[string]*instance
	admissionErr     error
	admissionStarted chan struct{}
	chargedTokens    int64
}

type instance struct {
	*testEnv
	self      peer.Member
	forwarder *servicepath.Forwarder
	// platformCut is set for instances that no longer reach the platform, as after a kill.
	platformCut atomic.Bool
}

var errKilled = fault.Wrap(errors.New("killed"), fault.PlatformUnavailable, openai.NotRun, "killed")

func (i *instance) Create(ctx context.Context, k platform.Kind, name string, v json.RawMessage) (uint64, error) {
	version, err := i.testEnv.Create(ctx, k, name, v)
	if i.afterCreate != nil {
		i.afterCreate()
	}
	return version, err
}

func (i *instance) Replace(ctx context.Context, k platform.Kind, name string, version uint64, v json.RawMessage) (uint64, error) {
	if i.platformCut.Load() {
		return 0, errKilled
	}
	return i.testEnv.Replace(ctx, k, name, version, v)
}

func (i *instance) Delete(ctx context.Context, k platform.Kind, name string, version uint64) error {
	if i.platformCut.Load() {
		return errKilled
	}
	return i.testEnv.Delete(ctx, k, name, version)
}

func newTestEnv() *testEnv {
	env := &testEnv{server: standplatform.New(standplatform.Options{}), instances: map[string]*instance{},
		snapshot: config.New(1, catalogueWithKeys(testKey))}
	web := httptest.NewServer(env.server)
	DeferCleanup(web.Close)
	env.Platform = platformhttp.New(platformhttp.Options{BaseURL: web.URL})
	return env
}

func (env *testEnv) setPlatformOutage(down bool) {
	env.server.SetFaults(standplatform.Faults{Outage: &down})
}

// loseWriteReplies makes the platform drop the replies to the next n writes.
func (env *testEnv) loseWriteReplies(n int) {
	env.server.SetFaults(standplatform.Faults{LoseReplies: &n})
}

func (env *testEnv) claimCount() (n int) {
	Expect(env.List(context.Background(), platform.KindClaim, func(platform.Object) { n++ })).To(Succeed())
	return n
}

func catalogueWithKeys(keys ...string) catalogue.Catalogue {
	c := catalogue.Customer{Name: "asahan"}
	for _, k := range keys {
		d := config.DigestKey(k)
		c.Keys = append(c.Keys, catalogue.Key{Name: k, SHA256: hexDigest(d)})
	}
	return catalogue.Catalogue{Customers: []catalogue.Customer{c}}
}

func (env *testEnv) startInstance(name string) *instance {
	i := &instance{testEnv: env, self: peer.Member{MemberID: peer.MemberID{Name: name, Incarnation: 1}, Address: name}}
	client := servicehttp.New(nil)
	DeferCleanup(client.Close)
	i.forwarder = servicepath.New(servicepath.Deps{Clock: env, Config: env, Platform: i, Peers: fakePeers{testEnv: env}, Membership: i,
		Admission: env, ServiceClient: client, Events: i})
	env.alive = append(env.alive, i.self)
	env.instances[name] = i
	return i
}

// startService starts a stand-in service and lists it as an endpoint of the pool.
func (env *testEnv) startService(name string) (*service.Service, *httptest.Server) {
	s := service.New(service.Options{Name: name})
	web := httptest.NewServer(s.Handler())
	DeferCleanup(func() {
		s.Close()
		web.CloseClientConnections()
		web.Close()
	})
	env.endpoints = append(env.endpoints, port.Endpoint{Name: name, Pool: "kaunter", URL: web.URL})
	return s, web
}

func (env *testEnv) lock() func() { env.mu.Lock(); return env.mu.Unlock }

func (env *testEnv) advance(d time.Duration) { defer env.lock()(); env.sinceBoot += d }

// port.Clock
func (env *testEnv) Now() time.Time      { return time.UnixMilli(1e12).Add(env.Boot()) }
func (env *testEnv) Boot() time.Duration { defer env.lock()(); return env.sinceBoot }

// port.Config
func (env *testEnv) Current() *config.Snapshot          { defer env.lock()(); return env.snapshot }
func (env *testEnv) Subscribe(f func(*config.Snapshot)) { env.subscribers = append(env.subscribers, f) }
func (env *testEnv) Endpoints() []port.Endpoint         { defer env.lock()(); return env.endpoints }
func (env *testEnv) Routers() (list []platform.Instance, read bool) {
	for name := range env.instances {
		list = append(list, platform.Instance{Name: name})
	}
	return list, true
}

func (env *testEnv) setEndpoints(list []port.Endpoint) { defer env.lock()(); env.endpoints = list }

func (env *testEnv) applySnapshot(s *config.Snapshot) {
	unlock := env.lock()
	env.snapshot = s
	unlock()
	for _, f := range env.subscribers {
		f(s)
	}
}

// port.Membership
func (i *instance) Self() peer.Member                    { return i.self }
func (e *testEnv) Alive() []peer.Member                  { defer e.lock()(); return append([]peer.Member{}, e.alive...) }
func (env *testEnv) IsAlive(peer.MemberID) bool          { return true }
func (i *instance) Owner(string) (m peer.Member, _ bool) { return i.self, true }
func (env *testEnv) Confirmed() bool                     { return true }

// port.Admission and port.EventLog
func (env *testEnv) Admit(ctx context.Context, _ *config.Customer, tokens int64, _ time.Duration) (port.Charge, error) {
	if env.admissionStarted != nil {
		env.admissionStarted <- struct{}{}
		<-ctx.Done()
		return nil, fault.Wrap(ctx.Err(), fault.CallerDisconnected, openai.NotRun, "gone")
	}
	defer env.lock()()
	if env.admissionErr == nil {
		env.chargedTokens += tokens
	}
	return &fakeCharge{env, tokens}, env.admissionErr
}

type fakeCharge struct {
	env    *testEnv
	tokens int64
}

func (c *fakeCharge) Settle(used int64) { defer c.env.lock()(); c.env.chargedTokens += used - c.tokens }
func (c *fakeCharge) Cancel()           { c.Settle(0) }
func (i *instance) Record(event.Event)  {}

// fakePeers delivers claims requests. Members that are not instances of the test do not answer.
type fakePeers struct {
	port.Peers
	*testEnv
}

func (p fakePeers) Claims(_ context.Context, address string, m peer.ClaimsRequest) (peer.ClaimsReply, error) {
	if i, ok := p.instances[address]; ok {
		return i.forwarder.HandleClaims(m), nil
	}
	return peer.ClaimsReply{}, errors.New("no route")
}

// book makes a booking call with the idempotency key.
func (i *instance) book(ctx context.Context, idempotencyKey, booking string) (port.ServiceResponse, error) {
	_, resp, err := i.request(ctx, idempotencyKey, booking)
	return resp, err
}

// request makes the same call as book and also returns the request id.
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
	i.requestCount++
	id := i.self.Name + ".1." + strconv.Itoa(i.requestCount)
	unlock()
	resp, err := i.forwarder.Handle(ctx, servicepath.Call{
		Route:    &catalogue.Route{Name: "slots", Pool: "kaunter", Repeatable: repeatable, TimeoutMS: 4000, CostTokens: 5},
		Customer: customer, KeyDigest: config.DigestKey(testKey), Method: method, Path: path, Body: []byte(body),
		Header:         http.Header{"Authorization": {"Bearer " + testKey}, "Cookie": {"c"}, "X-Api-Key": {testKey}, "Accept": {"a/b"}},
		IdempotencyKey: idempotencyKey, RequestID: id,
	})
	return id, resp, err
}

// countRuns counts the runs that the attempts of one request caused at the services.
func countRuns(request string, services ...*service.Service) (runs int) {
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
