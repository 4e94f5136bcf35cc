package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	api "tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/lab/standin/engine"
)

const limit = 10 * time.Second

type running struct {
	*engine.Engine
	url string
}

func start(o engine.Options) running {
	e := engine.New(o)
	s := httptest.NewServer(e.Handler())
	DeferCleanup(func() {
		e.Close()
		s.CloseClientConnections()
		s.Close()
	})
	return running{e, s.URL}
}

type body map[string]any

func (r running) post(ctx context.Context, path string, b body) (*http.Response, error) {
	raw, err := json.Marshal(b)
	Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+path, bytes.NewReader(raw))
	Expect(err).NotTo(HaveOccurred())
	return http.DefaultClient.Do(req)
}

func (r running) call(b body) (int, []byte) {
	resp, err := r.post(context.Background(), "/v1/completions", b)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, raw
}

func (r running) prefill(id, prompt string) api.PrefillResult {
	status, raw := r.call(body{"prompt": prompt, "request_id": id, "kv_transfer_params": api.KVTransfer{DoRemoteDecode: true}})
	Expect(status).To(Equal(http.StatusOK), string(raw))
	var result api.PrefillResult
	Expect(json.Unmarshal(raw, &result)).To(Succeed())
	return result
}

// tokens reads a stream's chunks of one id until its end.
func tokens(r io.Reader, id string) (texts []string, done bool) {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		line, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if line == "[DONE]" {
			return texts, true
		}
		var c openai.Completion
		if ok && json.Unmarshal([]byte(line), &c) == nil && c.ID == id {
			texts = append(texts, *c.Choices[0].Text)
		}
	}
	return texts, false
}

