package servicehttp_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

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
