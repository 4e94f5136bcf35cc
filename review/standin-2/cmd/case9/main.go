// Command case9 stops an instance as planned while long answers of safe requests are under way, and checks LOST.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"review.test/standin2/kit"
)

const (
	consumers = 8
	// timeoutMS is the route's timeout and the consumers' deadline.
	timeoutMS = 3000
	// An answer has pieces of pieceBytes each. slowGap is the time between them at a server that takes 2 s for it, fastGap at one that takes 0.4 s.
	pieces, pieceBytes = 20, 10_000
	slowGap, fastGap   = 100 * time.Millisecond, 20 * time.Millisecond
	// grace is grace_s, termDelay the time from the requests to the SIGTERM.
	grace     = 8 * time.Second
	termDelay = 300 * time.Millisecond
)

func main() {
	kit.Begin(os.Args[1])
	store := kit.StartStore("127.0.0.2")
	gap := fastGap
	if kit.Trouble() {
		gap = slowGap
	}
	var servers []*kit.Server
	for i := range 3 {
		s := kit.StartServer("127.0.0.3", fmt.Sprint("i-", i))
		s.Respond = func(w http.ResponseWriter, r *http.Request) { respond(w, r, gap) }
		store.Register(s.ID, "desk", s.Address, "z1", "", 6)
		servers = append(servers, s)
	}
	route := kit.Route("report", "/report/", "safe", "desk", timeoutMS)
	route["target_latency_ms"] = 300
	store.Put("config", "main", kit.Config(7, "desk", route))
	r := kit.NewRouter("front-1", "127.0.0.11", "z1", store.Address, kit.FreePorts("127.0.0.11"), "127.0.0.11:1")
	r.Start()
	r.AwaitReady(10 * time.Second)
	time.Sleep(4 * time.Second) // stable_window_ms and more
	lost := make(chan bool, consumers)
	var wg sync.WaitGroup
	for n := range consumers {
		wg.Go(func() { lost <- consume(r.Callers, fmt.Sprint("q", n), servers) })
	}
	time.Sleep(termDelay)
	r.Signal(syscall.SIGTERM)
	wg.Wait()
	kit.Log("the process has ended within grace_s: %v", r.Ended(grace))
	count := 0
	for range consumers {
		if <-lost {
			count++
		}
	}
	for line := range strings.Lines(r.LogTail("request.ended", consumers)) {
		kit.Log("%s logs %s", r.Name, strings.TrimSpace(line))
	}
	kit.Log("%d of %d requests that were passed on to a server have no complete answer", count, consumers)
	fmt.Printf("LOST: %d of %d\n", count, consumers)
	if count > 0 {
		kit.End(kit.Broken)
	}
	kit.End(kit.Held)
}

// respond writes a long answer as a server does that makes it piece by piece.
func respond(w http.ResponseWriter, r *http.Request, gap time.Duration) {
	w.Header().Set("Content-Length", strconv.Itoa(pieces*pieceBytes))
	for n := range pieces {
		time.Sleep(gap)
		if _, err := w.Write(make([]byte, pieceBytes)); err != nil {
			kit.Log("the answer to %s is broken off after %d pieces: %v", r.Header.Get("X-Request-Id"), n, err)
			return
		}
		w.(http.Flusher).Flush()
	}
}

// consume sends a request and reads the answer. It reports whether the answer is lost before the deadline.
func consume(address, id string, servers []*kit.Server) (lost bool) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/report/1", nil)
	if err != nil {
		kit.Unable("%v", err)
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.Itoa(timeoutMS))
	sent, got, status := time.Now(), int64(0), 0
	resp, err := (&http.Transport{}).RoundTrip(req)
	if err == nil {
		status = resp.StatusCode
		got, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	took, ran := time.Since(sent), 0
	for _, s := range servers {
		ran += s.Ran(id)
	}
	kit.Log("%s: status %d, %d of %d bytes after %.3f s, then %v; run by %d servers", id, status, got, pieces*pieceBytes, took.Seconds(), err, ran)
	return err != nil && ran > 0 && took < timeoutMS*time.Millisecond
}
