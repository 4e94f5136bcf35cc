package e2e_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/event"
)

// call is one HTTP request of a caller.
type call struct {
	method, path, body string
	header             http.Header
}

func (c call) send(ctx context.Context, router string) (status int, header http.Header, body string) {
	GinkgoHelper()
	request, err := http.NewRequestWithContext(ctx, c.method, router+c.path, strings.NewReader(c.body))
	Expect(err).NotTo(HaveOccurred())
	for name, values := range c.header {
		request.Header[name] = values
	}
	resp, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode, resp.Header, string(raw)
}

// headersWithKey returns headers with the key in the header that the router reads and in the others where callers may put it.
func headersWithKey(key, idempotencyKey string) http.Header {
	return http.Header{
		"Authorization": {"Bearer " + key}, "X-Api-Key": {key}, "Cookie": {"key=" + key}, "Api-Key": {key},
		"Proxy-Authorization": {"Bearer " + key}, "Idempotency-Key": {idempotencyKey}, "Content-Type": {"application/json"},
	}
}

const keyQuery = "?key=" + key + "&api_key=" + key + "&access_token=" + key + "&Access%5FToken=" + key + "&day=2"

// bookingWith returns a booking call with the given Authorization header lines.
func bookingWith(idempotencyKey, booking string, authorization ...string) call {
	return call{http.MethodPost, "/bookings", fmt.Sprintf(`{"booking":%q}`, booking), http.Header{
		"Authorization": authorization, "Idempotency-Key": {idempotencyKey}, "Content-Type": {"application/json"},
	}}
}

