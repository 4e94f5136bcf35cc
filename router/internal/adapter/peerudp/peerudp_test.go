package peerudp_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/adapter/peerudp"
	"tanagerwood.dev/router/internal/app/gossip"
	"tanagerwood.dev/router/internal/app/routingcache"
)

func listen(t *testing.T) (*peerudp.Transport, string) {
	t.Helper()
	discardLogger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	for port := range 1000 { // runs at the same time on one machine share the range
		address := fmt.Sprint("127.0.0.1:", 18700+port)
		if transport, err := peerudp.Listen(context.Background(), address, time.Second, discardLogger); err == nil {
			t.Cleanup(func() { _ = transport.Close() })
			return transport, address
		}
	}
	t.Fatal("no free port")
	return nil, ""
}

// Guards against a malformed address that keeps a message from the other addresses.
func TestSendsToAllAddresses(t *testing.T) {
	a, _ := listen(t)
	received := make(chan string, 10)
	var addresses []string
	for i := range 3 {
		b, address := listen(t)
		go b.Serve(func(m gossip.Message) { received <- fmt.Sprint(i, m.Sender.Name) }, nil, nil)
		addresses = append(addresses, address)
	}
	if err := a.Send(append([]string{"nowhere"}, addresses...), gossip.Message{Sender: routing.Instance{Name: "a"}}); err == nil {
		t.Error("Send returned no error for the malformed address")
	}
	got := map[string]bool{}
	for range 3 {
		select {
		case name := <-received:
			got[name] = true
		case <-time.After(5 * time.Second):
			t.Fatal("received messages only from", got)
		}
	}
}

// Guards against one copy of the state in memory per concurrent request: an instance with 112 MB of memory was killed when 300
// instances started at the same time (seen in the sweep of grown bfq).
func TestAnswersFewQuestionsAtATime(t *testing.T) {
	a, address := listen(t)
	var mu sync.Mutex
	encodings := 0
	endpoints := map[string]routing.Endpoint{}
	for i := range 20_000 {
		id := fmt.Sprint("endpoint-", i)
		endpoints[id] = routing.Endpoint{ID: id, Service: "m", Address: "10.0.0.1:80"}
	}
	go a.Serve(func(gossip.Message) {}, func() gossip.State {
		mu.Lock()
		defer mu.Unlock()
		encodings++
		return gossip.State{Copy: routingcache.Snapshot{Endpoints: &routingcache.EndpointList{Revision: 1, ByID: endpoints}}}
	}, nil)
	var group sync.WaitGroup
	var answered, refused int
	for range 60 {
		group.Go(func() {
			b, _ := listen(t)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			state, err := b.Fetch(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && len(state.Copy.Endpoints.ByID) == len(endpoints) {
				answered++
			} else {
				refused++
			}
		})
	}
	group.Wait()
	if answered == 0 || encodings >= answered+refused {
		t.Error("answered", answered, "refused", refused, "encodings", encodings)
	}
}

// Guards against accepting unauthenticated messages and state requests, and against secrets that cannot be rotated while the
// instances run.
func TestBelievesInstancesWithTheSecretOnly(t *testing.T) {
	received := make(chan string, 10)
	receiver, address := listen(t)
	receiver.SetSecrets([]string{"new", "old"})
	go receiver.Serve(func(m gossip.Message) { received <- m.Sender.Name }, func() gossip.State {
		return gossip.State{Instances: []routing.Instance{{Name: "receiver"}}}
	}, nil)
	for name, secrets := range map[string][]string{"none": nil, "wrong": {"wrong"}, "old": {"old"}, "new": {"new", "old"}} {
		sender, _ := listen(t)
		sender.SetSecrets(secrets)
		if err := sender.Send([]string{address}, gossip.Message{Sender: routing.Instance{Name: name}}); err != nil {
			t.Fatal(err)
		}
		accepted := name == "old" || name == "new"
		if accepted {
			if got := <-received; got != name {
				t.Error("received a message from", got)
			}
		}
		state, err := sender.Fetch(t.Context(), address)
		// The receiver signs with the new secret, which an instance that has only the old one cannot verify.
		if fetched := err == nil && len(state.Instances) == 1; fetched != (name == "new") {
			t.Error(name, "received the state:", fetched, err)
		}
	}
	select {
	case name := <-received:
		t.Error("accepted an unauthenticated message from", name)
	case <-time.After(50 * time.Millisecond):
	}
}
