// Command case8 has the operator take keys away in quick succession from a large configuration, and checks CONFIG.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"review.test/standin2/kit"
)

const (
	instances = 3
	// routes is the number of routes, with which the configuration has about 950,000 bytes; value_bytes is 1,048,576.
	routes = 3900
	// revoked is the number of keys that are taken away, one by each version: three revokes of three keys each at once.
	revoked   = 9
	revokeGap = 50 * time.Millisecond
	// apply is config_apply_ms.
	apply = 2 * time.Second
	pause = 20 * time.Millisecond
	// watched is how long requests are sent after the last ack.
	watched = 25 * time.Second
)

var client = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}

// key returns the key with the number.
func key(n int) string { return fmt.Sprintf("key%dx9z2b4c6d8f0", n) }

// config returns the version of the configuration in which the keys from the given number on are left.
func config(version, firstKey int) map[string]any {
	list := []map[string]any{kit.Route("lookup", "/look/", "safe", "desk", 1000)}
	for i := range routes {
		list = append(list, kit.Route(fmt.Sprint("r-idle", i), fmt.Sprintf("/idle%d/", i), "safe", "desk", 1000))
	}
	for _, r := range list {
		r["public"] = false
	}
	c := kit.Config(version, "desk", list...)
	var keys []string
	for n := firstKey; n <= revoked; n++ {
		keys = append(keys, key(n))
	}
	c["tenants"] = []map[string]any{{"name": "shop", "api_keys": keys, "rate_per_s": 0, "burst": 0, "unit": "token_stream", "plain_tokens": 200}}
	return c
}

func main() {
	kit.Begin(os.Args[1])
	store := kit.StartStore("127.0.0.2")
	var servers []*kit.Server
	for i := range 3 {
		s := kit.StartServer("127.0.0.3", fmt.Sprint("i-", i))
		s.WorkTime = 5 * time.Millisecond
		store.Register(s.ID, "desk", s.Address, "z1", "", 6)
		servers = append(servers, s)
	}
	raw, _ := json.Marshal(config(7, 0))
	kit.Log("the configuration has %d bytes", len(raw))
	store.Put("config", "main", config(7, 0))
	ports := kit.FreePorts("127.0.0.11")
	var routers []*kit.Router
	for i := range instances {
		routers = append(routers, kit.NewRouter(fmt.Sprint("front-", i+1), fmt.Sprint("127.0.0.", 11+i), "z1", store.Address, ports, "127.0.0.11:1,127.0.0.12:1,127.0.0.13:1"))
	}
	for _, r := range routers {
		r.Start()
	}
	for _, r := range routers {
		r.AwaitReady(10 * time.Second)
	}
	time.Sleep(4 * time.Second) // stable_window_ms and more
	versions := make([]map[string]any, revoked)
	for n := range versions {
		versions[n] = config(8+2*n, n+1)
	}
	// acked holds when the version without the key was acknowledged.
	var mu sync.Mutex
	acked := make([]time.Time, revoked)
	go func() {
		for n, version := range versions {
			if !kit.Trouble() && n < revoked-1 {
				continue // the last version takes all keys away at once
			}
			store.Put("config", "main", version)
			mu.Lock()
			for k := range n + 1 {
				if acked[k].IsZero() {
					acked[k] = time.Now()
				}
			}
			mu.Unlock()
			kit.Log("version %v is acknowledged; the keys 0 to %d are gone", version["version"], n)
			time.Sleep(revokeGap)
		}
	}()
	late, all, last := 0, 0, 0.0
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(pause) {
		r, k, id := routers[all%instances], all%(revoked+1), fmt.Sprint("q", all)
		all++
		sent := time.Now()
		status := send(r, id, key(k))
		ran := 0
		for _, s := range servers {
			ran += s.Ran(id)
		}
		mu.Lock()
		gone := time.Time{}
		if k < revoked {
			gone = acked[k]
		}
		mu.Unlock()
		switch {
		case k == revoked && status != http.StatusOK:
			kit.Log("%s to %s with the key that is left: %d", id, r.Name, status)
		case !gone.IsZero() && sent.Sub(gone) > apply && ran > 0:
			late++
			last = sent.Sub(gone).Seconds()
			kit.Log("%s to %s with key %d, sent %.3f s after the ack: status %d, ran %d", id, r.Name, k, last, status, ran)
		}
	}
	for _, r := range routers {
		for line := range strings.Lines(r.LogTail("platform.lost", 2)) {
			kit.Log("%s logs %s", r.Name, strings.TrimSpace(line))
		}
	}
	kit.Log("%d of %d requests ran with a dropped key, though they were sent later than %s after the ack; the last one %.1f s after it", late, all, apply, last)
	fmt.Printf("CONFIG: %d of %d requests, the last one %.1f s after the ack\n", late, all, last)
	if late > 0 {
		kit.End(kit.Broken)
	}
	kit.End(kit.Held)
}

func send(r *kit.Router, id, key string) (status int) {
	req, err := http.NewRequest(http.MethodGet, "http://"+r.Callers+"/look/1", nil)
	if err != nil {
		kit.Unable("%v", err)
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "1000")
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		kit.Log("%s to %s: %v", id, r.Name, err)
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		kit.Log("%s to %s: %v", id, r.Name, err)
	}
	return resp.StatusCode
}
