package platform_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	api "tanagerwood.dev/api/platform"
	"tanagerwood.dev/lab/standin/platform"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform stand-in")
}

var _ = Describe("the platform stand-in", func() {
	var (
		standin *platform.Server
		server  *httptest.Server
		elapsed atomic.Int64
	)

	start := func(o platform.Options) {
		elapsed.Store(0)
		o.Token = "secret"
		o.Now = func() time.Time { return time.Unix(1_700_000_000, 0).Add(time.Duration(elapsed.Load())) }
		standin = platform.New(o)
		server = httptest.NewServer(standin)
		DeferCleanup(server.Close)
	}

	call := func(method, path, body string, header ...string) (int, string, error) {
		r, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set("Authorization", "Bearer secret")
		for i := 0; i < len(header); i += 2 {
			r.Header.Set(header[i], header[i+1])
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0, "", err
		}
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		return resp.StatusCode, string(data), err
	}

	expect := func(status int, method, path, body string, header ...string) string {
		GinkgoHelper()
		got, answer, err := call(method, path, body, header...)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(status), answer)
		return answer
	}

	It("accepts one of two conflicting conditional writes and returns the current version to the other", func() {
		start(platform.Options{})
		expect(200, "PUT", "/api/v1/roster/main", `1`, "If-None-Match", "*")
		expect(412, "PUT", "/api/v1/roster/main", `2`, "If-None-Match", "*")
		expect(200, "PUT", "/api/v1/roster/main", `3`, "If-Match", `"1"`)
		Expect(expect(412, "PUT", "/api/v1/roster/main", `4`, "If-Match", `"1"`)).To(ContainSubstring(`"version":2`))
		expect(428, "PUT", "/api/v1/roster/main", `4`)
		expect(304, "GET", "/api/v1/roster/main", "", "If-None-Match", `"2"`)
		expect(412, "DELETE", "/api/v1/roster/main", "", "If-Match", `"1"`)
		expect(200, "DELETE", "/api/v1/roster/main", "", "If-Match", `"2"`)
		expect(404, "GET", "/api/v1/roster/main", "")
		Expect(expect(200, "PUT", "/api/v1/roster/main", `5`, "If-None-Match", "*")).To(ContainSubstring(`"version":4`))
	})

	It("rejects values above 1 MB, values that are not JSON, and wrong tokens", func() {
		start(platform.Options{})
		expect(413, "PUT", "/api/v1/claim/a", `"`+strings.Repeat("x", api.MaxValueBytes)+`"`, "If-None-Match", "*")
		expect(400, "PUT", "/api/v1/claim/a", `{`, "If-None-Match", "*")
		expect(401, "GET", "/api/v1/claim/a", "", "Authorization", "Bearer other")
	})

	It("responds with 429 above the rate limit until the token bucket refills", func() {
		start(platform.Options{ReadsPerSecond: 2, WritesPerSecond: 1})
		expect(404, "GET", "/api/v1/claim/a", "")
		expect(404, "GET", "/api/v1/claim/a", "")
		expect(429, "GET", "/api/v1/claim/a", "")
		expect(200, "PUT", "/api/v1/claim/a", `1`, "If-None-Match", "*")
		expect(429, "PUT", "/api/v1/claim/b", `1`, "If-None-Match", "*")
		elapsed.Add(int64(time.Second))
		expect(200, "GET", "/api/v1/claim/a", "")
		expect(200, "PUT", "/api/v1/claim/b", `1`, "If-None-Match", "*")
		Expect(standin.Calls().Total).To(BeEquivalentTo(7))
		Expect(standin.Calls().Kinds[api.KindClaim].Limited).To(BeEquivalentTo(2))
	})

	It("drops the response to a write that took effect, serves stale reads, and simulates outages", func() {
		start(platform.Options{})
		expect(200, "PUT", "/api/v1/claim/a", `1`, "If-None-Match", "*")
		expect(200, "POST", "/faults", `{"loseReplies":1,"loseKind":"claim"}`)
		_, _, err := call("PUT", "/api/v1/claim/a", `2`, "If-Match", "1")
		Expect(err).To(HaveOccurred())
		Expect(expect(200, "GET", "/api/v1/claim/a", "")).To(ContainSubstring(`"version":2`))
		expect(200, "POST", "/faults", `{"staleWrites":1}`)
		Expect(expect(200, "GET", "/api/v1/claim/a", "")).To(ContainSubstring(`"version":1`))
		expect(200, "POST", "/faults", `{"outage":true}`)
		expect(503, "GET", "/api/v1/claim/a", "")
		expect(400, "POST", "/faults", `{"outrage":true}`)
		Expect(expect(200, "GET", "/events?since=0", "")).To(ContainSubstring(string(platform.ReplyLost)))
	})

	It("shows changes of the instance list only after the lag", func() {
		start(platform.Options{InstanceLag: 2 * time.Second, Instances: []api.Instance{{Name: "tulis-1", State: api.InstanceLive}}})
		expect(202, "POST", "/instances", `{"instances":[{"name":"tulis-1","state":"leaving"}]}`)
		Expect(expect(200, "GET", "/api/v1/instances", "")).To(ContainSubstring(`"live"`))
		elapsed.Add(int64(2 * time.Second))
		Expect(expect(200, "GET", "/api/v1/instances", "")).To(ContainSubstring(`"leaving"`))
		expect(202, "POST", "/instances", `{"removed":["tulis-1"]}`)
		elapsed.Add(int64(2 * time.Second))
		Expect(expect(200, "GET", "/api/v1/instances", "")).NotTo(ContainSubstring("tulis-1"))
	})

	It("delivers missed and new changes on a watch, counts the watch once, and closes it on an outage", func() {
		start(platform.Options{})
		expect(200, "PUT", "/api/v1/roster/main", `1`, "If-None-Match", "*")
		r, _ := http.NewRequest("GET", server.URL+"/api/v1/roster?watch=1&version=0", nil)
		r.Header.Set("Authorization", "Bearer secret")
		resp, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		lines := bufio.NewScanner(resp.Body)
		next := func() (e api.WatchEvent) {
			GinkgoHelper()
			Expect(lines.Scan()).To(BeTrue())
			Expect(json.Unmarshal(lines.Bytes(), &e)).To(Succeed())
			return e
		}
		Expect(next().Object.Version).To(BeEquivalentTo(1))
		Expect(next().Type).To(Equal(api.WatchBookmark))
		expect(200, "PUT", "/api/v1/claim/a", `1`, "If-None-Match", "*")
		expect(200, "DELETE", "/api/v1/roster/main", "", "If-Match", "1")
		Expect(next().Type).To(Equal(api.WatchDelete))
		Expect(standin.Calls().Kinds[api.KindRoster].Watches).To(BeEquivalentTo(1))
		expect(200, "POST", "/faults", `{"outage":true}`)
		Expect(lines.Scan()).To(BeFalse())
	})
})
