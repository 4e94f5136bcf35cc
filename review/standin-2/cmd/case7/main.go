// Command case7 stops an instance as planned while consumers read their streams slowly, and checks LOST.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"review.test/standin2/kit"
)

const (
	consumers = 8
	// events is the number of events of a stream, eventBytes the size of the data of each, eventGap the time between them.
	events, eventBytes = 70, 250
	eventGap           = 20 * time.Millisecond
	// window is the size of the receive buffer of a consumer. The first part of the answer is read before the pause.
	window, firstPart = 4096, 400
	// pause is how long a consumer reads nothing. It gives a stream up after 3.2 s without an event: four times target_latency_ms.
	pause = 3 * time.Second
	// grace is grace_s, termDelay the time from the requests to the SIGTERM.
	grace     = 8 * time.Second
	termDelay = 500 * time.Millisecond
)

func main() {
	kit.Begin(os.Args[1])
	store := kit.StartStore("127.0.0.2")
	server := kit.StartServer("127.0.0.3", "i-1")
	server.Respond = stream
	store.Register(server.ID, "writer", server.Address, "z1", "", 64)
	route := kit.Route("brief", "/brief/", "streaming", "writer", 14000)
	route["target_latency_ms"] = 800
	store.Put("config", "main", kit.Config(7, "writer", route))
	r := kit.NewRouter("front-1", "127.0.0.11", "z1", store.Address, kit.FreePorts("127.0.0.11"), "127.0.0.11:1")
	r.Start()
	r.AwaitReady(10 * time.Second)
	time.Sleep(5 * time.Second) // stable_window_ms and more
	lost := make(chan bool, consumers)
	var wg sync.WaitGroup
	for n := range consumers {
		wg.Go(func() { lost <- consume(r.Callers, fmt.Sprint("q", n), server) })
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
	kit.Log("%d of %d requests that a server has run to its end have no complete answer", count, consumers)
	fmt.Printf("LOST: %d of %d\n", count, consumers)
	if count > 0 {
		kit.End(kit.Broken)
	}
	kit.End(kit.Held)
}

// stream writes the events as a server does.
func stream(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	data := strings.Repeat("x", eventBytes)
	for n := 1; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data); err != nil {
			kit.Log("the server's answer is broken off: %v", err)
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(eventGap)
	}
}

// consume sends a request and reads the answer, with a pause if there is trouble. It reports whether the answer is lost.
func consume(address, id string, server *kit.Server) (lost bool) {
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) (err error) {
		controlErr := c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window) })
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	c, err := dialer.Dial("tcp", address)
	if err != nil {
		kit.Unable("%v", err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /brief/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 14000\r\nContent-Length: 2\r\n\r\nhi", id)
	kit.Log("%s is sent", id)
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 256), nil)
	if err != nil {
		kit.Log("%s: no answer: %v", id, err)
		return server.Ran(id) > 0
	}
	var body bytes.Buffer
	_, err = io.CopyN(&body, resp.Body, firstPart)
	if err == nil && kit.Trouble() {
		kit.Log("%s: the consumer reads nothing for %s", id, pause)
		time.Sleep(pause)
	}
	if err == nil {
		_, err = io.Copy(&body, resp.Body)
	}
	got := bytes.Count(body.Bytes(), []byte("\n\n"))
	kit.Log("%s: status %d, %d of %d events, then %v", id, resp.StatusCode, got, events, err)
	return resp.StatusCode == http.StatusOK && (err != nil || got != events)
}