var _ = Describe("engine", func() {
	prompt := strings.Repeat("visit log of a fountain; ", 200)

	It("responds to a split request with the output of the prompt, and holds no memory afterwards", func() {
		p, d := start(engine.Options{Role: engine.RolePrefill}), start(engine.Options{Role: engine.RoleDecode})
		kv := p.prefill("a", prompt).KVTransfer
		Expect(p.Requests().Requests).To(HaveLen(1))
		resp, err := d.post(context.Background(), "/v1/completions", body{"prompt": prompt, "request_id": "a", "max_tokens": 9,
			"stream": true, "kv_transfer_params": kv})
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		texts, done := tokens(resp.Body, "a")
		Expect(done).To(BeTrue())
		Expect(texts).To(Equal(engine.Output(prompt, 9)))
		Expect(d.Stats().UsedBlocks).To(BeZero())
		Eventually(func() int64 { return p.Stats().UsedBlocks }, limit).Should(BeZero())
		Expect(p.Stats().WastedTokens).To(BeZero())
	})

	It("resumes a response at the token index of the continuation", func() {
		e := start(engine.Options{})
		all := engine.Output(prompt, 8)
		_, raw := e.call(body{"prompt": prompt, "max_tokens": 8,
			"continuation": api.Continuation{Text: strings.Join(all[:3], ""), Tokens: 3}})
		var c openai.Completion
		Expect(json.Unmarshal(raw, &c)).To(Succeed())
		Expect(*c.Choices[0].Text).To(Equal(strings.Join(all[3:], "")))
	})

	It("rejects with 429 when slots or memory are exhausted, and frees them when clients disconnect or cancel", func() {
		e := start(engine.Options{Slots: 2, Blocks: 3, BlockTokens: 2048, TokenInterval: time.Hour})
		ctx, disconnect := context.WithCancel(context.Background())
		for _, id := range []string{"a", "b"} {
			go func() {
				if resp, err := e.post(ctx, "/v1/completions", body{"prompt": "p", "request_id": id, "stream": true}); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
				}
			}()
		}
		Eventually(func() int { return e.Stats().UsedSlots }, limit).Should(Equal(2))
		status, raw := e.call(body{"prompt": "p"})
		Expect(status).To(Equal(http.StatusTooManyRequests))
		Expect(string(raw)).To(ContainSubstring(`"outcome":"not_run"`))
		resp, err := e.post(context.Background(), "/v1/requests/a/cancel", nil)
		Expect(err).NotTo(HaveOccurred())
		var result api.CancelResult
		Expect(json.NewDecoder(resp.Body).Decode(&result)).To(Succeed())
		Expect(result.Held).To(BeTrue())
		Expect(e.Stats().UsedSlots).To(Equal(1))
		disconnect()
		Eventually(func() int { return e.Stats().Requests }, limit).Should(BeZero())
		Expect(e.Stats().UsedBlocks).To(BeZero())
	})

	It("expires unfetched exports, counts them as wasted, and makes the decode engine report the missing KV cache", func() {
		p := start(engine.Options{Role: engine.RolePrefill, KVExpiry: time.Millisecond})
		d := start(engine.Options{Role: engine.RoleDecode})
		result := p.prefill("a", prompt)
		Eventually(func() int64 { return p.Stats().UsedBlocks }, limit).Should(BeZero())
		Expect(p.Stats().WastedTokens).To(Equal(result.PromptTokens))
		status, raw := d.call(body{"prompt": prompt, "kv_transfer_params": result.KVTransfer})
		Expect(status).To(Equal(http.StatusGone), string(raw))
		Expect(d.Stats().UsedBlocks).To(BeZero())
	})

	It("skips the prefill of cached blocks and reports them in cache events", func() {
		e := start(engine.Options{Role: engine.RolePrefill, PrefixCacheBlocks: 3})
		Expect(e.prefill("a", prompt).CachedTokens).To(BeZero())
		hashes := api.BlockHashes(prompt)
		Expect(hashes).To(HaveLen(len(prompt) / api.CacheBlockBytes))
		// Of four stored blocks the first one is evicted, so the prefix no longer matches.
		Expect(e.prefill("b", prompt).CachedTokens).To(BeZero())
		short := prompt[:2*api.CacheBlockBytes+1]
		e.prefill("c", short)
		Expect(e.prefill("d", short).CachedTokens).To(Equal(int64(2 * api.CacheBlockBytes / 4)))
		resp, err := http.Get(e.url + "/cache-events?since=1")
		Expect(err).NotTo(HaveOccurred())
		var page api.CacheEventPage
		Expect(json.NewDecoder(resp.Body).Decode(&page)).To(Succeed())
		Expect(page.Events[0]).To(Equal(api.CacheEvent{Seq: 2, Op: api.CacheStored, Block: hashes[0]}))
	})

	It("aborts streams, stalls transfers, and stops responding on existing connections only", func() {
		p, d := start(engine.Options{Role: engine.RolePrefill}), start(engine.Options{Role: engine.RoleDecode})
		d.SetFaults(engine.Faults{KillStreamAfter: 4, KillStreams: 1, CrossReplies: true})
		decode := func(ctx context.Context, id string) ([]string, bool, error) {
			kv := p.prefill(id, prompt).KVTransfer
			resp, err := d.post(ctx, "/v1/completions", body{"prompt": prompt, "request_id": id, "max_tokens": 6,
				"stream": true, "kv_transfer_params": kv})
			if err != nil {
				return nil, false, err
			}
			defer resp.Body.Close()
			texts, done := tokens(resp.Body, id)
			// The client reuses the connection only if the body was read to its end.
			_, _ = io.Copy(io.Discard, resp.Body)
			return texts, done, nil
		}
		texts, done, err := decode(context.Background(), "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(done).To(BeFalse())
		Expect(texts).To(Equal(engine.Output(prompt, 4)))

		d.SetFaults(engine.Faults{StallTransfers: true})
		ctx, cancel := context.WithCancel(context.Background())
		stalled := make(chan error, 1)
		go func() {
			_, _, err := decode(ctx, "b")
			stalled <- err
		}()
		Eventually(func() string { return phaseOf(d.Requests()) }, limit).Should(Equal(string(api.PhaseImport)))
		// The phase begins before the fetch; only a transfer in progress can be aborted.
		Eventually(func() int { return d.Stats().Transfers }, limit).Should(Equal(1))
		cancel()
		Eventually(stalled, limit).Should(Receive(HaveOccurred()))
		Eventually(func() int { return d.Stats().Requests + p.Stats().Requests }, limit).Should(BeZero())
		Expect([]int64{d.Stats().AnswersCut, d.Stats().AnswersCompleted}).To(Equal([]int64{2, 0}))

		d.SetFaults(engine.Faults{})
		_, done, err = decode(context.Background(), "c")
		Expect(err).NotTo(HaveOccurred())
		Expect(done).To(BeTrue())
		d.SetFaults(engine.Faults{Silent: true})
		ctx, cancel = context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, _, err = decode(ctx, "d")
		Expect(err).To(MatchError(context.DeadlineExceeded))
		http.DefaultClient.CloseIdleConnections()
		_, done, err = decode(context.Background(), "e")
		Expect(err).NotTo(HaveOccurred())
		Expect(done).To(BeTrue())
	})

	It("rejects orders with an outdated fencing number only if it checks fencing numbers", func() {
		for _, checks := range []bool{true, false} {
			e := start(engine.Options{ChecksFencing: checks})
			statuses := []int{}
			for _, fencing := range []uint64{2, 1} {
				resp, err := e.post(context.Background(), "/orders", body{"kind": api.OrderLoadModel, "argument": "m", "fencing": fencing})
				Expect(err).NotTo(HaveOccurred())
				resp.Body.Close()
				statuses = append(statuses, resp.StatusCode)
			}
			Expect(statuses).To(Equal([]int{http.StatusOK, map[bool]int{true: http.StatusConflict, false: http.StatusOK}[checks]}))
		}
	})
})

func phaseOf(l api.RequestList) string {
	if len(l.Requests) != 1 {
		return ""
	}
	return string(l.Requests[0].Phase)
}
