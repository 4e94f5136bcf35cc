//go:build scale

// Measurements of control traffic against the size of the fleet. They print figures and judge nothing, and take minutes:
// go test -tags scale -run 'TestFleetScale|TestLoanTraffic' -v

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

func init() { measuring = true }

// TestFleetScale prints control traffic and staleness for fleets of several sizes, without load and without faults.
func TestFleetScale(t *testing.T) {
	fmt.Println("members fanout messages/s  body-B/s  suspected  mean-age  max-age  CPU-us/s  roster-B")
	for _, n := range []int{2, 8, 32, 128, 340} {
		inWorldOf(t, *scaleFanout, n, func(w *world) { measureScale(w, n) })
	}
}

// TestLoanTraffic prints the messages of the steady load of the fault tests.
func TestLoanTraffic(t *testing.T) {
	inWorld(t, 1, 7, steadyLimits(), func(w *world) {
		time.Sleep(10 * time.Second)
		w.steadyLoad()
		time.Sleep(warmUp - w.now())
		w.net.reset()
		names := []string{"quota.admitted_requests", "quota.refused", "quota.refused_by_forecast", "quota.loans_asked", "quota.loans_given", "quota.loans_returned"}
		before := make(map[string]int64)
		for _, name := range names {
			before[name] = w.sum(name)
		}
		time.Sleep(time.Minute)
		messages, bytes := w.net.totals()
		fmt.Printf("7 instances, steady load: %.1f messages/s and %.0f body bytes/s for each instance\n", float64(messages)/420, float64(bytes)/420)
		for _, name := range names {
			fmt.Printf("%s %.1f/s in the fleet\n", name, float64(w.sum(name)-before[name])/60)
		}
	})
}

func measureScale(w *world, n int) {
	const period = 30 * time.Second
	time.Sleep(60 * time.Second)
	w.net.reset()
	suspected := w.sum("membership.members_suspected")
	began := cpuTime()
	time.Sleep(period)
	cpu := cpuTime() - began
	messages, bytes := w.net.totals()
	suspected = w.sum("membership.members_suspected") - suspected
	mean, longest := w.staleness()
	per := float64(n) * period.Seconds()
	fmt.Printf("%7d %6d %10.2f %9.0f %10d %8.2fs %7.2fs %9.0f %9d\n", n, w.fanout, float64(messages)/per, float64(bytes)/per, suspected,
		mean.Seconds(), longest.Seconds(), float64(cpu.Microseconds())/per, len(w.platform.objects["roster/main"].Value))
}

// staleness is the mean and the greatest age of what an instance knows about another: the time since it heard of a
// heartbeat of it, plus the age of this heartbeat as counted in periods behind the member's own counter.
func (w *world) staleness() (mean, longest time.Duration) {
	own := make(map[string]uint64)
	for _, n := range w.all {
		own[n.name] = n.members.Entries()[n.name].Counter
	}
	sum, count := time.Duration(0), 0
	for _, n := range w.all {
		for name, e := range n.members.Entries() {
			if name == n.name {
				continue
			}
			age := time.Duration(own[name]-min(own[name], e.Counter)) * 500 * time.Millisecond
			sum, count, longest = sum+age, count+1, max(longest, age)
		}
	}
	return sum / time.Duration(max(1, count)), longest
}

func (w *world) sum(name string) (total int64) {
	for _, n := range w.all {
		total += counter(n, name)
	}
	return total
}

func (n *network) reset() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages, n.bytes = 0, 0
}

func (n *network) totals() (messages, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messages, n.bytes
}

// inWorldOf runs f with a fleet without customers.
func inWorldOf(t *testing.T, fanout, size int, f func(*world)) {
	if fanout == 0 {
		fanout = membership.DefaultFanout
	}
	runWorld(t, &world{rng: newRand(1), limits: map[string]quota.Limits{}, fanout: fanout}, size, f)
}

// cpuTime is the processor time that this process has used.
func cpuTime() time.Duration {
	var u unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
