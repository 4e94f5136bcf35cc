package platformhttp_test

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/platform"
	standin "tanagerwood.dev/lab/standin/platform"
	"tanagerwood.dev/router/internal/adapter/platformhttp"
	"tanagerwood.dev/router/internal/fault"
)

func TestPlatformHTTP(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform client")
}

// Values for standin.Faults, whose fields are pointers to distinguish absent from zero.
var (
	yes = true
	one = 1
)

var _ = Describe("the platform client", func() {
	var (
		ctx    = context.Background()
		server *standin.Server
		web    *httptest.Server
		client *platformhttp.Client
		log    *event.Log
	)

	start := func(o standin.Options) {
		o.Token = "secret"
		server = standin.New(o)
		web = httptest.NewServer(server)
		DeferCleanup(web.Close)
		log = event.NewLog("router", "1", 16, time.Now)
		client = platformhttp.New(platformhttp.Options{BaseURL: web.URL, Token: "secret", Timeout: 5 * time.Second, Events: log})
	}

	expectFault := func(err error, kind fault.Kind, outcome openai.Outcome) {
		GinkgoHelper()
		Expect(err).To(HaveOccurred())
		Expect(fault.As(err).Kind).To(Equal(kind), err.Error())
		Expect(fault.As(err).Outcome).To(Equal(outcome), err.Error())
	}

	It("creates, reads, replaces and deletes under conditions, and names the present version on a conflict", func() {
		start(standin.Options{})
		v, err := client.Create(ctx, platform.KindRoster, "main", []byte(`{"generation":1}`))
		Expect(err).NotTo(HaveOccurred())
		_, changed, err := client.GetNewer(ctx, platform.KindRoster, "main", v)
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeFalse())
		o, changed, err := client.GetNewer(ctx, platform.KindRoster, "main", v-1)
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeTrue())
		Expect(o.Version).To(Equal(v))
		w, err := client.Replace(ctx, platform.KindRoster, "main", v, []byte(`{"generation":2}`))
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Replace(ctx, platform.KindRoster, "main", v, []byte(`{"generation":3}`))
		expectFault(err, fault.Conflict, openai.NotRun)
		var conflict *platformhttp.VersionConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(conflict.CurrentVersion).To(Equal(w))
		var listed []platform.Object
		Expect(client.List(ctx, platform.KindRoster, func(o platform.Object) { listed = append(listed, o) })).To(Succeed())
		Expect(listed).To(HaveLen(1))
		Expect(client.Delete(ctx, platform.KindRoster, "main", w)).To(Succeed())
		_, err = client.Get(ctx, platform.KindRoster, "main")
		expectFault(err, fault.NotFound, openai.NotRun)
	})

	It("reports a lost reply of a write as unknown and does not send the write again", func() {
		start(standin.Options{})
		_, err := client.Get(ctx, platform.KindClaim, "warm-up") // leaves a pooled connection, on which net/http may retry a request
		Expect(err).To(HaveOccurred())
		server.SetFaults(standin.Faults{LoseReplies: &one})
		_, err = client.Create(ctx, platform.KindClaim, "a", []byte(`1`))
		expectFault(err, fault.PlatformUnavailable, openai.Unknown)
		Expect(server.Calls().Kinds[platform.KindClaim].Writes).To(BeEquivalentTo(1))
		o, err := client.Get(ctx, platform.KindClaim, "a")
		Expect(err).NotTo(HaveOccurred())
		server.SetFaults(standin.Faults{LoseReplies: &one})
		expectFault(client.Delete(ctx, platform.KindClaim, "a", o.Version), fault.PlatformUnavailable, openai.Unknown)
		Expect(server.Calls().Kinds[platform.KindClaim].Deletes).To(BeEquivalentTo(1))
	})

	It("reports a write as not run only if it cannot have reached the platform", func() {
		start(standin.Options{WritesPerSecond: 0.5})
		_, err := client.Create(ctx, platform.KindClaim, "a", []byte(`1`))
		expectFault(err, fault.PlatformUnavailable, openai.NotRun) // 429
		Expect(fault.As(err).RetryAfter).To(BeNumerically(">", 0))
		server.SetFaults(standin.Faults{Outage: &yes})
		_, err = client.Create(ctx, platform.KindClaim, "a", []byte(`1`))
		expectFault(err, fault.PlatformUnavailable, openai.Unknown) // 503 may come from an intermediary
		_, err = client.Get(ctx, platform.KindClaim, "a")
		expectFault(err, fault.PlatformUnavailable, openai.NotRun)
		web.Close()
		// A new client, because a pooled connection may be found closed only after it was taken, which counts as unknown.
		client = platformhttp.New(platformhttp.Options{BaseURL: web.URL, Token: "secret"})
		_, err = client.Create(ctx, platform.KindClaim, "a", []byte(`1`))
		expectFault(err, fault.PlatformUnavailable, openai.NotRun) // connection refused
	})

	It("gives up on a platform that accepts connections and never answers", func() {
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(silent.Close)
		client = platformhttp.New(platformhttp.Options{BaseURL: "http://" + silent.Addr().String(), Timeout: 50 * time.Millisecond})
		_, err = client.Instances(ctx)
		expectFault(err, fault.PlatformUnavailable, openai.NotRun)
		_, err = client.Create(ctx, platform.KindClaim, "a", []byte(`1`))
		expectFault(err, fault.PlatformUnavailable, openai.Unknown)
	})

	It("gives up on a slow platform", func() {
		start(standin.Options{})
		hour := time.Hour.Milliseconds()
		server.SetFaults(standin.Faults{DelayMS: &hour})
		client = platformhttp.New(platformhttp.Options{BaseURL: web.URL, Token: "secret", Timeout: 50 * time.Millisecond})
		_, err := client.Get(ctx, platform.KindRoster, "main")
		expectFault(err, fault.PlatformUnavailable, openai.NotRun)
		_, err = client.Create(ctx, platform.KindRoster, "main", []byte(`1`))
		expectFault(err, fault.PlatformUnavailable, openai.Unknown)
	})

	// Guards against a pool of broken connections, each of which costs one call its timeout.
	It("uses a new connection after an open one has gone silent", func() {
		start(standin.Options{})
		relay := newTCPRelay(web.Listener.Addr().String())
		const calls = 4
		client = platformhttp.New(platformhttp.Options{BaseURL: relay.url, Token: "secret", Timeout: 3 * time.Second})
		var open sync.WaitGroup
		for range calls {
			open.Go(func() { _, _ = client.Instances(ctx) })
		}
		// No call is answered before each has a connection, so that none is opened later.
		Eventually(relay.connections.Load).Should(BeEquivalentTo(calls))
		close(relay.start)
		open.Wait()
		// A connection returns to the pool a little after its call.
		Eventually(func() int64 {
			before := relay.connections.Load()
			Expect(client.Instances(ctx)).Error().NotTo(HaveOccurred())
			return relay.connections.Load() - before
		}).Should(BeZero())
		relay.silence()
		_, err := client.Instances(ctx)
		expectFault(err, fault.PlatformUnavailable, openai.NotRun)
		_, err = client.Instances(ctx)
		Expect(err).NotTo(HaveOccurred())
	})

	It("names the setting to correct when the token is wrong", func() {
		start(standin.Options{})
		wrong := platformhttp.New(platformhttp.Options{BaseURL: web.URL, Token: "other"})
		_, err := wrong.Instances(ctx)
		expectFault(err, fault.PlatformUnavailable, openai.NotRun)
		Expect(err.Error()).To(ContainSubstring("TANAGERWOOD_PLATFORM_TOKEN"))
	})
})

