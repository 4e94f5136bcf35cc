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
	quiet := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	for port := range 100 {
		address := fmt.Sprint("127.0.0.1:", 18700+port)
		if transport, err := peerudp.Listen(context.Background(), address, time.Second, quiet); err == nil {
			t.Cleanup(func() { _ = transport.Close() })
			return transport, address
		}
	}
	t.Fatal("no free port")
	return nil, ""
}

// Guards against a message that does not reach all addresses, among which one is malformed.
func TestSendsToAllAddresses(t *testing.T) {
	a, _ := listen(t)
	heard := make(chan string, 10)
	var addresses []string
	for i := range 3 {
		b, address := listen(t)
		go b.Serve(func(m gossip.Message) { heard <- fmt.Sprint(i, m.Sender.Name) }, nil)
		addresses = append(addresses, address)
	}
	if err := a.Send(append([]string{"nowhere"}, addresses...), gossip.Message{Sender: routing.Instance{Name: "a"}}); err == nil {
		t.Error("the malformed address is not told")
	}
	got := map[string]bool{}
	for range 3 {
		select {
		case name := <-heard:
			got[name] = true
		case <-time.After(5 * time.Second):
			t.Fatal("heard only", got)
		}
	}
}

// Guards against memory for as many copies of the state as instances ask at once (an instance of 112 MB ended when 300
// started together, sweep of grown bfq).
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
	})
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

// Guards against messages and questions of strangers, and against secrets that cannot be changed while the fleet runs.
func TestBelievesInstancesWithTheSecretOnly(t *testing.T) {
	heard := make(chan string, 10)
	receiver, address := listen(t)
	receiver.SetSecrets([]string{"new", "old"})
	go receiver.Serve(func(m gossip.Message) { heard <- m.Sender.Name }, func() gossip.State {
		return gossip.State{Instances: []routing.Instance{{Name: "receiver"}}}
	})
	for name, secrets := range map[string][]string{"none": nil, "wrong": {"wrong"}, "old": {"old"}, "new": {"new", "old"}} {
		sender, _ := listen(t)
		sender.SetSecrets(secrets)
		if err := sender.Send([]string{address}, gossip.Message{Sender: routing.Instance{Name: name}}); err != nil {
			t.Fatal(err)
		}
		believed := name == "old" || name == "new"
		if believed {
			if got := <-heard; got != name {
				t.Error("heard", got)
			}
		}
		state, err := sender.Fetch(t.Context(), address)
		// The receiver signs with the new secret, which an instance with the old one does not know yet.
		if told := err == nil && len(state.Instances) == 1; told != (name == "new") {
			t.Error(name, "was told the state:", told, err)
		}
	}
	select {
	case name := <-heard:
		t.Error("believed", name)
	case <-time.After(50 * time.Millisecond):
	}
}
