package instance

import (
	"cmp"
	"net"
	"os"
	"runtime/debug"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/do/v2"

	"tanagerwood.dev/router/internal/adapter/clientlimit"
)

const (
	// heapMemoryPercent is the part of the memory above which garbage collection runs more often.
	heapMemoryPercent = 70
	// connectionMemoryBytes is the memory for the connections of callers.
	connectionMemoryBytes = 128 << 20
	// peerConnectionDivisor and operatorConnectionDivisor give the connections of the other listeners as fractions of those of callers.
	peerConnectionDivisor     = 2
	operatorConnectionDivisor = 8
)

// clientLimits makes the listeners of an instance, which share the budget for heads.
type clientLimits struct {
	options clientlimit.Options
	callers int
}

func newClientLimits(injector do.Injector, o Options) clientLimits {
	s, registry := o.Settings, do.MustInvoke[metrics.Registry](injector)
	budget := clientlimit.NewBudget(int64(s.HeadMemoryMB) << 20)
	metrics.NewRegisteredFunctionalGauge("clients.head_memory_bytes", registry, budget.Used)
	callers := clientlimit.MaxConnections(clientlimit.Descriptors(s.MaxDescriptors), connectionMemoryBytes)
	return clientLimits{
		options: clientlimit.Options{Limits: headLimits, Budget: budget, Metrics: registry, Logger: o.Logger},
		callers: cmp.Or(s.MaxConnections, callers),
	}
}

// limitHeap sets the runtime's soft limit, unless the environment has set it.
func limitHeap(memoryMB int) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(memoryMB) << 20 * heapMemoryPercent / 100)
	}
}

func headLimits() clientlimit.Limits {
	return clientlimit.Limits{HeadBytes: maxHeaderBytes, HeadTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// listen limits the clients of a listener, which may have the maximum of callers' connections divided by the divisor.
func (c clientLimits) listen(name string, divisor int, l net.Listener) *clientlimit.Listener {
	o := c.options
	o.Name, o.MaxConnections = name, max(clientlimit.MinConnections, c.callers/divisor)
	return clientlimit.Listen(l, o)
}
