package service_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/lab/standin/service"
)

func TestService(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "service stand-in")
}

var _ = Describe("service", func() {
	var (
		s   *service.Service
		web *httptest.Server
	)
	BeforeEach(func() {
		s = service.New(service.Options{})
		web = httptest.NewServer(s.Handler())
		DeferCleanup(func() {
			s.Close()
			web.CloseClientConnections()
			web.Close()
		})
	})
	book := func() error {
		r, _ := http.NewRequest(http.MethodPost, web.URL+"/slots", strings.NewReader(`{"booking":"b1"}`))
		r.Header.Set("X-Request-Id", "a1")
		resp, err := http.DefaultClient.Do(r)
		if err == nil {
			resp.Body.Close()
		}
		return err
	}

	It("counts bookings by name and attempt, and not lookups", func() {
		Expect(book()).To(Succeed())
		Expect(book()).To(Succeed())
		_, err := http.Get(web.URL + "/balance")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Runs().Runs).To(Equal(map[string]service.Run{"b1": {Count: 2, Attempts: map[string]int{"a1": 2}}}))
		Expect(s.Runs().Lookups).To(Equal(1))
	})

	It("counts a run whose response is aborted, and does not run a call that is aborted before its body is read", func() {
		s.SetFaults(service.Faults{DropBeforeReading: 1})
		Expect(book()).NotTo(Succeed())
		Expect(s.RunCount("b1")).To(BeZero())
		s.SetFaults(service.Faults{DieAfterRun: true})
		Expect(book()).NotTo(Succeed())
		Expect(s.RunCount("b1")).To(Equal(1))
		Expect(book()).NotTo(Succeed())
		Expect(s.RunCount("b1")).To(Equal(1))
	})
})
