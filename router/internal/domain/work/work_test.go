package work_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/router/internal/domain/work"
)

func TestWork(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "work")
}

// Guards against work that is counted twice, or for ever after an instance is gone.
var _ = It("adds this instance's work and what the others tell", func() {
	b := work.NewTracker()
	b.Add("e", work.Load{Requests: 1, Tokens: 10})
	b.ReplacePeer("p", map[string]work.Load{"e": {Requests: 2, Tokens: 20}})
	b.ReplacePeer("q", map[string]work.Load{"e": {Requests: 1, Tokens: 5}, "f": {Requests: 1}})
	Expect(b.TotalAt("e")).To(Equal(work.Load{Requests: 4, Tokens: 35}))
	Expect(b.Local()).To(Equal(map[string]work.Load{"e": {Requests: 1, Tokens: 10}}))
	b.ReplacePeer("p", map[string]work.Load{})
	b.ReplacePeer("q", nil)
	b.Subtract("e", work.Load{Requests: 1, Tokens: 10})
	Expect(b.TotalAt("e")).To(BeZero())
	Expect(b.Local()).To(BeEmpty())
})
