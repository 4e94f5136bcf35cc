package clientlimit

import "testing"

// Guards against connections that leave no descriptors for files, endpoints and peers, or take more memory than their share.
func TestMaxConnections(t *testing.T) {
	for _, c := range []struct {
		descriptors, memoryMB, want int
	}{{3075, 28, 716}, {8192, 1024, 3996}, {100, 28, MinConnections}, {4100, 0, MinConnections}} {
		if got := MaxConnections(c.descriptors, int64(c.memoryMB)<<20); got != c.want {
			t.Error(c, got)
		}
	}
}
