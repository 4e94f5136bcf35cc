package load_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/lab/internal/load"
)

func output(prompt string, n int64) []string {
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("%d-%d ", len(prompt), i)
	}
	return tokens
}

// fakeRouter responds to the n-th request with the fault that the fault function returns for n. Requests with an idempotency
// key get an empty response that reports whether the key was seen before.
type fakeRouter struct {
	mu     sync.Mutex
	number int
	seen   map[string]int64
	fault  func(number int) string
}

func (f *fakeRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.number++
	fault := f.fault(f.number)
	key := r.Header.Get("Idempotency-Key")
	replayed := key != "" && f.seen[key] > 0
	f.seen[key]++
	f.mu.Unlock()
	if key != "" {
		w.Header().Set("Idempotency-Replayed", fmt.Sprint(replayed))
		return
	}
	if fault == "refuse" {
		w.WriteHeader(http.StatusTooManyRequests)
		fmt.Fprint(w, `{"error":{"code":"rate_limited","outcome":"not_run"}}`)
		return
	}
	var body openai.Request
	var content string
	if json.NewDecoder(r.Body).Decode(&body) != nil || json.Unmarshal(body.Messages[0].Content, &content) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	prompt, err := load.ChatPromptText(content)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	tokens := output(prompt, 20)
	if fault == "wrong" {
		tokens[3] = "other "
	}
	if fault == "cut" {
		tokens = tokens[:5]
	}
	for _, token := range tokens {
		fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", token)
	}
	if fault == "cut" {
		fmt.Fprint(w, "data: {\"error\":{\"code\":\"timeout\",\"outcome\":\"partial\"}}\n\n")
		return
	}
	fmt.Fprint(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":30,\"completion_tokens\":20,\"total_tokens\":50}}\n\ndata: [DONE]\n\n")
}

func shortScenario() load.Scenario {
	s := testScenario(5)
	s.DurationMS = 500
	for i := range s.Mixes {
		s.Mixes[i].Output = load.LengthDistribution{Median: 20, Min: 20, Max: 20}
	}
	return s
}

func run(s load.Scenario, routers ...string) []load.Record {
	runner, err := load.NewRunner(load.Options{
		Scenario: s, Catalogue: testCatalogue(), Routers: routers, Output: output,
		MaxOpenRequests: 100, RequestTimeout: time.Minute,
	})
	Expect(err).NotTo(HaveOccurred())
	return runner.Run(context.Background())
}

var _ = Describe("Runner", func() {
	It("distinguishes complete, wrong, truncated and refused answers, and skips a router that refuses connections", func() {
		faults := []string{"", "wrong", "cut", "refuse"}
		fake := &fakeRouter{seen: make(map[string]int64), fault: func(n int) string { return faults[n%4] }}
		server := httptest.NewServer(fake)
		defer server.Close()
		closed, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		dead := "http://" + closed.Addr().String()
		Expect(closed.Close()).To(Succeed())

		s := shortScenario()
		records := run(s, dead, server.URL)
		result, err := load.Evaluate(s, testCatalogue(), records, load.LatencyTargets{FirstToken: time.Minute, Interval: time.Minute})
		Expect(err).NotTo(HaveOccurred())
		all := result.Overall
		Expect(all.Offered).To(BeNumerically(">", 8))
		Expect(all.Answered).To(Equal(all.Good))
		Expect([]int64{all.Answered, all.Wrong, all.Cut, all.Wrongful}).To(HaveEach(BeNumerically(">", 0)))
		Expect(all.Answered + all.Wrong + all.Cut + refusedWith(all, "rate_limited")).To(Equal(all.Offered))
		Expect(refusedWith(all, load.CodeNoRouter)).To(BeZero())
		bookings := load.CountExecutions(s, records, fake.seen)
		Expect(bookings.Calls).To(Equal(result.Services[0].Offered))
		Expect(bookings.Duplicated).To(Equal(result.Services[0].Replayed), "the fake executes every repeat")
	})

	It("reports that no router takes connections", func() {
		records := run(shortScenario(), "http://127.0.0.1:1")
		Expect(records).To(HaveEach(HaveField("Code", load.CodeNoRouter)))
	})
})

func refusedWith(f load.TrafficMetrics, code string) int64 {
	for _, r := range f.Refusals {
		if r.Code == code {
			return r.Count
		}
	}
	return 0
}

var _ = DescribeTable("goodput requires both latency targets and a complete, correct answer",
	func(r load.Record, good bool) {
		r.At = time.Second
		Expect(r.CountsAsGoodput(load.LatencyTargets{FirstToken: time.Second, Interval: 50 * time.Millisecond})).To(Equal(good))
	},
	Entry("at both targets", load.Record{Complete: true, Correct: true, First: 2 * time.Second, Interval: 50 * time.Millisecond}, true),
	Entry("late first token", load.Record{Complete: true, Correct: true, First: 2*time.Second + 1, Interval: time.Millisecond}, false),
	Entry("slow tokens", load.Record{Complete: true, Correct: true, First: time.Second, Interval: 51 * time.Millisecond}, false),
	Entry("truncated answer", load.Record{First: time.Second}, false),
	Entry("wrong answer", load.Record{Complete: true, First: time.Second}, false),
)

var _ = Describe("ReadStream", func() {
	at := time.Duration(0)
	elapsed := func() time.Duration { at += time.Second; return at }

	It("keeps the error event of a started stream", func() {
		a, err := load.ReadStream(strings.NewReader("data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: {\"error\":{\"code\":\"timeout\",\"outcome\":\"partial\"}}\n\n"), elapsed)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Done).To(BeFalse())
		Expect(a.Failure.Outcome).To(Equal(openai.Partial))
		Expect(a.Text).To(Equal("x"))
	})

	It("does not treat an answer without the end marker as complete", func() {
		a, err := load.ReadStream(strings.NewReader("data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n"), elapsed)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Done).To(BeFalse())
	})
})

var _ = Describe("MeasurePrefill", func() {
	It("counts as wasted what the engines computed and no answer used, and names engines that restarted", func() {
		useful := load.Record{Arrival: load.Arrival{Service: -1}, Complete: true, Correct: true}
		useful.Usage = openai.Usage{PromptTokens: 100, PromptTokensDetails: &openai.PromptDetails{CachedTokens: 20}}
		before := map[string]load.EngineStats{"one": {PrefillTokens: 50}, "two": {PrefillTokens: 50}}
		after := map[string]load.EngineStats{"one": {PrefillTokens: 150}, "two": {PrefillTokens: 10}}
		p := load.MeasurePrefill(before, after, []load.Record{useful})
		Expect(p.Tokens).To(Equal(int64(100)))
		Expect(p.Wasted).To(BeNumerically("~", 0.2, 1e-9))
		Expect(p.UnreadEngines).To(Equal([]string{"two"}))
	})
})
