package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Fault is a kind of fault or change that a run injects.
type Fault string

// Faults of instances are planned (stop, rolling restart, reload) or unplanned. The others are faults of the store, of the
// network path between one instance and the store, of servers and of their network paths, and configuration changes by the
// operator.
const (
	Kill                Fault = "kill"
	KillAll             Fault = "kill-all"
	Freeze              Fault = "freeze"
	Stop                Fault = "stop"
	RollingRestart      Fault = "roll"
	Reload              Fault = "reload"
	StorePartition      Fault = "store-cut"
	StoreUnavailable    Fault = "store-down"
	StoreSlow           Fault = "store-slow"
	StoreResponseLoss   Fault = "store-answers-lost"
	StoreHistoryLoss    Fault = "store-history-lost"
	StoreRestore        Fault = "store-back-from-copy"
	StoreSilent         Fault = "store-silent"
	ServerCrash         Fault = "server-crash"
	ServerReplacement   Fault = "server-release"
	ServerMisbehavior   Fault = "server-misbehavior"
	ServerPathPartition Fault = "server-path-cut"
	ServerPathReset     Fault = "server-path-reset"
	ServerPathSlow      Fault = "server-path-slow"
	ServersLeave        Fault = "servers-leave"
	ServerLimit         Fault = "server-limit"
	Evacuation          Fault = "evacuation"
	PoisonPart          Fault = "poison-part"
	DeadlyRequest       Fault = "deadly-request"
	ConfigurationChange Fault = "configuration"
	ConfigurationStorm  Fault = "configuration-storm"
)

// weighted is a choice with its relative frequency.
type weighted[T any] struct {
	value  T
	weight int
}

// draw picks a random choice according to the weights.
func draw[T any](random *rand.Rand, choices []weighted[T]) T {
	sum := 0
	for _, c := range choices {
		sum += c.weight
	}
	n := random.IntN(sum)
	for _, c := range choices {
		if n < c.weight {
			return c.value
		}
		n -= c.weight
	}
	panic("soak: the weights do not add up")
}

// faultWeights are the relative frequencies of the faults. Configuration changes are frequent, as they are in operation.
var faultWeights = []weighted[Fault]{
	{Kill, 4}, {KillAll, 1}, {Freeze, 4}, {Stop, 4}, {RollingRestart, 2}, {Reload, 2}, {StorePartition, 3}, {StoreUnavailable, 2}, {StoreSlow, 2},
	{StoreResponseLoss, 2}, {StoreHistoryLoss, 2}, {StoreRestore, 2}, {ServerCrash, 4}, {ServerReplacement, 4}, {ServerMisbehavior, 6}, {ServerPathPartition, 3}, {ServerPathReset, 3}, {ServerPathSlow, 2},
	{ConfigurationChange, 6}, {ConfigurationStorm, 1},
}

const (
	// limitShare is the share of the plans in which servers announce request limits, and meanLimitPause the mean time between such
	// faults, which last longer than that.
	limitShare     = 0.5
	meanLimitPause = 3 * time.Second
	// silentShare is the share of the plans in which the store falls silent, and meanSilentPause the mean time between such faults.
	silentShare     = 0.3
	meanSilentPause = 8 * time.Second
	// warmUp is the time before the first fault, in which the checks see undisturbed traffic.
	warmUp = 3 * time.Second
	// meanPause is the mean time between faults, so that faults of the usual duration often overlap.
	meanPause = 1200 * time.Millisecond
	// kindShare is the share of the kinds of faults that a plan draws from, and minKinds their minimum number. With few kinds
	// in a run, periods remain undisturbed in which the other guarantees are checked; different seeds combine different kinds.
	kindShare = 0.2
	minKinds  = 2
	// minFaultDuration and maxFaultDuration bound how long a fault lasts; the maximum exceeds the time after which peers and
	// connections are considered dead (2 s).
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3500 * time.Millisecond
)