var _ = Describe("keys", func() {
	// Guards against a key that leaks to an endpoint, a log, the event timeline or an error answer.
	It("stay between caller and router, wherever the caller puts them", func() {
		s := prepare(2)
		endpoints := s.recordEndpoints()
		for _, r := range s.routers {
			r.arguments = append(r.arguments, "-log-level", "debug")
		}
		s.launch()
		ctx, cancel := withTimeout()
		defer cancel()
		var seen strings.Builder
		for i, r := range s.routers {
			header := headersWithKey(key, fmt.Sprint("everywhere-", i))
			for _, c := range []call{
				{http.MethodPost, "/v1/completions" + keyQuery, `{"model":"tulis","prompt":"marker-text","max_tokens":3}`, header},
				{http.MethodPost, "/v1/chat/completions" + keyQuery,
					`{"model":"tulis","messages":[{"role":"user","content":"marker-chat"}],"max_tokens":3,"stream":true}`, header},
				{http.MethodPost, "/bookings/marker-booking" + keyQuery, `{"booking":"b"}`, header},
				{http.MethodGet, "/balances/marker-balance" + keyQuery, "", header},
				{http.MethodGet, "/opening-hours/marker-open" + keyQuery, "", header},
			} {
				status, _, body := c.send(ctx, r.url)
				Expect(status).To(BeNumerically("<", 300), c.path+": "+body)
				seen.WriteString(body)
			}
			// Error answers must not echo the rejected values.
			for _, refused := range []call{
				{http.MethodPost, "/v1/completions" + keyQuery, `{"model":"tulis"}`, header},
				{http.MethodGet, "/balances" + keyQuery, "", http.Header{"X-Api-Key": {key}}},
				{http.MethodGet, "/balances" + keyQuery, "", http.Header{"Authorization": {"Basic " + key}}},
				{http.MethodGet, "/balances" + keyQuery, "", http.Header{"Authorization": {"Bearer x" + key}}},
				{http.MethodGet, "/nowhere" + keyQuery, "", header},
				{http.MethodGet, "/balances/../bookings" + keyQuery, "", header},
			} {
				status, answered, body := refused.send(ctx, r.url)
				Expect(status).To(BeNumerically(">=", 400), refused.path)
				seen.WriteString(body + fmt.Sprint(answered))
			}
		}
		var received strings.Builder
		for _, e := range endpoints {
			received.WriteString(e.String())
		}
		for _, marker := range []string{"marker-text", "marker-chat", "marker-booking", "marker-balance", "marker-open", "day=2"} {
			Expect(received.String()).To(ContainSubstring(marker), "the recorders must have seen the calls")
		}
		expectNoKey("what the endpoints received", received.String())
		expectNoKey("answers and refusals", seen.String())
		for _, r := range s.routers {
			Expect(r.log.String()).NotTo(BeEmpty())
			expectNoKey("log of "+r.name, r.log.String())
			for _, page := range []string{"/events?since=0", "/metrics", "/status"} {
				_, _, body := call{method: http.MethodGet, path: page}.send(ctx, r.operators)
				Expect(body).NotTo(BeEmpty())
				expectNoKey(page+" of "+r.name, body)
			}
		}
		claims := call{http.MethodGet, "/api/v1/claim", "", http.Header{"Authorization": {"Bearer " + platformToken}}}
		_, _, body := claims.send(ctx, s.platform.url)
		Expect(body).To(ContainSubstring("digest"))
		expectNoKey("claims", body)
	})

	// Guards against an idempotency key that returns another customer's stored answer.
	It("of one customer never get the stored answer of another", func() {
		s := start(2)
		ctx, cancel := withTimeout()
		defer cancel()
		first := bookingWith("same", "shared-slot", "Bearer "+key)
		status, header, own := first.send(ctx, s.routers[0].url)
		Expect(status).To(Equal(http.StatusCreated), own)
		Expect(header.Get("Idempotency-Replayed")).To(BeEmpty())
		status, header, body := bookingWith("same", "shared-slot", "Bearer "+otherKey).send(ctx, s.routers[1].url)
		Expect(status).To(Equal(http.StatusCreated), body)
		Expect(header.Get("Idempotency-Replayed")).To(BeEmpty(), "the answer belongs to another customer")
		Expect(s.executions("shared-slot")).To(Equal(2))
		_, header, body = first.send(ctx, s.routers[1].url)
		Expect(header.Get("Idempotency-Replayed")).To(Equal("true"))
		Expect(body).To(Equal(own))
		Expect(s.executions("shared-slot")).To(Equal(2))
		Expect(s.customers()).To(ConsistOf("kilang-pisau", "dapur-hotel"))
	})

	// Guards against requests that are served without a key, and against two Authorization header lines of which router and
	// endpoint read different ones.
	It("are needed once, and never on open routes", func() {
		s := start(1)
		ctx, cancel := withTimeout()
		defer cancel()
		router := s.routers[0].url
		for _, refused := range [][]string{
			nil, {"Bearer unknown"}, {"Basic " + key}, {"Bearer " + key + ", Bearer " + otherKey},
			{"Bearer " + key, "Bearer " + otherKey}, {"Bearer " + otherKey, "Bearer " + key}, {"Bearer " + key, "Bearer " + key},
		} {
			status, header, body := bookingWith("refused", "refused-slot", refused...).send(ctx, router)
			Expect(status).To(Or(Equal(http.StatusUnauthorized), Equal(http.StatusBadRequest)), fmt.Sprint(refused, body))
			Expect(header.Get("X-Outcome")).To(Equal("not_run"))
			status, _, body = call{http.MethodPost, "/v1/completions", `{"model":"tulis","prompt":"x","max_tokens":1}`,
				http.Header{"Authorization": refused}}.send(ctx, router)
			Expect(status).To(Or(Equal(http.StatusUnauthorized), Equal(http.StatusBadRequest)), fmt.Sprint(refused, body))
		}
		Expect(s.customers()).To(BeEmpty())
		Expect(s.executions("refused-slot")).To(BeZero())
		status, _, body := call{method: http.MethodGet, path: "/opening-hours"}.send(ctx, router)
		Expect(status).To(Equal(http.StatusOK), body)
	})
})

func expectNoKey(where, text string) {
	GinkgoHelper()
	digest := sha256.Sum256([]byte(key))
	for _, secret := range []string{key, hex.EncodeToString(digest[:])} {
		if at := strings.Index(text, secret); at >= 0 {
			Fail(fmt.Sprintf("%s: holds the key or its digest: …%s…", where, text[max(0, at-80):at]))
		}
	}
}

// customers returns the distinct customers for whom the routers accepted a model request or sent a service call.
func (s *system) customers() []string {
	found := map[string]bool{}
	var names []string
	for _, r := range s.routers {
		for _, e := range s.events(r) {
			if (e.Kind == event.RequestAccepted || e.Kind == event.ServiceSent) && !found[e.Customer] {
				found[e.Customer] = true
				names = append(names, e.Customer)
			}
		}
	}
	return names
}
