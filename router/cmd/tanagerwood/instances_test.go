package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/router/internal/adapter/operators"
	"tanagerwood.dev/router/internal/app/drain"
)

// serveJSON starts a server that answers every request with a value as JSON.
func serveJSON(value func() any) *httptest.Server {
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(value())
	}))
	DeferCleanup(web.Close)
	return web
}

var _ = Describe("commands that read instances", func() {
	ctx := context.Background()

	// Guards against a status that hides an instance which lags behind or does not answer.
	It("shows what each instance has in force, and which do not answer", func() {
		ahead := serveJSON(func() any {
			return operators.Status{Instance: "klang-1", Revision: 9, CheckedRevision: 10, Ready: true,
				Shares: []operators.Share{{Customer: "kedai", Rate: 12.5}}}
		})
		behind := serveJSON(func() any {
			return operators.Status{Instance: "ipoh-1", Revision: 8, CheckedRevision: 8, CheckedRevisionValid: true, NotReady: []string{"not confirmed"}}
		})
		unreachable := httptest.NewServer(http.NotFoundHandler())
		unreachable.Close()
		out := &bytes.Buffer{}
		err := (&statusFlags{operators: urlList{ahead.URL, behind.URL, unreachable.URL}}).run(ctx, out, nil)
		Expect(exitCode(err)).To(Equal(exitUnreachable))
		Expect(out.String()).To(SatisfyAll(ContainSubstring("9 (10 refused)"), ContainSubstring("8 (behind)"),
			ContainSubstring("does not answer"), ContainSubstring("kedai 12.5 tokens/s"), ContainSubstring("not ready: not confirmed")))
	})

	It("begins a planned stop and follows it until the instance is gone", func() {
		phases := []drain.Phase{drain.PhaseNotice, drain.PhaseFinishing}
		web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if len(phases) == 0 {
				panic(http.ErrAbortHandler) // the instance is gone
			}
			_ = json.NewEncoder(w).Encode(operators.Status{Phase: phases[0]})
			phases = phases[1:]
		}))
		DeferCleanup(web.Close)
		out := &bytes.Buffer{}
		Expect((&drainFlags{operatorURL: web.URL, wait: time.Minute}).run(ctx, out, nil)).To(Succeed())
		Expect(out.String()).To(SatisfyAll(ContainSubstring("notice"), ContainSubstring("finishing"), ContainSubstring("stopped")))
	})

	// Guards against sorting by wall clock: the engine's clock is 30 s behind, but its events come after the router's. The event
	// log corrects wall clocks that differ by less than a minute.
	It("merges timelines in causal order in spite of wrong wall clocks, and writes a Chrome trace", func() {
		start := time.Unix(1_700_000_000, 0)
		router := event.NewLog("router", "1", 16, func() time.Time { return start })
		engine := event.NewLog("engine", "1", 16, func() time.Time { return start.Add(-30 * time.Second) })
		message := func(from, to *event.Log) {
			header := http.Header{}
			from.SetHeader(header)
			to.ObserveHeader(header)
		}
		router.Record(event.Event{Kind: event.RequestAccepted, Request: "r.1"})
		message(router, engine)
		engine.Record(event.Event{Kind: event.PrefillStarted, Request: "r.1.1"})
		engine.Record(event.Event{Kind: event.PrefillEnded, Request: "r.1.1"})
		message(engine, router)
		router.Record(event.Event{Kind: event.TransferStarted, Request: "r.1.1"})
		router.Record(event.Event{Kind: event.DecodeStarted, Request: "r.1.1"})
		router.Record(event.Event{Kind: event.RequestEnded, Request: "r.1"})
		router.Record(event.Event{Kind: event.RequestAccepted, Request: "r.10"})
		one := serveJSON(func() any { return engine.Since(0) })
		two := serveJSON(func() any { return router.Since(0) })
		out := &bytes.Buffer{}
		file := filepath.Join(GinkgoT().TempDir(), "trace.json")
		c := &timelineFlags{processes: urlList{one.URL, two.URL}, request: "r.1", chrome: file}
		Expect(c.run(ctx, out, nil)).To(Succeed())
		var kinds []string
		for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
			kinds = append(kinds, strings.Fields(line)[2])
		}
		Expect(kinds).To(Equal([]string{"request.accepted", "prefill.started", "prefill.ended",
			"transfer.started", "decode.started", "request.ended"}))
		data, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		var written trace
		Expect(json.Unmarshal(data, &written)).To(Succeed())
		var phases []string
		last, begun := 0.0, 0.0
		for _, e := range written.Events {
			if e.Phase == "M" {
				continue
			}
			phases = append(phases, e.Phase+" "+e.Name)
			Expect(e.Micros).To(BeNumerically(">=", last), "the trace must keep the causal order")
			last = e.Micros
			if e.Phase == "b" { // one event may end a span and begin another, but never begin two
				Expect(e.Micros).To(BeNumerically(">", begun))
				begun = e.Micros
			}
		}
		Expect(phases).To(Equal([]string{"b request", "b prefill", "e prefill", "b transfer",
			"e transfer", "b decode", "e decode", "e request"}), "no span may stay open after its request")
	})
})
