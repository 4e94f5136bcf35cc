// Package adapter_test holds the tests of what the clients of all adapters have in common.
package adapter_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/membudget"
	apiplatform "tanagerwood.dev/api/platform"
	"tanagerwood.dev/platform/standin"
	"tanagerwood.dev/router/internal/adapter/enginehttp"
	"tanagerwood.dev/router/internal/adapter/peerhttp"
	"tanagerwood.dev/router/internal/adapter/platformhttp"
	"tanagerwood.dev/router/internal/adapter/servicehttp"
	"tanagerwood.dev/router/internal/port"
)

const (
	junkCalls = 300
	// The budget is as large as in an instance, and memoryBytes what an instance has.
	allowance, budget = 16 << 10, 16 << 20
	memoryBytes       = 128 << 20
	deadline          = 20 * time.Second
)

// callFunc makes one call to a server at a URL with a new client's connections.
type callFunc func(ctx context.Context, url string) error

// clients returns a call of each client that reads answers, by what it reads. Calls that may have a large body send the upload in it.
func clients(upload string) map[string]callFunc {
	memory := membudget.New(allowance, budget)
	log := event.NewLog("r1", "1", 64, time.Now)
	engines := enginehttp.New(enginehttp.Options{PrefillTimeout: deadline, FirstTokenTimeout: deadline, ProgressTimeout: deadline,
		ProbeInterval: deadline, ManagementTimeout: deadline}, log)
	services := servicehttp.New(nil)
	timeouts := peerhttp.DefaultTimeouts()
	timeouts.Claims = deadline
	peers := peerhttp.NewClient("token", timeouts, log, peerhttp.NewTransport())
	engines.LimitMemory(memory)
	services.LimitMemory(memory)
	peers.LimitMemory(memory)
	platformAt := platformClients(memory)
	call := port.EngineCall{Path: "/v1/completions", Body: []byte(`{"prompt":"` + upload + `"}`)}
	return map[string]callFunc{
		"prefill": func(ctx context.Context, url string) error {
			_, err := engines.Prefill(ctx, port.Endpoint{Name: "e", URL: url}, call)
			return err
		},
		"decode": func(ctx context.Context, url string) error {
			stream, err := engines.Decode(ctx, port.Endpoint{Name: "e", URL: url}, call)
			if err != nil {
				return err
			}
			defer stream.Close()
			for err == nil {
				_, err = stream.Next()
			}
			if err == io.EOF {
				return nil
			}
			return err
		},
		"management": func(ctx context.Context, url string) error {
			_, err := engines.Requests(ctx, port.Endpoint{Name: "e", URL: url})
			return err
		},
		"service": func(ctx context.Context, url string) error {
			_, err := services.Call(ctx, port.Endpoint{Name: "s", URL: url},
				port.ServiceCall{Method: http.MethodPost, Path: "/", Body: []byte(upload), NewConnection: true})
			return err
		},
		"pooled service": func(ctx context.Context, url string) error {
			_, err := services.Call(ctx, port.Endpoint{Name: "s", URL: url}, port.ServiceCall{Method: http.MethodPost, Path: "/", Body: []byte(upload)})
			return err
		},
		"peer": func(ctx context.Context, url string) error {
			_, err := peers.Snapshot(ctx, url)
			return err
		},
		"platform": func(ctx context.Context, url string) error {
			_, err := platformAt(url).Get(ctx, apiplatform.KindCatalogue, apiplatform.SingletonName)
			return err
		},
		"platform write": func(ctx context.Context, url string) error {
			_, err := platformAt(url).Create(ctx, apiplatform.KindCatalogue, apiplatform.SingletonName, []byte(`"`+upload+`"`))
			return err
		},
	}
}

// platformClients returns a function that returns the client of the platform at a URL, the same one each time.
func platformClients(memory *membudget.Budget) func(url string) *platformhttp.Client {
	var mu sync.Mutex
	clients := map[string]*platformhttp.Client{}
	return func(url string) *platformhttp.Client {
		mu.Lock()
		defer mu.Unlock()
		if clients[url] == nil {
			clients[url] = platformhttp.New(platformhttp.Options{BaseURL: url, Timeout: deadline})
			clients[url].LimitMemory(memory)
		}
		return clients[url]
	}
}

// Guards against the sum of what hundreds of calls hold of answers that never end, which took the process's memory although each single
// answer was bounded, and against ordinary calls that fail meanwhile.
func TestAnswersWithoutEndTakeASmallPartOfTheMemory(t *testing.T) {
	healthy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"version":1}` + strings.Repeat(" ", 4<<10)))
	}))
	t.Cleanup(healthy.Close)
	for client, call := range clients("") {
		for answer, junk := range map[string]*standin.Junk{
			"header lines":    {Beginning: "HTTP/1.1 200 OK\r\n", Filler: "X-A: b\r\n", Burst: 60 << 10},
			"one header line": {Beginning: "HTTP/1.1 200 OK\r\nX-A: ", Filler: "aaaaaaaa", Burst: 60 << 10},
			"interim answer":  {Beginning: "HTTP/1.1 103 Early Hints\r\n", Filler: "X-A: b\r\n", Burst: 60 << 10},
			"body":            {Beginning: "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\ndata: ", Filler: "aaaaaaaa", Burst: 300 << 10},
			"chunks":          {Beginning: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Filler: "8\r\naaaaaaaa\r\n", Burst: 300 << 10},
			"failure":         {Beginning: "HTTP/1.1 500 Oops\r\nContent-Length: 100000000\r\n\r\n", Filler: "aaaaaaaa", Burst: 300 << 10},
			"trailer":         {Beginning: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", Filler: "X-A: b\r\n", Burst: 60 << 10},
		} {
			t.Run(client+" "+answer, func(t *testing.T) {
				checkHeld(t, call, junk, healthy.URL)
			})
		}
	}
}

func checkHeld(t *testing.T, call callFunc, junk *standin.Junk, healthy string) {
	address, err := junk.Start()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	var group sync.WaitGroup
	before := liveHeap()
	for range junkCalls {
		group.Go(func() { _ = call(ctx, "http://"+address) })
	}
	for junk.Answered() < junkCalls && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond) // what was sent is read
	if held := liveHeap() - before; held > memoryBytes/3 {
		t.Errorf("%d MB are held", held>>20)
	}
	if err := call(ctx, healthy); err != nil && strings.Contains(err.Error(), membudget.ErrExhausted.Error()) {
		t.Error("an ordinary call failed:", err)
	}
	cancel()
	group.Wait()
	junk.Close()
}

// liveHeap returns the size of the reachable heap.
func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
