package clientlimit

import (
	"math"
	"syscall"
)

const (
	// reservedDescriptors are kept for files. Of the others, one in descriptorDivisor is for the connections of the largest listener; the
	// rest is for smaller listeners, endpoints, peers and the store.
	reservedDescriptors = 200
	descriptorDivisor   = 2
	// MinConnections is the smallest maximum of a listener.
	MinConnections = 16
)

// Descriptors returns the number of descriptors that the process may open: the configured one, or the process's own limit if that is
// lower or none is configured.
func Descriptors(configured int) int {
	var limit syscall.Rlimit
	own := math.MaxInt32
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		own = int(min(limit.Cur, math.MaxInt32))
	}
	if configured > 0 {
		return min(configured, own)
	}
	return own
}

// MaxConnections returns the number of connections that descriptors and memory allow for the callers of a process.
func MaxConnections(descriptors int, memoryBytes int64) int {
	byDescriptors := int64(descriptors-reservedDescriptors) / descriptorDivisor
	return int(max(MinConnections, min(byDescriptors, memoryBytes/ConnectionBytes)))
}
