package soak

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"tanagerwood.dev/platform/standin"
)

const (
	// deadlyPlanShare is the share of the plans with a request that crashes servers.
	deadlyPlanShare = 0.3
	// minDeadlyInterval and maxDeadlyInterval bound the time between two sends of it.
	minDeadlyInterval, maxDeadlyInterval = 100 * time.Millisecond, 600 * time.Millisecond
	// deadlyIDPrefix begins the ids of its sends. All have the body deadlyBody.
	deadlyIDPrefix = "deadly-"
	deadlyBody     = "the question that crashes servers"
)

// deadlyKinds are the kinds of requests of which one may crash servers.
var deadlyKinds = []kind{unsafeRequest, safeRequest, unsafeStream, resumableStream}

// deadlyRequest is a request that crashes each server that begins to run it.
type deadlyRequest struct {
	crasher
	load *load
}

// play sends the request again and again, to any instance, for the time of the action.
func (d *deadlyRequest) play(a Action) {
	caller := standin.NewCaller()
	defer caller.Close()
	random := rand.New(rand.NewPCG(uint64(a.Variant), 6))
	for began := time.Now(); time.Since(began) < a.Duration; {
		d.load.sendDeadly(caller, deadlyKinds[a.Variant%len(deadlyKinds)], random)
		time.Sleep(minDeadlyInterval + time.Duration(random.Int64N(int64(maxDeadlyInterval-minDeadlyInterval))))
	}
}

// sendDeadly sends a request of the kind that crashes servers.
func (l *load) sendDeadly(caller *standin.Caller, k kind, random *rand.Rand) {
	at := l.balancer.pick(random)
	s, q := l.prepare(at, k)
	s.poison, s.body, s.id = true, deadlyBody, deadlyIDPrefix+s.id
	s.path = "/" + string(k) + "/deadly"
	q.ID, q.Path, q.Body, q.Deadly = s.id, s.path, s.body, true
	if k.stream() {
		q.PromptParts = []string{"sys:200", "doc0:50", "deadly:50"}
	}
	ctx, cancel := context.WithTimeout(context.Background(), q.Timeout)
	defer cancel()
	l.sendPrepared(ctx, caller, at, s, q)
}

func isDeadlyID(id string) bool { return strings.HasPrefix(id, deadlyIDPrefix) }

// checkDeadlyRequests checks that a request that has crashed some servers is hardly sent to more of them.
func (e *execution) checkDeadlyRequests() {
	if len(e.deadly.crashes) < e.bounds.DeadlyCrashes {
		return
	}
	if late := e.arrivedLate(e.deadly, e.bounds.DeadlyCrashes); len(late) > e.bounds.PoisonRequests {
		e.add("deadly requests", late[e.bounds.PoisonRequests].ID, "the request reached servers %d times later than %v after its crash number %d; it has crashed %d servers",
			len(late), e.bounds.LearningTime, e.bounds.DeadlyCrashes, len(e.deadly.crashes))
	}
}
