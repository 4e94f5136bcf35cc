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

// lockedRand is a random source for many goroutines.
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

// network carries messages between nodes with faults.
type network struct {
	rng *lockedRand

	mu        sync.Mutex
	nodes     map[string]*node // by address
	cuts      map[[2]string]bool
	lastReply map[reflect.Type]any
	// loss, double and crossed are probabilities of each message.
	loss, double, crossed float64
	messages, bytes       int
}

func newNetwork(rng *lockedRand) *network {
	return &network{rng: rng, nodes: map[string]*node{}, cuts: map[[2]string]bool{}, lastReply: map[reflect.Type]any{}}
}

// cut drops everything from one node to the other.
func (n *network) cut(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = on
}

func (n *network) isolate(name string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, other := range n.nodes {
		n.cuts[[2]string{name, other.name}], n.cuts[[2]string{other.name, name}] = on, on
	}
}

func (n *network) lookup(from, address string) (target *node, there, back bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages++
	target = n.nodes[address]
	if target == nil {
		return nil, false, false
	}
	return target, !n.cuts[[2]string{from, target.name}], !n.cuts[[2]string{target.name, from}]
}

func (n *network) probabilities() (loss, double, crossed float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.loss, n.double, n.crossed
}

// send delivers a message to the node at an address and returns its reply.
func send[R any](ctx context.Context, from *node, address string, limit time.Duration, handle func(*node) (R, error)) (R, error) {
	var none R
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	n := from.world.net
	from.pass()
	target, there, back := n.lookup(from.name, address)
	if target == nil || target.dead.Load() || from.dead.Load() {
		time.Sleep(n.rng.between(100*time.Microsecond, time.Millisecond))
		return none, errLost
	}
	loss, double, crossed := n.probabilities()
	if n.rng.float() < loss {
		there = false
	}
	back = back && n.rng.float() >= loss
	if !there {
		<-ctx.Done()
		return none, ctx.Err()
	}
	type outcome struct {
		reply R
		err   error
	}
	done := make(chan outcome, 1)
	arrive := func(delay time.Duration, deliver bool) {
		time.Sleep(delay)
		target.pass()
		if target.dead.Load() {
			return
		}
		reply, err := handle(target)
		time.Sleep(n.rng.between(100*time.Microsecond, time.Millisecond))
		n.size(reply)
		if deliver && back {
			done <- outcome{n.cross(reply, crossed).(R), err}
		}
	}
	go arrive(n.rng.between(100*time.Microsecond, time.Millisecond), true)
	if n.rng.float() < double {
		go arrive(n.rng.between(0, 2*time.Second), false)
	}
	select {
	case o := <-done:
		from.pass()
		return o.reply, o.err
	case <-ctx.Done():
		from.pass()
		return none, ctx.Err()
	}
}

