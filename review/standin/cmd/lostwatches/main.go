// Command lostwatches has the store of a large fleet fall silent for a second right after a change of the configuration, and checks that
// the change at the end of the outage is in force at all routers in time.
package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"tanagerwood.review/standin/testbed"
)

const (
	routerCount = 160
	// configApply and stableWindow are the bounds config_apply_ms and stable_window_ms of the large installation.
	configApply  = 4 * time.Second
	stableWindow = 5 * time.Second
	outage       = time.Second
	episodes     = 6
	settle       = 3 * time.Second
	deadline     = time.Second
	// runLimit ends the run before the script's time is over.
	runLimit = 108 * time.Second
)

func main() {
	code, err := run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		code = 2
	}
	os.Exit(code)
}

// operator writes configurations; each has one more route than the last one.
type operator struct {
	store   *testbed.Store
	version int
	routes  []any
}

// addRoute writes a configuration with a new route, and returns the prefix of the route and the time of the store's ack.
func (o *operator) addRoute() (prefix string, acked time.Time) {
	o.version += 3
	prefix = fmt.Sprintf("/route%d/", o.version)
	o.routes = append(o.routes, map[string]any{
		"name": fmt.Sprintf("r-%d", o.version), "host": testbed.Host, "path_prefix": prefix, "kind": "safe", "timeout_ms": deadline.Milliseconds(), "target_latency_ms": 150,
		"priority": 2, "service": "kaunter", "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
	})
	for !o.store.Put("config", "main", map[string]any{
		"version": o.version, "routes": o.routes,
		"services": []any{map[string]any{"name": "kaunter", "health_path": "/health", "max_connections": 1800, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "customer-1", "api_keys": []any{"key-of-customer-1"}, "priority": 1, "unit": "token_stream", "plain_tokens": 200, "rate_per_s": 499570, "burst": 499570}},
	}) {
		time.Sleep(time.Millisecond)
	}
	return prefix, time.Now()
}

func run(dir, temp string, trouble bool) (code int, err error) {
	record := testbed.NewRecord()
	defer func() { err = errors.Join(err, record.Write(dir+"/record.txt")) }()
	store, servers := testbed.NewStore(), &testbed.Servers{}
	o := &operator{store: store, version: 7}
	o.addRoute()
	for n := range 3 {
		s := &testbed.Server{ID: fmt.Sprintf("i-kaunter-%d", n+1), Service: "kaunter", Zone: "gouda", Slots: 400, Work: 5 * time.Millisecond}
		if err := servers.Start(s, store, record.Start(), time.Duration(n)*300*time.Millisecond); err != nil {
			return 2, err
		}
	}
	address, err := testbed.ServeStore(store)
	if err != nil {
		return 2, err
	}
	routers, err := testbed.StartRouters(routerCount, address, temp, testbed.Bounds{ConfigApply: configApply, Drain: 4 * time.Second})
	defer func() {
		var group sync.WaitGroup
		for _, r := range routers {
			group.Go(r.Kill)
		}
		group.Wait()
	}()
	if err != nil {
		return 2, err
	}
	if err := testbed.AwaitReady(routers, 25*time.Second); err != nil {
		return 2, err
	}
	record.Add("%d routers are ready", len(routers))
	time.Sleep(5 * time.Second)
	stale, asked := 0, 0
	for n := range episodes {
		if time.Since(record.Start()) > runLimit-settle-outage-stableWindow-2*time.Second {
			break
		}
		time.Sleep(settle)
		o.addRoute()
		record.Add("episode %d: version %d acknowledged", n+1, o.version)
		time.Sleep(50 * time.Millisecond)
		if trouble {
			store.SetMode(testbed.Silent)
			record.Add("the store is silent")
		}
		time.Sleep(outage)
		store.SetMode(testbed.Serving)
		ended := time.Now()
		prefix, acked := o.addRoute()
		record.Add("the store answers; version %d with the route %s acknowledged", o.version, prefix)
		time.Sleep(time.Until(ended.Add(stableWindow + 50*time.Millisecond)))
		late := ask(record, routers, prefix, acked, n)
		asked += len(routers)
		stale += late
		record.Add("episode %d: %d of %d routers refused the route with 404", n+1, late, len(routers))
	}
	record.Add("result: %d of %d requests were handled as only an older version allows", stale, asked)
	if asked == 0 {
		return 2, errors.New("no time was left for an episode")
	}
	if stale > 0 {
		return 1, nil
	}
	return 0, nil
}

// ask sends a request on a route to each router, and returns how many were refused as only an older version allows.
func ask(record *testbed.Record, routers []*testbed.Router, prefix string, acked time.Time, episode int) (stale int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for n, r := range routers {
		group.Go(func() {
			a := testbed.NewConsumer().Send(r, testbed.Request{ID: fmt.Sprintf("%08x%08x", episode+1, n+1), Method: "GET", Path: prefix + "2f", Key: "key-of-customer-1", Deadline: deadline})
			if a.Status == 200 {
				return
			}
			record.AddAnswer(a)
			if a.Status != 404 {
				return
			}
			record.Add("CONFIG  %s was sent to %s %.3f s after the ack", a.Request.ID, r.Name, a.Sent.Sub(acked).Seconds())
			mu.Lock()
			stale++
			mu.Unlock()
		})
	}
	group.Wait()
	return stale
}
