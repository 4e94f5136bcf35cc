// Command stopwaiting stops a router with SIGTERM while requests wait there for a place at an engine, and checks that each of them is
// answered.
package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"tanagerwood.review/standin/testbed"
)

const (
	events   = 60
	eventGap = 200 * time.Millisecond // a stream takes 12 s
	timeout  = 30 * time.Second
	target   = 15 * time.Second
	// grace and lossSlack are the bounds grace_s and loss_slack_ms.
	grace     = 8 * time.Second
	lossSlack = 200 * time.Millisecond
	places    = 4
	waiting   = 4
)

func main() {
	code, err := run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		code = 2
	}
	os.Exit(code)
}

func configuration() any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-briefing", "host": testbed.Host, "path_prefix": "/briefing/", "kind": "streaming", "timeout_ms": timeout.Milliseconds(),
			"target_latency_ms": target.Milliseconds(), "gap_aim_ms": 300, "priority": 1, "service": "writers", "max_attempts": 1, "public": false, "sticky": true, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "writers", "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 2, "kv_token_capacity": 37745, "kv_token_bytes": 35136, "link_mbps": 1100000.0, "moves": true, "backups": true, "stride": 1, "most": 12, "handle_ttl_s": 0.5,
			"switch_time_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": []any{map[string]any{"name": "m"}},
		}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "customer-1", "api_keys": []any{"key-of-customer-1"}, "priority": 1, "unit": "token_stream", "plain_tokens": 200, "rate_per_s": 49957, "burst": 49957}},
	}
}

func run(dir, temp string, trouble bool) (code int, err error) {
	record := testbed.NewRecord()
	defer func() { err = errors.Join(err, record.Write(dir+"/record.txt")) }()
	store, servers := testbed.NewStore(), &testbed.Servers{}
	store.Put("config", "main", configuration())
	for n, stage := range []string{"prefill", "decode", "decode"} {
		s := &testbed.Server{ID: fmt.Sprintf("i-writer-%d", n+1), Service: "writers", Zone: "gouda", Stage: stage, Slots: 2, Events: events, EventGap: eventGap}
		if err := servers.Start(s, store, record.Start(), time.Duration(n)*100*time.Millisecond); err != nil {
			return 2, err
		}
	}
	address, err := testbed.ServeStore(store)
	if err != nil {
		return 2, err
	}
	routers, err := testbed.StartRouters(2, address, temp, testbed.SmallBounds)
	defer func() {
		for _, r := range routers {
			r.Kill()
		}
	}()
	if err != nil {
		return 2, err
	}
	if err := testbed.AwaitReady(routers, 10*time.Second); err != nil {
		return 2, err
	}
	time.Sleep(2 * time.Second)
	stopped := routers[0]

	var group sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]testbed.Answer{}
	send := func(id string) {
		group.Go(func() {
			record.Add("send    %s to %s", id, stopped.Name)
			a := testbed.NewConsumer().Send(stopped, testbed.Request{ID: id, Method: "POST", Path: "/briefing/2f", Key: "key-of-customer-1", Body: "a visit log",
				Deadline: timeout, Tokens: "1460,60", Prefix: "5c1e07a2:800," + id + ":660"})
			record.AddAnswer(a)
			mu.Lock()
			answers[id] = a
			mu.Unlock()
		})
	}
	for n := range places {
		send(fmt.Sprintf("b10000000000000%d", n))
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	var waiters []string
	for n := range waiting {
		id := fmt.Sprintf("c20000000000000%d", n)
		waiters = append(waiters, id)
		send(id)
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	stop := time.Now()
	if trouble {
		record.Add("SIGTERM to %s, the only disruption of this run", stopped.Name)
		stopped.Signal(syscall.SIGTERM)
		time.AfterFunc(grace, func() { stopped.Signal(syscall.SIGKILL) }) // as the platform does
		go func() {
			<-stopped.Exited()
			record.Add("the process of %s has ended, %.3f s after the SIGTERM", stopped.Name, stopped.ExitedAt.Sub(stop).Seconds())
		}()
	}
	group.Wait()
	time.Sleep(200 * time.Millisecond)

	runs := servers.Runs()
	for _, r := range runs {
		record.Add("ran     %s at %s from %.3f to %.3f, whole: %t", r.ID, r.Server, r.Began.Sub(record.Start()).Seconds(), r.Ended.Sub(record.Start()).Seconds(), r.Whole)
	}
	for _, line := range stopped.Grep(`"event":"request.ended"`) {
		record.Add("log of %s: %s", stopped.Name, line)
	}
	lost := 0
	for _, a := range answers {
		if a.Whole() || excused(a, runs, stop) {
			continue
		}
		lost++
		record.Add("LOST    %s: its channel ended %.3f s after the request was sent, with no answer", a.Request.ID, a.At.Sub(a.Sent).Seconds())
	}
	refused := 0
	for _, id := range waiters {
		if a := answers[id]; a.Whole() && a.Status == 503 {
			refused++
		}
	}
	record.Add("result: %d of %d requests lost; of the %d that waited, %d were answered with 503", lost, len(answers), waiting, refused)
	if lost > 0 {
		return 1, nil
	}
	return 0, nil
}

// excused reports whether LOST does not count a request without a whole answer: its time was over, its channel ended within
// loss_slack_ms and it reached no server, or a server was still at work on it in the last sixth of grace_s.
func excused(a testbed.Answer, runs []testbed.Run, stop time.Time) bool {
	if a.At.Sub(a.Sent) >= timeout {
		return true
	}
	passedOn := false
	for _, r := range runs {
		if r.ID != a.Request.ID {
			continue
		}
		passedOn = true
		if r.Ended.IsZero() || !r.Ended.Before(stop.Add(grace-grace/6)) && a.Sent.Before(stop.Add(3*time.Second)) {
			return true
		}
	}
	return !passedOn && a.At.Sub(a.Sent) <= lossSlack
}
