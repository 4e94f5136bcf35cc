package servicehttp_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/router/internal/adapter/servicehttp"
	"tanagerwood.dev/router/internal/app/servicepath"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

func TestServiceHTTP(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "service client")
}

var _ = Describe("client", func() {
	var (
		seen   atomic.Int64
		ep     port.Endpoint
		client *servicehttp.Client
	)
	BeforeEach(func() {
		seen.Store(0)
		web := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { seen.Add(1) }))
		client = servicehttp.New(nil)
		ep = port.Endpoint{URL: web.URL}
		DeferCleanup(web.Close)
		DeferCleanup(client.Close)
	})
	call := port.ServiceCall{Method: http.MethodPost, Path: "/slots", Body: []byte("{}"), NewConnection: true}

	It("says not_run and sends nothing when the gate refuses the first write", func() {
		ctx := servicepath.WithBeforeWrite(context.Background(), func(first bool) error {
			Expect(first).To(BeTrue())
			return fault.New(fault.Timeout, "late")
		})
		_, err := client.Call(ctx, ep, call)
		Expect(fault.Is(err, fault.Timeout)).To(BeTrue())
		Expect(fault.As(err).Outcome).To(Equal(openai.NotRun))
		Expect(seen.Load()).To(BeZero())
	})

	// Guards against the error of a closed connection in place of the refusal, which net/http reports if it notices the close first.
	It("says why the gate refuses the first write although the connection closes meanwhile", func() {
		dropped := make(chan struct{})
		web := httptest.NewUnstartedServer(http.NotFoundHandler())
		web.Config.ConnState = func(c net.Conn, state http.ConnState) {
			if state == http.StateNew {
				go func() {
					<-dropped
					_ = c.Close()
				}()
			}
		}
		web.Start()
		DeferCleanup(web.Close)
		ctx := servicepath.WithBeforeWrite(context.Background(), func(bool) error {
			close(dropped)
			time.Sleep(50 * time.Millisecond) // net/http notices the close
			return fault.New(fault.InstanceNotConfirmed, "late")
		})
		_, err := client.Call(ctx, port.Endpoint{URL: web.URL}, call)
		Expect(fault.Is(err, fault.InstanceNotConfirmed)).To(BeTrue(), "%v", err)
		Expect(fault.As(err).Outcome).To(Equal(openai.NotRun))
	})

	It("says not_run when the call was cancelled before its first byte", func() {
		ctx, cancel := context.WithCancel(context.Background())
		_, err := client.Call(servicepath.WithBeforeWrite(ctx, func(bool) error {
			cancel()
			return ctx.Err()
		}), ep, call)
		Expect(fault.Is(err, fault.CallerDisconnected)).To(BeTrue())
		Expect(fault.As(err).Outcome).To(Equal(openai.NotRun))
		Expect(seen.Load()).To(BeZero())
	})

	It("does not let a path change the host", func() {
		_, err := client.Call(context.Background(), ep, port.ServiceCall{Method: http.MethodGet, Path: "@127.0.0.1:1/"})
		Expect(fault.Is(err, fault.BadRequest)).To(BeTrue())
	})
})
