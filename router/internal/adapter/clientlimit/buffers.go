package clientlimit

import (
	"math/bits"
	"sync"
)

const (
	// smallestBufferBits and largestBufferBits are the binary logarithms of the sizes of the smallest and the largest buffer.
	smallestBufferBits = 11
	largestBufferBits  = 21
)

// bufferPools hold buffers for heads that come in parts, by the logarithm of their size. Clients that send large heads again and again
// would otherwise leave much memory to the garbage collector.
var bufferPools [largestBufferBits + 1]sync.Pool

// newBuffer returns an empty buffer with a capacity of size bytes or up to twice as much.
func newBuffer(size int) []byte {
	class := max(smallestBufferBits, bits.Len(uint(size-1)))
	if class > largestBufferBits {
		return make([]byte, 0, size)
	}
	if b, ok := bufferPools[class].Get().(*[]byte); ok {
		return (*b)[:0]
	}
	return make([]byte, 0, 1<<class)
}

// recycleBuffer takes back a buffer, unless it is not of one of the sizes.
func recycleBuffer(b []byte) {
	class := bits.Len(uint(cap(b))) - 1
	if class >= smallestBufferBits && class <= largestBufferBits && cap(b) == 1<<class {
		bufferPools[class].Put(&b)
	}
}
