package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"tanagerwood.dev/api/routing"
)

// learningTime is how long after the crash that quarantines a part all instances must block it.
const learningTime = 3 * time.Second

// crashingFleet sends requests of all instances, some with a part that crashes engines.
type crashingFleet struct{ *limitedFleet }

// request places a request at an instance, and has it crash an engine if it has the poison part and is not blocked. It reports whether
// an engine was asked.
func (f crashingFleet) request(nd *node, id string, parts ...string) bool {
	nd.RefreshView(nil)
	if _, blocked := nd.crashes.Blocked("m", parts, nd.Boot()); blocked {
		return false
	}
	began := nd.Boot()
	switch {
	case parts[len(parts)-1] == "dead":
		nd.crashes.RecordCrash("m", routing.Endpoint{ID: "engine of " + id}.ID, id, parts, nd.Boot())
		nd.TriggerReport()
	default:
		time.Sleep(500 * time.Millisecond)
		if nd.crashes.RecordAnswer("m", parts, true, began, nd.Boot()) {
			nd.TriggerReport()
		}
	}
	return true
}

// Guards against instances that have to learn by themselves what crashes engines, also while datagrams and collectors are lost, and
// after they have started again.
func TestFleetLearnsWhatCrashesEngines(t *testing.T) {
	for _, size := range []int{3, 7, 40, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := crashingFleet{&limitedFleet{fleet: startFleet(t, size)}}
				time.Sleep(5 * time.Second)
				random := rand.New(rand.NewPCG(32, uint64(size)))
				f.loseDatagrams(rand.New(rand.NewPCG(33, uint64(size))))
				pick := func() *node { return f.all[random.IntN(len(f.all))] }
				for n := range 100 { // sound requests share all other parts
					go f.request(pick(), fmt.Sprint("sound ", n), "sys", fmt.Sprint("doc", n%4))
					if n%10 == 0 {
						f.request(pick(), fmt.Sprint("poison ", n), "sys", fmt.Sprint("doc", n%4), "dead")
					}
					if n == 25 && size > 10 {
						collectors, _ := f.collectors()
						collectors[0].stop()
						f.setCut(collectors[0].address, true)
					}
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(learningTime)
				for _, nd := range f.all {
					if f.cut[nd.address] {
						continue
					}
					if f.request(nd, "late", "sys", "doc9", "dead") {
						t.Error(nd.address, "sends a request that crashes engines")
					}
					if _, blocked := nd.crashes.Blocked("m", []string{"sys", "doc1"}, nd.Boot()); blocked {
						t.Error(nd.address, "blocks a sound request")
					}
				}
				again := f.start(t, f.all[1].address, 2)
				f.all[1].stop()
				time.Sleep(learningTime)
				if f.request(again, "again", "sys", "dead") {
					t.Error("an instance that has started again sends a request that crashes engines")
				}
				again.stop()
				f.stop()
			})
		})
	}
}