// Action is one fault at an offset from the start of the traffic.
type Action struct {
	At    time.Duration
	Fault Fault
	// Duration is how long the fault lasts, or the pause before a process is restarted.
	Duration time.Duration
	// Target chooses the instance or the server, Variant the form of the fault; both are taken modulo the number of choices.
	Target, Variant int
}

// String formats the action in one line.
func (a Action) String() string {
	return fmt.Sprintf("%6.2fs %s target %d variant %d for %v", a.At.Seconds(), a.Fault, a.Target, a.Variant, a.Duration.Round(time.Millisecond))
}

// Plan is the schedule of faults of one run.
type Plan struct {
	Seed    uint64
	Length  time.Duration
	Actions []Action
}

// NewPlan draws a random plan for traffic of the given length.
func NewPlan(seed uint64, length time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, 1))
	p := Plan{Seed: seed, Length: length}
	kinds := drawKinds(random)
	for at := warmUp; ; {
		at += time.Duration(random.ExpFloat64() * float64(meanPause))
		if at >= length {
			break
		}
		p.Actions = append(p.Actions, Action{
			At: at, Fault: draw(random, kinds), Duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
			Target: random.IntN(1 << 16), Variant: random.IntN(1 << 16),
		})
	}
	p.Actions = append(p.Actions, repeatedActions(seed, limitStream, ServerLimit, limitShare, meanLimitPause, length)...)
	p.Actions = append(p.Actions, lastingActions(seed, poisonStream, PoisonPart, poisonPlanShare, length)...)
	p.Actions = append(p.Actions, repeatedActions(seed, silentStream, StoreSilent, silentShare, meanSilentPause, length)...)
	p.Actions = append(p.Actions, lastingActions(seed, deadlyStream, DeadlyRequest, deadlyPlanShare, length)...)
	p.Actions = append(p.Actions, repeatedActions(seed, leavingStream, ServersLeave, leavingShare, meanLeavingPause, length)...)
	p.Actions = append(p.Actions, repeatedActions(seed, evacuationStream, Evacuation, evacuationShare, meanEvacuationPause, length)...)
	slices.SortFunc(p.Actions, func(a, b Action) int { return cmp.Compare(a.At, b.At) })
	return p
}

// Random streams of a seed from which faults are drawn apart from the others, which are the same with and without them.
const (
	limitStream  = 2
	poisonStream = 3
	silentStream = 4
	deadlyStream = 5
	// Stream 6 is that of the sends of deadly requests.
	leavingStream    = 7
	evacuationStream = 8
)

// repeatedActions draws whether a plan has a fault, and when; meanPause is the mean time between two of them.
func repeatedActions(seed, stream uint64, f Fault, share float64, meanPause, length time.Duration) (out []Action) {
	random := rand.New(rand.NewPCG(seed, stream))
	if random.Float64() >= share {
		return nil
	}
	for at := warmUp; at < length; at += time.Duration(random.ExpFloat64() * float64(meanPause)) {
		out = append(out, Action{
			At: at, Fault: f, Duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
			Target: random.IntN(1 << 16), Variant: random.IntN(1 << 16),
		})
	}
	return out
}

// lastingActions draws whether a plan has a fault that lasts to its end, and when it begins.
func lastingActions(seed, stream uint64, f Fault, share float64, length time.Duration) []Action {
	random := rand.New(rand.NewPCG(seed, stream))
	if random.Float64() >= share {
		return nil
	}
	at := warmUp + time.Duration(random.Float64()*float64(length-warmUp)/2)
	return []Action{{At: at, Fault: f, Duration: length - at, Variant: random.IntN(1 << 16)}}
}

// drawKinds draws the kinds of faults that a plan uses.
func drawKinds(random *rand.Rand) []weighted[Fault] {
	var kinds []weighted[Fault]
	for _, n := range random.Perm(len(faultWeights)) {
		if len(kinds) < minKinds || random.Float64() < kindShare {
			kinds = append(kinds, faultWeights[n])
		}
	}
	return kinds
}

// String formats the plan with one line per action.
func (p Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %v\n", p.Seed, p.Length)
	for _, a := range p.Actions {
		fmt.Fprintln(&b, a)
	}
	return b.String()
}
