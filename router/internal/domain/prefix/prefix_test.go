package prefix_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/router/internal/domain/prefix"
)

var _ = Describe("prefix index", func() {
	It("matches leading blocks only", func() {
		x := prefix.New(1000)
		x.Store("p1", 1, 2, 3)
		x.Store("p2", 1, 3)
		m := x.Match([]uint64{1, 2, 3, 4})
		Expect(m.LeadingBlocks("p1")).To(Equal(3))
		Expect(m.LeadingBlocks("p2")).To(Equal(1))
		Expect(m.LeadingBlocks("p3")).To(BeZero())
		x.Remove("p1", 2)
		Expect(x.Match([]uint64{1, 2, 3}).LeadingBlocks("p1")).To(Equal(1))
		x.ClearEndpoint("p2")
		Expect(x.Match([]uint64{1}).LeadingBlocks("p2")).To(BeZero())
	})

	// Guards the memory limit of an instance against cache events of any number of blocks.
	It("stays within its bound and drops the oldest blocks", func() {
		x := prefix.New(64 * 10)
		for b := range uint64(100_000) {
			x.Store("p", b)
		}
		Expect(x.Len()).To(BeNumerically("<=", 64*10))
		Expect(x.Match([]uint64{99_999}).LeadingBlocks("p")).To(Equal(1))
		Expect(x.Match([]uint64{0}).LeadingBlocks("p")).To(BeZero())
	})

	It("bounds the endpoints and reuses the bit of a removed one without its blocks", func() {
		x := prefix.New(1000)
		for i := range prefix.MaxEndpoints {
			x.Store(fmt.Sprint(i), 7)
		}
		x.Store("one too many", 7)
		Expect(x.Match([]uint64{7}).LeadingBlocks("one too many")).To(BeZero())
		x.RemoveEndpoint("5")
		x.Store("new", 8)
		Expect(x.Match([]uint64{7}).LeadingBlocks("new")).To(BeZero())
		Expect(x.Match([]uint64{8}).LeadingBlocks("new")).To(Equal(1))
	})
})
