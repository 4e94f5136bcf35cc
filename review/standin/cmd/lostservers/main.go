// Command lostservers has the store come back from an outage in which entries expired, and forget its history while the servers
// register again. It checks that a service whose servers are registered and healthy is served afterwards.
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
	// outageBegins is a time since the start of the run. Entries expire during the outage.
	outageBegins = 6 * time.Second
	outage       = 4500 * time.Millisecond
	// forgets is the time from the end of the outage to the moment at which the store forgets its history.
	forgets = 1250 * time.Millisecond
	// stableWindow is the bound stable_window_ms.
	stableWindow = 3 * time.Second
	deadline     = time.Second
	// perRoute is the number of requests on each route in steady state.
	perRoute = 60
)

// phases are the times of the servers' heartbeats after each multiple of the heartbeat interval. After the outage, the servers of the
// service counter register again after 0.05, 1.05 and 1.06 s, and those of the service parts after 1.15 and 1.16 s.
var phases = map[string][]time.Duration{
	"counter": {950 * time.Millisecond, 750 * time.Millisecond, 760 * time.Millisecond},
	"parts":   {850 * time.Millisecond, 860 * time.Millisecond},
}

func main() {
	code, err := run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		code = 2
	}
	os.Exit(code)
}

func route(name, prefix, service string) any {
	return map[string]any{
		"name": name, "host": testbed.Host, "path_prefix": prefix, "kind": "safe", "timeout_ms": deadline.Milliseconds(), "target_latency_ms": 100, "priority": 2,
		"service": service, "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
	}
}

func service(name string) any {
	return map[string]any{"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}
}

func configuration(version int, routes, services []any) any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "customer-1", "api_keys": []any{"key-of-customer-1"}, "priority": 1, "unit": "token_stream", "plain_tokens": 200, "rate_per_s": 49957, "burst": 49957}},
	}
}

func run(dir, temp string, trouble bool) (code int, err error) {
	record := testbed.NewRecord()
	defer func() { err = errors.Join(err, record.Write(dir+"/record.txt")) }()
	epoch := record.Start()
	store, servers := testbed.NewStore(), &testbed.Servers{}
	store.OnServersAnswer(func(caller, what string) { record.Add("store   answered %s: %s of servers", caller, what) })
	first := []any{route("r-counter", "/counter/", "counter")}
	store.Put("config", "main", configuration(7, first, []any{service("counter")}))
	start := func(name string) error {
		for n, phase := range phases[name] {
			s := &testbed.Server{ID: fmt.Sprintf("i-%s-%d", name, n+1), Service: name, Zone: "gouda", Slots: 6, Work: 15 * time.Millisecond}
			if err := servers.Start(s, store, epoch, phase); err != nil {
				return err
			}
		}
		return nil
	}
	if err := start("counter"); err != nil {
		return 2, err
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
	if err := testbed.AwaitReady(routers, 3*time.Second); err != nil {
		return 2, err
	}
	time.Sleep(time.Until(epoch.Add(3 * time.Second)))
	if err := start("parts"); err != nil {
		return 2, err
	}
	store.Put("config", "main", configuration(12, append(first, route("r-parts", "/parts/", "parts")), []any{service("counter"), service("parts")}))
	record.Add("operator adds the route r-parts to the service parts")
	time.Sleep(time.Until(epoch.Add(5 * time.Second)))
	if trouble {
		time.Sleep(time.Until(epoch.Add(outageBegins)))
		store.SetMode(testbed.Busy)
		record.Add("the store is down: it refuses all calls")
		time.Sleep(time.Until(epoch.Add(outageBegins + outage)))
		store.SetMode(testbed.Serving)
		record.Add("the store is back; entries of servers: %v", store.Names("servers"))
		time.Sleep(time.Until(epoch.Add(outageBegins + outage + forgets)))
		store.DropHistory()
		record.Add("the store forgets its history; entries of servers: %v", store.Names("servers"))
	}
	time.Sleep(time.Until(epoch.Add(outageBegins + outage + forgets + stableWindow + 2*time.Second)))
	record.Add("steady state; entries of servers: %v", store.Names("servers"))

	var group sync.WaitGroup
	var mu sync.Mutex
	served := map[string]int{}
	for n := range perRoute {
		for r, path := range []string{"/counter/2f", "/parts/2f"} {
			group.Go(func() {
				router := routers[n%len(routers)]
				a := testbed.NewConsumer().Send(router, testbed.Request{ID: fmt.Sprintf("%016x", 0xa000+16*n+r), Method: "GET", Path: path, Key: "key-of-customer-1", Deadline: deadline})
				record.AddAnswer(a)
				if a.Whole() && a.Status == 200 && a.Stamp != "" {
					mu.Lock()
					served[path]++
					mu.Unlock()
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	record.Add("entries of servers at the end: %v", store.Names("servers"))
	for _, r := range routers {
		for _, line := range append(r.Grep("endpoint.gone"), r.Grep("endpoint.kept")...) {
			record.Add("log of %s: %s", r.Name, line)
		}
	}
	old, added := served["/counter/2f"], served["/parts/2f"]
	record.Add("result: of %d requests each, %d were served on the first route and %d on the route that was added later", perRoute, old, added)
	if 4*added < old {
		return 1, nil
	}
	return 0, nil
}
