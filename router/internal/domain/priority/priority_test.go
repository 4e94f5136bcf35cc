package priority_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/priority"
)

func given(p int) *int { return &p }

func route(service string, p int, objective time.Duration) routing.Route {
	return routing.Route{Priority: p, Objective: objective, Targets: []routing.Target{{Service: service, Weight: 1}}}
}

// Guards against a service that counts as one of equal priorities although its requests differ, and the other way round, which would
// change what its endpoints get.
func TestServices(t *testing.T) {
	plain, first, ninth := routing.Customer{}, routing.Customer{Priority: given(0)}, routing.Customer{Priority: given(9)}
	public := route("s", 5, time.Second)
	public.Public = true
	for name, c := range map[string]struct {
		config routing.Config
		want   priority.Service
	}{
		"equal routes":                  {routing.Config{Routes: []routing.Route{route("s", 3, 0), route("s", 3, 0), route("other", 1, 0)}}, priority.Service{MostUrgent: 3}},
		"different routes":              {routing.Config{Routes: []routing.Route{route("s", 2, 2*time.Second), route("s", 0, 800*time.Millisecond), route("s", 0, time.Second)}}, priority.Service{Differ: true, Objective: 800 * time.Millisecond}},
		"beyond the range":              {routing.Config{Routes: []routing.Route{route("s", 9, 0), route("s", 12, 0)}}, priority.Service{MostUrgent: 9}},
		"customers of equal priority":   {routing.Config{Routes: []routing.Route{route("s", 2, 0), route("s", 4, 0)}, Customers: []routing.Customer{first, first}}, priority.Service{}},
		"a customer without a priority": {routing.Config{Routes: []routing.Route{route("s", 2, 0)}, Customers: []routing.Customer{first, plain}}, priority.Service{Differ: true}},
		"a public route":                {routing.Config{Routes: []routing.Route{public}, Customers: []routing.Customer{ninth}}, priority.Service{Differ: true, MostUrgent: 5, Objective: time.Second}},
	} {
		if got := priority.Services(&c.config)["s"]; got != c.want {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// Guards against a priority of zero that counts as none, and against a customer's priority that the route's replaces.
func TestEffective(t *testing.T) {
	r := route("s", 4, 0)
	for _, c := range []struct {
		customer *routing.Customer
		want     int
	}{{nil, 4}, {&routing.Customer{}, 4}, {&routing.Customer{Priority: given(0)}, 0}, {&routing.Customer{Priority: given(-3)}, 0}, {&routing.Customer{Priority: given(40)}, 9}} {
		if got := priority.Effective(&r, c.customer); got != c.want {
			t.Error(got, "expected", c.want)
		}
	}
}

// Guards against requests of instances that send no class and count as more or less urgent than usual, and against classes of a
// service of equal priorities on the wire.
func TestClassOnTheWire(t *testing.T) {
	var absent priority.Class
	if err := json.Unmarshal([]byte(`{}`), &absent); err != nil || absent.Priority() != routing.DefaultPriority || absent != priority.NewClass(5, false) {
		t.Error(absent, err)
	}
	sent, err := json.Marshal(priority.Service{}.Class(0, true))
	if err != nil || string(sent) != "{}" {
		t.Error(string(sent), err)
	}
	for p := range 10 {
		c := priority.NewClass(p, p%2 == 0)
		raw, _ := json.Marshal(c)
		var back priority.Class
		if err := json.Unmarshal(raw, &back); err != nil || back != c || back.Priority() != p {
			t.Error(string(raw), back, err)
		}
	}
	if got := (priority.Class{Offset: 1 << 40}).Valid(); got.Priority() != 9 {
		t.Error(got)
	}
}

// Guards against a reserved share that IDs with a common beginning miss or exhaust.
func TestReservedShare(t *testing.T) {
	s := priority.Service{Differ: true}
	for _, format := range []string{"%d", "r-%08d", "caller-7-%d-1", "%x"} {
		reserved := 0
		for i := range 6000 {
			if s.Reserves(priority.NewClass(2, false), fmt.Sprintf(format, i)) {
				reserved++
			}
		}
		if reserved < 1800 || reserved > 2200 {
			t.Errorf("%q: %d of 6000", format, reserved)
		}
	}
	if (s.Reserves(priority.NewClass(0, false), "1") || s.Reserves(priority.NewClass(2, true), "1") || priority.Service{}.Reserves(priority.Class{}, "1")) {
		t.Error("a most urgent request, one beyond the rate or one of a service of equal priorities has a reserved place")
	}
}

// plainService is a plain service whose endpoints run slots requests and queue as many more.
type plainService struct {
	slots, queue int
	hold         time.Duration
	ends         []time.Duration
	refusedAt    time.Duration
}

func (p *plainService) open(now time.Duration) int {
	kept := p.ends[:0]
	for _, end := range p.ends {
		if end > now {
			kept = append(kept, end)
		}
	}
	p.ends = kept
	return len(kept)
}

// send returns whether the service accepts a request.
func (p *plainService) send(now time.Duration) bool {
	n := p.open(now)
	if n >= p.slots+p.queue {
		p.refusedAt = now
		return false
	}
	start := now
	if n >= p.slots {
		start = p.ends[n-p.slots]
	}
	p.ends = append(p.ends, start+p.hold)
	return true
}

// Guards against less urgent plain requests that are held back although there is room, that fill the endpoints' queues before more
// urgent ones, or that are never served.
func TestPlainRequestsUnderOverload(t *testing.T) {
	const objective, step = 400 * time.Millisecond, 5 * time.Millisecond
	service := priority.Service{Differ: true}
	plain := &plainService{slots: 10, queue: 10, hold: 100 * time.Millisecond, refusedAt: -time.Hour}
	type waiting struct {
		id      string
		arrived time.Duration
	}
	var held []waiting
	served, offered := map[int]int{}, map[int]int{}
	for now := time.Duration(0); now < 20*time.Second; now += step {
		offered[0]++ // 200/s of the 100/s that can be served
		if plain.send(now) {
			served[0]++
		}
		if now%(20*time.Millisecond) == 0 {
			offered[2]++
			held = append(held, waiting{fmt.Sprint(now), now})
		}
		kept := held[:0]
		for _, w := range held {
			r := priority.PlainRequest{Service: service, Class: priority.NewClass(2, false), ID: w.id, HasRoom: plain.open(now) < plain.slots,
				Refusing: now-plain.refusedAt < time.Second, Waited: now - w.arrived, Objective: objective}
			switch decision := r.Decide(); {
			case decision == priority.Wait:
				kept = append(kept, w)
			case decision == priority.Send && plain.send(now):
				served[2]++
			}
		}
		held = kept
	}
	urgent, less := float64(served[0])/float64(offered[0]), float64(served[2])/float64(offered[2])
	all := float64(served[0]+served[2]) / float64(offered[0]+offered[2])
	t.Logf("%.2f of the urgent and %.2f of the less urgent were served", urgent, less)
	if urgent < less-0.05 || less < all/4 {
		t.Errorf("%.2f of the urgent, %.2f of the less urgent and %.2f of all requests were served", urgent, less, all)
	}
}

// Guards against requests of services of equal priorities, or of the most urgent ones, that wait.
func TestPlainRequestsThatDoNotWait(t *testing.T) {
	differ := priority.Service{Differ: true, MostUrgent: 1}
	for _, r := range []priority.PlainRequest{
		{Refusing: true, Objective: time.Second},
		{Service: differ, Class: priority.NewClass(1, false), Refusing: true, Objective: time.Second},
		{Service: differ, Class: priority.NewClass(9, true), HasRoom: true, Refusing: true, Objective: time.Second},
		{Service: differ, Class: priority.NewClass(9, false), Waited: 250 * time.Millisecond, Objective: time.Second},
	} {
		if got := r.Decide(); got != priority.Send {
			t.Errorf("%+v: %v", r, got)
		}
	}
	r := priority.PlainRequest{Service: differ, Class: priority.NewClass(1, true), Objective: time.Second}
	if got := r.Decide(); got != priority.Wait {
		t.Error("a request beyond its customer's rate does not give way:", got)
	}
}
