package node

import (
	"cmp"
	"time"

	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/router/internal/adapter/clientlimit"
	"tanagerwood.dev/router/internal/settings"
)

const (
	// headMemoryFraction is the fraction of the memory for heads of requests beyond an allowance for each, connectionMemoryFraction that
	// for the connections of callers.
	headMemoryFraction       = 0.1
	connectionMemoryFraction = 0.25
	// sideConnectionDivisor gives the connections of the readiness and the metrics listener as a fraction of those of callers,
	// peerConnectionDivisor those of the peers.
	sideConnectionDivisor = 8
	peerConnectionDivisor = 4
	// lingeringDivisor gives the part of the callers' connections that may linger.
	lingeringDivisor = 8
	// sideHeadBytes limits heads on all listeners but the callers'. peerHeadTimeout and peerIdleTimeout apply to the peers'.
	sideHeadBytes   = 16 << 10
	peerHeadTimeout = 3 * time.Second
	peerIdleTimeout = 3 * time.Second
)

// clientLimits makes the limits of the node's listeners, which share the budget for heads.
type clientLimits struct {
	node    *Node
	budget  *clientlimit.Budget
	callers int
}

func (n *Node) newClientLimits(s *settings.Node) clientLimits {
	budget := clientlimit.NewBudget(cmp.Or(int64(s.HeadMemoryMB)<<20, memoryShare(s, headMemoryFraction)))
	metrics.NewRegisteredFunctionalGauge("clients.head_memory_bytes", n.components.Load().metrics, budget.Used)
	return clientLimits{node: n, budget: budget, callers: maxCallerConnections(s)}
}

// maxCallerConnections returns the number of callers' connections that the node may have, lingering ones included.
func maxCallerConnections(s *settings.Node) int {
	derived := clientlimit.MaxConnections(clientlimit.Descriptors(s.MaxDescriptors), memoryShare(s, connectionMemoryFraction))
	return cmp.Or(s.MaxConnections, derived)
}

// maxLingering returns how many of the callers' connections may linger after they were closed, until their answers have been read.
func maxLingering(s *settings.Node) int { return maxCallerConnections(s) / lingeringDivisor }

// callerOptions returns the options of the callers' listener.
func (l clientLimits) callerOptions() clientlimit.Options {
	return l.options("callers", l.callers-maxLingering(l.node.options.Settings), l.node.callerLimits)
}

// sideOptions returns the options of a listener that may have the maximum of callers' connections divided by the divisor.
func (l clientLimits) sideOptions(name string, divisor int, limits func() clientlimit.Limits) clientlimit.Options {
	return l.options(name, l.callers/divisor, limits)
}

func (l clientLimits) options(name string, connections int, limits func() clientlimit.Limits) clientlimit.Options {
	return clientlimit.Options{
		Name: name, Limits: limits, Budget: l.budget, MaxConnections: max(clientlimit.MinConnections, connections),
		Metrics: l.node.components.Load().metrics, Logger: l.node.options.Logger,
	}
}

// callerLimits returns the limits of the configuration in force, and the defaults for those that it does not set.
func (n *Node) callerLimits() clientlimit.Limits {
	limits := clientlimit.Limits{HeadBytes: maxHeaderBytes, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout}
	table := n.components.Load().routingCache.Table()
	if table == nil {
		return limits
	}
	configured := table.Config.Limits
	if configured.HeaderBytes > 0 {
		limits.HeadBytes = min(configured.HeaderBytes, clientlimit.MaxHeadBytes)
	}
	if configured.HeaderTimeout > 0 {
		limits.HeadTimeout = configured.HeaderTimeout
	}
	if configured.IdleTimeout > 0 {
		limits.IdleTimeout = configured.IdleTimeout
	}
	return limits
}

// sideLimits returns the limits of the readiness and the metrics listener.
func sideLimits() clientlimit.Limits {
	return clientlimit.Limits{HeadBytes: sideHeadBytes, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

func peerLimits() clientlimit.Limits {
	return clientlimit.Limits{HeadBytes: sideHeadBytes, HeadTimeout: peerHeadTimeout, IdleTimeout: peerIdleTimeout}
}
