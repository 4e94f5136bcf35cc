//go:build scale

// Measurements of control traffic against the size of the fleet. They print their results without checking them, and take
// minutes: go test -tags scale -run 'TestFleetScale|TestLoanTraffic' -v

package quotasync_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"tanagerwood.dev/router/internal/app/membership"
	"tanagerwood.dev/router/internal/domain/quota"
)

var scaleFanout = flag.Int("scale-fanout", 0, "random peers in each round of heartbeats; 0 takes the default")

func init() { countingBytes = true }

// TestFleetScale prints the control traffic and the staleness of heartbeats for fleets of several sizes, without load and
// without faults.
func TestFleetScale(t *testing.T) {
	fmt.Println("members fanout messages/s  body-B/s  suspected  mean-age  max-age  CPU-us/s  roster-B")
	for _, n := range []int{2, 8, 32, 128, 340} {
		withFleetOfSize(t, *scaleFanout, n, func(fleet *testFleet) { measureScale(fleet, n) })
	}
}

// TestLoanTraffic prints the control traffic under the steady load of the fault tests.
func TestLoanTraffic(t *testing.T) {
	withFleet(t, 1, 7, steadyLimits(), func(fleet *testFleet) {
		time.Sleep(10 * time.Second)
		fleet.startSteadyLoad()
		time.Sleep(warmUp - fleet.now())
		fleet.network.resetTraffic()
		names := []string{"quota.admitted_requests", "quota.refused", "quota.refused_by_forecast", "quota.loans_asked", "quota.loans_given", "quota.loans_returned"}
		before := make(map[string]int64)
		for _, name := range names {
			before[name] = fleet.sumCounter(name)
		}
		time.Sleep(time.Minute)
		messages, bytes := fleet.network.trafficTotals()
		fmt.Printf("7 instances, steady load: %.1f messages/s and %.0f body bytes/s for each instance\n", float64(messages)/420, float64(bytes)/420)
		for _, name := range names {
			fmt.Printf("%s %.1f/s in the fleet\n", name, float64(fleet.sumCounter(name)-before[name])/60)
		}
	})
}

func measureScale(fleet *testFleet, n int) {
	const measuringPeriod = 30 * time.Second
	time.Sleep(60 * time.Second)
	fleet.network.resetTraffic()
	suspected := fleet.sumCounter("membership.members_suspected")
	startCPU := cpuTime()
	time.Sleep(measuringPeriod)
	cpu := cpuTime() - startCPU
	messages, bytes := fleet.network.trafficTotals()
	suspected = fleet.sumCounter("membership.members_suspected") - suspected
	meanAge, maxAge := fleet.staleness()
	instanceSeconds := float64(n) * measuringPeriod.Seconds()
	fmt.Printf("%7d %6d %10.2f %9.0f %10d %8.2fs %7.2fs %9.0f %9d\n", n, fleet.fanout, float64(messages)/instanceSeconds, float64(bytes)/instanceSeconds, suspected,
		meanAge.Seconds(), maxAge.Seconds(), float64(cpu.Microseconds())/instanceSeconds, len(fleet.platform.objects["roster/main"].Value))
}

// staleness returns the mean and the greatest age of what an instance knows about another. The age is the number of
// heartbeats by which the known counter is behind the member's own, times the heartbeat interval.
func (fleet *testFleet) staleness() (mean, longest time.Duration) {
	own := make(map[string]uint64)
	for _, n := range fleet.allNodes {
		own[n.name] = n.members.HeartbeatEntries()[n.name].Counter
	}
	sum, count := time.Duration(0), 0
	for _, n := range fleet.allNodes {
		for name, e := range n.members.HeartbeatEntries() {
			if name == n.name {
				continue
			}
			age := time.Duration(own[name]-min(own[name], e.Counter)) * 500 * time.Millisecond
			sum, count, longest = sum+age, count+1, max(longest, age)
		}
	}
	return sum / time.Duration(max(1, count)), longest
}

func (fleet *testFleet) sumCounter(name string) (total int64) {
	for _, n := range fleet.allNodes {
		total += counterValue(n, name)
	}
	return total
}

func (n *network) resetTraffic() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages, n.bytes = 0, 0
}

func (n *network) trafficTotals() (messages, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messages, n.bytes
}

// withFleetOfSize runs f with a fleet that has no customers. A fanout of 0 stands for the default.
func withFleetOfSize(t *testing.T, fanout, size int, f func(*testFleet)) {
	if fanout == 0 {
		fanout = membership.DefaultFanout
	}
	runFleet(t, &testFleet{rng: newRand(1), limits: map[string]quota.Limits{}, fanout: fanout}, size, f)
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
