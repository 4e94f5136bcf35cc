package servicepath_test

import (
	"context"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tanagerwood.dev/api/openai"
	standplatform "tanagerwood.dev/lab/standin/platform"
	"tanagerwood.dev/lab/standin/service"
	"tanagerwood.dev/router/internal/domain/claim"
	"tanagerwood.dev/router/internal/fault"
)

// faultNames lists the faults that one step of a random schedule may inject.
var faultNames = []string{"none", "die", "drop", "lose 1", "lose 2", "lose 3", "outage", "stale", "pause", "leave", "no endpoint"}

var _ = Describe("random schedules of repeats and faults", func() {
	It("never run a booking twice, and no refusal says not_run of a call that ran", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			env := newTestEnv()
			instances := []*instance{env.startInstance("a"), env.startInstance("b")}
			s1, _ := env.startService("s1")
			s2, _ := env.startService("s2")
			endpoints := env.endpoints
			var mu sync.Mutex
			notRun := map[string]string{}
			for range rapid.IntRange(2, 6).Draw(t, "steps") {
				name := rapid.SampledFrom(faultNames).Draw(t, "fault")
				ctx, leave := context.WithCancel(context.Background())
				env.setEndpoints(endpoints)
				env.afterCreate = nil
				env.setPlatformOutage(name == "outage")
				lost, stale := 0, 0
				switch name {
				case "die":
					s1.SetFaults(service.Faults{DieAfterRun: true})
				case "drop":
					s1.SetFaults(service.Faults{DropBeforeReading: 2})
				case "lose 1", "lose 2", "lose 3":
					lost, _ = strconv.Atoi(name[len("lose "):])
				case "stale":
					stale = 1
				case "pause":
					env.afterCreate = func() { env.advance(claim.SendWindow + time.Second) }
				case "leave":
					env.afterCreate = leave
				case "no endpoint":
					env.setEndpoints(nil)
				}
				env.server.SetFaults(standplatform.Faults{LoseReplies: &lost, StaleWrites: &stale})
				key := rapid.SampledFrom([]string{"k0", "k1"}).Draw(t, "key")
				var calls sync.WaitGroup
				for _, n := range rapid.SliceOfN(rapid.IntRange(0, 1), 1, 3).Draw(t, "instances") {
					calls.Go(func() {
						request, _, err := instances[n].request(ctx, key, key)
						if err != nil && fault.As(err).Outcome == openai.NotRun {
							mu.Lock()
							defer mu.Unlock()
							notRun[request] = name + ": " + err.Error()
						}
					})
				}
				calls.Wait()
				leave()
				s1.SetFaults(service.Faults{})
				for _, booking := range []string{"k0", "k1"} {
					if n := s1.RunCount(booking) + s2.RunCount(booking); n > 1 {
						t.Fatalf("%s: booking %s ran %d times", name, booking, n)
					}
				}
			}
			env.setPlatformOutage(false)
			for _, i := range instances {
				Expect(i.forwarder.WaitBackground(context.Background())).To(Succeed())
			}
			for request, reason := range notRun {
				if countRuns(request, s1, s2) > 0 {
					t.Errorf("%s was refused with not_run and ran: %s", request, reason)
				}
			}
		})
	})
})