// cross swaps a reply with the last one of its type.
func (n *network) cross(reply any, probability float64) any {
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

// link is the port.Peers of one node. Messages that these tests do not send are left to the nil interface.
type link struct {
	port.Peers
	node *node
}

func (l link) Heartbeat(ctx context.Context, address string, m peer.Heartbeat) (peer.Heartbeat, error) {
	l.node.world.net.size(m)
	return send(ctx, l.node, address, 500*time.Millisecond, func(n *node) (peer.Heartbeat, error) { return n.members.ReceiveHeartbeat(ctx, m) })
}

func (l link) Confirm(ctx context.Context, address string, m peer.ConfirmRequest) (peer.ConfirmReply, error) {
	l.node.world.net.size(m)
	return send(ctx, l.node, address, 700*time.Millisecond, func(n *node) (peer.ConfirmReply, error) { return n.members.ReceiveConfirm(ctx, m) })
}

func (l link) AgreeRemoval(ctx context.Context, address string, m peer.RemovalRequest) (peer.RemovalReply, error) {
	l.node.world.net.size(m)
	return send(ctx, l.node, address, 500*time.Millisecond, func(n *node) (peer.RemovalReply, error) { return n.members.ReceiveRemoval(ctx, m) })
}

func (l link) Loan(ctx context.Context, address string, m peer.LoanRequest) (peer.LoanReply, error) {
	l.node.world.net.size(m)
	return send(ctx, l.node, address, time.Second, func(n *node) (peer.LoanReply, error) { return n.admission.ReceiveLoan(ctx, m) })
}

func (l link) LoanDone(ctx context.Context, address string, m peer.LoanDone) error {
	_, err := send(ctx, l.node, address, time.Second, func(n *node) (struct{}, error) { return struct{}{}, n.admission.ReceiveLoanDone(ctx, m) })
	return err
}

// fakePlatform keeps objects with versions and conditional updates.
type fakePlatform struct {
	rng *lockedRand

	mu      sync.Mutex
	version uint64
	objects map[string]platform.Object
	list    map[string]platform.Instance
	// down refuses calls, silent lets them hang, latency is added to each, lostReplies counts the writes whose reply is
	// lost after they took effect.
	down, silent bool
	latency      time.Duration
	lostReplies  int
	cutOff       map[string]bool
	reads        int
}

func newPlatform(rng *lockedRand) *fakePlatform {
	return &fakePlatform{rng: rng, objects: map[string]platform.Object{}, list: map[string]platform.Instance{}, cutOff: map[string]bool{}}
}

func (p *fakePlatform) set(change func(*fakePlatform)) {
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

func unavailable(outcome openai.Outcome) error {
	return fault.New(fault.PlatformDown, "platform is down").WithOutcome(outcome)
}

// access is the port.Platform of one node.
type access struct {
	*fakePlatform
	node *node
}

// enter waits for the latency and reports an outage.
func (a access) enter(ctx context.Context, outcome openai.Outcome) error {
	a.node.pass()
	a.mu.Lock()
	down, silent, latency := a.down, a.silent || a.cutOff[a.node.name], a.latency
	a.reads++
	a.mu.Unlock()
	if a.node.dead.Load() {
		return unavailable(outcome)
	}
	if silent {
		<-ctx.Done()
		return unavailable(outcome)
	}
	select {
	case <-time.After(latency + a.rng.between(time.Millisecond, 4*time.Millisecond)):
	case <-ctx.Done():
		return unavailable(outcome)
	}
	a.node.pass()
	if down {
		return unavailable(openai.NotRun)
	}
	return nil
}

func (a access) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	o, _, err := a.GetNewer(ctx, kind, name, 0)
	return o, err
}

func (a access) GetNewer(ctx context.Context, kind platform.Kind, name string, version uint64) (platform.Object, bool, error) {
	if err := a.enter(ctx, openai.NotRun); err != nil {
		return platform.Object{}, false, err
	}
	a.mu.Lock()
	o, ok := a.objects[string(kind)+"/"+name]
	a.mu.Unlock()
	if !ok {
		return platform.Object{}, false, fault.New(fault.NotFound, "no such object")
	}
	time.Sleep(a.rng.between(0, time.Millisecond))
	a.node.pass()
	return o, o.Version != version, nil
}

func (a access) List(context.Context, platform.Kind) (platform.List, error) {
	return platform.List{}, nil
}

func (a access) Create(ctx context.Context, kind platform.Kind, name string, value json.RawMessage) (uint64, error) {
	return a.Replace(ctx, kind, name, 0, value)
}

func (a access) Replace(ctx context.Context, kind platform.Kind, name string, version uint64, value json.RawMessage) (uint64, error) {
	if err := a.enter(ctx, openai.Unknown); err != nil {
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
		return 0, unavailable(openai.Unknown)
	}
	return a.version, nil
}

func (a access) Delete(context.Context, platform.Kind, string, uint64) error { return nil }

func (a access) Instances(ctx context.Context) ([]platform.Instance, error) {
	if err := a.enter(ctx, openai.NotRun); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Collect(maps.Values(a.list)), nil
}
