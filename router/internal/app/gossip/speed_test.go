package gossip_test

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/gossip"
	"tanagerwood.dev/router/internal/domain/speed"
)

// paced is the service for which the estimates of speed are in force.
const paced = "paced"

// Guards against measurements of the speed of endpoints that do not reach the readers of a large fleet, or the peers in a small one.
func TestSpeedsAreShared(t *testing.T) {
	for _, size := range []int{4, 24} {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, size)
			time.Sleep(3 * time.Second)
			slow, other := routing.Endpoint{ID: "slow", Service: paced, StartedMS: 5}, routing.Endpoint{ID: "other", Service: paced, StartedMS: 5}
			work := speed.Work{Service: paced, Step: speed.FirstEvent}
			first, last := f.all[0], f.all[size-1]
			for range 200 {
				first.speeds.Record(slow, work, 1, 90*time.Millisecond, first.Boot())
				first.speeds.Record(other, work, 1, 30*time.Millisecond, first.Boot())
				time.Sleep(10 * time.Millisecond)
			}
			if ratio := last.speeds.Factor(slow, last.Boot()) / last.speeds.Factor(other, last.Boot()); ratio < 2 {
				t.Errorf("%d instances: the endpoint is 3 times slower; the factor is %.2f at another instance", size, ratio)
			}
			f.stop()
			synctest.Wait()
		})
	}
}

// Guards against messages that differ from those of earlier versions in deployments that do not use the speed of endpoints.
func TestMessagesWithoutSpeeds(t *testing.T) {
	encoded, err := json.Marshal(gossip.Message{Speeds: speed.New(func(string) bool { return false }).LocalReport(time.Second)})
	if err != nil || strings.Contains(string(encoded), "speeds") {
		t.Error(string(encoded), err)
	}
}