// tcpRelay forwards TCP connections to an address once start is closed. Silenced connections stay open but forward no more data.
type tcpRelay struct {
	url   string
	start chan struct{}
	// connections is the number of connections that were accepted.
	connections atomic.Int64

	mu       sync.Mutex
	silenced *atomic.Bool
}

func newTCPRelay(to string) *tcpRelay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	r := &tcpRelay{url: "http://" + listener.Addr().String(), start: make(chan struct{}), silenced: &atomic.Bool{}}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			r.forward(from, to)
		}
	}()
	return r
}

func (r *tcpRelay) forward(from net.Conn, address string) {
	to, err := net.Dial("tcp", address)
	if err != nil {
		_ = from.Close()
		return
	}
	r.mu.Lock()
	silenced := r.silenced
	r.mu.Unlock()
	r.connections.Add(1)
	copyUntilSilenced := func(dst, src net.Conn) {
		<-r.start
		buffer := make([]byte, 4096)
		for {
			n, err := src.Read(buffer)
			if err != nil {
				_ = dst.Close()
				return
			}
			if !silenced.Load() {
				_, _ = dst.Write(buffer[:n])
			}
		}
	}
	go copyUntilSilenced(to, from)
	go copyUntilSilenced(from, to)
}

// silence stops forwarding on all open connections.
func (r *tcpRelay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silenced.Store(true)
	r.silenced = &atomic.Bool{}
}
