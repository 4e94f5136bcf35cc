package quotasync_test

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"sync"
	"time"

	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

var errLost = errors.New("connection lost")

// lockedRand is a random source that is safe for concurrent use.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newRand(seed uint64) *lockedRand { return &lockedRand{r: rand.New(rand.NewPCG(seed, 1))} }

func (l *lockedRand) float() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.Float64()
}

func (l *lockedRand) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(l.float()*float64(hi-lo))
}

// network delivers messages between nodes and injects faults.
type network struct {
	rng *lockedRand

	mu        sync.Mutex
	nodes     map[string]*node // by address
	cuts      map[[2]string]bool
	lastReply map[reflect.Type]any
	// loss, duplicate and mismatch are the probabilities that a message is lost, is delivered twice, or gets the reply of an
	// earlier message.
	loss, duplicate, mismatch float64
	messages, bytes           int
}

func newNetwork(rng *lockedRand) *network {
	return &network{rng: rng, nodes: map[string]*node{}, cuts: map[[2]string]bool{}, lastReply: map[reflect.Type]any{}}
}

// setCut sets whether all messages from one node to the other are dropped.
func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = cut
}

func (n *network) isolate(name string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, other := range n.nodes {
		n.cuts[[2]string{name, other.name}], n.cuts[[2]string{other.name, name}] = isolated, isolated
	}
}

func (n *network) route(from, address string) (target *node, forwardOK, replyOK bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages++
	target = n.nodes[address]
	if target == nil {
		return nil, false, false
	}
	return target, !n.cuts[[2]string{from, target.name}], !n.cuts[[2]string{target.name, from}]
}

func (n *network) faultProbabilities() (loss, duplicate, mismatch float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.loss, n.duplicate, n.mismatch
}

// deliver delivers a message to the node at an address and returns its reply.
func deliver[R any](ctx context.Context, from *node, address string, timeout time.Duration, handle func(*node) (R, error)) (R, error) {
	var zero R
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	n := from.fleet.network
	from.waitWhileFrozen()
	target, forwardOK, replyOK := n.route(from.name, address)
	if target == nil || target.killed.Load() || from.killed.Load() {
		time.Sleep(n.rng.between(100*time.Microsecond, time.Millisecond))
		return zero, errLost
	}
	loss, duplicate, mismatch := n.faultProbabilities()
	if n.rng.float() < loss {
		forwardOK = false
	}
	replyOK = replyOK && n.rng.float() >= loss
	if !forwardOK {
		<-ctx.Done()
		return zero, ctx.Err()
	}
	type outcome struct {
		reply R
		err   error
	}
	done := make(chan outcome, 1)
	handleAfter := func(delay time.Duration, sendReply bool) {
		time.Sleep(delay)
		target.waitWhileFrozen()
		if target.killed.Load() {
			return
		}
		reply, err := handle(target)
		time.Sleep(n.rng.between(100*time.Microsecond, time.Millisecond))
		n.countBytes(reply)
		if sendReply && replyOK {
			done <- outcome{n.mismatchReply(reply, mismatch).(R), err}
		}
	}
	go handleAfter(n.rng.between(100*time.Microsecond, time.Millisecond), true)
	if n.rng.float() < duplicate {
		go handleAfter(n.rng.between(0, 2*time.Second), false)
	}
	select {
	case o := <-done:
		from.waitWhileFrozen()
		return o.reply, o.err
	case <-ctx.Done():
		from.waitWhileFrozen()
		return zero, ctx.Err()
	}
}

