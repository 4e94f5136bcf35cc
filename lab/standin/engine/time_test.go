package engine_test

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	api "tanagerwood.dev/api/engine"
	"tanagerwood.dev/lab/standin/engine"
)

func get[T any](e *engine.Engine, path string) (v T) {
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	_ = json.Unmarshal(w.Body.Bytes(), &v)
	return v
}

// complete makes a call and recovers from the panic that aborts a response, on which net/http would close the connection.
func complete(e *engine.Engine, body string) {
	defer func() { _ = recover() }()
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
	e.Handler().ServeHTTP(httptest.NewRecorder(), r)
}

// Guards against wrong simulated times: a simulator that is faster or fairer than the fleet's engines would make the router
// look better than it is.
func TestSimulatedTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := engine.New(engine.Options{PrefillRate: 1000, TokenInterval: 10 * time.Millisecond, IntervalGrowth: 0.5, Blocks: 1000,
			LoadReportInterval: time.Second, CacheEventDelay: time.Second, CacheEventLoss: 0.5})
		defer e.Close()
		begun := time.Now()
		ended := map[int]time.Duration{}
		var mu sync.Mutex
		var calls sync.WaitGroup
		for _, priority := range []int{1, 3, 2} {
			calls.Go(func() {
				complete(e, `{"prompt":"`+strconv.Itoa(priority)+strings.Repeat("x", 3999)+`","max_tokens":1,"priority":`+strconv.Itoa(priority)+`}`)
				mu.Lock()
				defer mu.Unlock()
				ended[priority] = time.Since(begun)
			})
			synctest.Wait()
		}
		g.Expect(get[api.Load](e, "/load").Running).To(gomega.BeZero(), "reports lag")
		calls.Wait()
		step := time.Second + 10*time.Millisecond
		g.Expect(ended).To(gomega.Equal(map[int]time.Duration{1: step, 2: step + time.Second, 3: step + 2*time.Second}))
		report := get[api.Load](e, "/load")
		g.Expect(report.ReportedAtMS).To(gomega.Equal(begun.Add(2*time.Second).UnixMilli()), "the last report but one")
		g.Expect(report.Running).To(gomega.Equal(2), "slots are held from the arrival on")
		time.Sleep(time.Second)
		page := get[api.CacheEventPage](e, "/cache-events?since=0")
		g.Expect(page.Next).To(gomega.Equal(uint64(1 + 3*3)))
		g.Expect(len(page.Events)).To(gomega.And(gomega.BeNumerically(">", 1), gomega.BeNumerically("<", 10)), "events are lost")
		begun = time.Now()
		for range 2 {
			calls.Go(func() { complete(e, `{"prompt":"p","max_tokens":20}`) })
		}
		calls.Wait()
		g.Expect(time.Since(begun)).To(gomega.BeNumerically(">", 290*time.Millisecond), "the interval grows with the batch")
	})
}

// Guards against memory that stays allocated when a request is cancelled or its export expires at any moment.
func TestCancelReleasesMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := engine.New(engine.Options{PrefillRate: 500, TokenInterval: time.Millisecond, Slots: 4, Blocks: 8})
		defer e.Close()
		random := rand.New(rand.NewPCG(1, 2))
		var calls sync.WaitGroup
		for n := range 300 {
			export := []string{"false", "true"}[random.IntN(2)]
			calls.Go(func() {
				complete(e, `{"prompt":"p","max_tokens":20,"request_id":"`+strconv.Itoa(n)+`","kv_transfer_params":{"do_remote_decode":`+export+`}}`)
			})
			time.Sleep(time.Duration(random.IntN(4)) * time.Millisecond)
			w := httptest.NewRecorder()
			e.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/requests/"+strconv.Itoa(random.IntN(n+1))+"/cancel", nil))
		}
		calls.Wait()
		time.Sleep(time.Second)
		s := e.Stats()
		g.Expect([]int64{s.UsedBlocks, int64(s.UsedSlots), int64(s.Requests)}).To(gomega.Equal([]int64{0, 0, 0}))
		g.Expect([]int64{s.Refused, s.Cancels, s.AnswersCompleted, s.ExportsExpired}).To(gomega.HaveEach(gomega.BeNumerically(">", 0)), "%+v", s)
	})
}