// mismatchReply stores the reply and returns the last stored reply of the same type instead, with the given probability.
func (n *network) mismatchReply(reply any, probability float64) any {
	if n.rng.float() >= probability {
		return reply
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	t := reflect.TypeOf(reply)
	earlier, ok := n.lastReply[t]
	n.lastReply[t] = reply
	if !ok {
		return reply
	}
	return earlier
}

// peerClient implements port.Peers for one node. Methods that these tests do not call belong to the nil interface.
type peerClient struct {
	port.Peers
	node *node
}

func (c peerClient) Heartbeat(ctx context.Context, address string, m peer.Heartbeat) (peer.Heartbeat, error) {
	c.node.fleet.network.countBytes(m)
	return deliver(ctx, c.node, address, 500*time.Millisecond, func(n *node) (peer.Heartbeat, error) { return n.members.ReceiveHeartbeat(ctx, m) })
}

func (c peerClient) Confirm(ctx context.Context, address string, m peer.ConfirmRequest) (peer.ConfirmReply, error) {
	c.node.fleet.network.countBytes(m)
	return deliver(ctx, c.node, address, 700*time.Millisecond, func(n *node) (peer.ConfirmReply, error) { return n.members.ReceiveConfirm(ctx, m) })
}

func (c peerClient) AgreeRemoval(ctx context.Context, address string, m peer.RemovalRequest) (peer.RemovalReply, error) {
	c.node.fleet.network.countBytes(m)
	return deliver(ctx, c.node, address, 500*time.Millisecond, func(n *node) (peer.RemovalReply, error) { return n.members.ReceiveRemoval(ctx, m) })
}

func (c peerClient) Loan(ctx context.Context, address string, m peer.LoanRequest) (peer.LoanReply, error) {
	c.node.fleet.network.countBytes(m)
	return deliver(ctx, c.node, address, time.Second, func(n *node) (peer.LoanReply, error) { return n.admission.ReceiveLoan(ctx, m) })
}

func (c peerClient) LoanDone(ctx context.Context, address string, m peer.LoanDone) error {
	_, err := deliver(ctx, c.node, address, time.Second, func(n *node) (struct{}, error) { return struct{}{}, n.admission.ReceiveLoanDone(ctx, m) })
	return err
}

// fakePlatform stores versioned objects with conditional updates, and injects faults.
type fakePlatform struct {
	rng *lockedRand

	mu        sync.Mutex
	version   uint64
	objects   map[string]platform.Object
	instances map[string]platform.Instance
	// down makes calls fail, and hanging makes them block until their timeout. latency is added to each call. lostReplies is
	// the number of further writes whose replies are lost after they took effect. The calls of the nodes in cutOff hang.
	down, hanging bool
	latency       time.Duration
	lostReplies   int
	cutOff        map[string]bool
	calls         int
}

func newFakePlatform(rng *lockedRand) *fakePlatform {
	return &fakePlatform{rng: rng, objects: map[string]platform.Object{}, instances: map[string]platform.Instance{}, cutOff: map[string]bool{}}
}

func (p *fakePlatform) update(change func(*fakePlatform)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

func (p *fakePlatform) roster() peer.Roster {
	p.mu.Lock()
	defer p.mu.Unlock()
	var r peer.Roster
	_ = json.Unmarshal(p.objects["roster/main"].Value, &r)
	return r
}

func platformDownError(outcome openai.Outcome) error {
	return fault.New(fault.PlatformUnavailable, "platform is down").WithOutcome(outcome)
}

// platformClient implements port.Platform for one node.
type platformClient struct {
	*fakePlatform
	node *node
}

// simulateCall applies the latency and the injected faults to one call. outcome is reported if the call may have taken effect.
func (a platformClient) simulateCall(ctx context.Context, outcome openai.Outcome) error {
	a.node.waitWhileFrozen()
	a.mu.Lock()
	down, hanging, latency := a.down, a.hanging || a.cutOff[a.node.name], a.latency
	a.calls++
	a.mu.Unlock()
	if a.node.killed.Load() {
		return platformDownError(outcome)
	}
	if hanging {
		<-ctx.Done()
		return platformDownError(outcome)
	}
	select {
	case <-time.After(latency + a.rng.between(time.Millisecond, 4*time.Millisecond)):
	case <-ctx.Done():
		return platformDownError(outcome)
	}
	a.node.waitWhileFrozen()
	if down {
		return platformDownError(openai.NotRun)
	}
	return nil
}

func (a platformClient) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	o, _, err := a.GetNewer(ctx, kind, name, 0)
	return o, err
}

func (a platformClient) GetNewer(ctx context.Context, kind platform.Kind, name string, version uint64) (platform.Object, bool, error) {
	if err := a.simulateCall(ctx, openai.NotRun); err != nil {
		return platform.Object{}, false, err
	}
	a.mu.Lock()
	o, ok := a.objects[string(kind)+"/"+name]
	a.mu.Unlock()
	if !ok {
		return platform.Object{}, false, fault.New(fault.NotFound, "no such object")
	}
	time.Sleep(a.rng.between(0, time.Millisecond))
	a.node.waitWhileFrozen()
	return o, o.Version != version, nil
}

func (a platformClient) List(context.Context, platform.Kind, func(platform.Object)) error {
	return nil
}

func (a platformClient) Create(ctx context.Context, kind platform.Kind, name string, value json.RawMessage) (uint64, error) {
	return a.Replace(ctx, kind, name, 0, value)
}

func (a platformClient) Replace(ctx context.Context, kind platform.Kind, name string, version uint64, value json.RawMessage) (uint64, error) {
	if err := a.simulateCall(ctx, openai.Unknown); err != nil {
		return 0, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	key := string(kind) + "/" + name
	if a.objects[key].Version != version {
		return 0, fault.New(fault.Conflict, "another version is present")
	}
	a.version++
	a.objects[key] = platform.Object{Kind: kind, Name: name, Version: a.version, Value: value}
	if a.lostReplies > 0 {
		a.lostReplies--
		return 0, platformDownError(openai.Unknown)
	}
	return a.version, nil
}

func (a platformClient) Delete(context.Context, platform.Kind, string, uint64) error { return nil }

func (a platformClient) Instances(ctx context.Context) ([]platform.Instance, error) {
	if err := a.simulateCall(ctx, openai.NotRun); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Collect(maps.Values(a.instances)), nil
}
