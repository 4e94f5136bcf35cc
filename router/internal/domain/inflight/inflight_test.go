package inflight_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/router/internal/domain/inflight"
)

func TestWork(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "work")
}

// Guards against work that is counted twice, or for ever after an instance is gone.
var _ = It("adds this instance's work and what the others tell", func() {
	b := inflight.NewTracker()
	b.Add("e", inflight.Load{Requests: 1, Tokens: 10})
	b.ReplacePeer("p", map[string]inflight.Load{"e": {Requests: 2, Tokens: 20}})
	b.ReplacePeer("q", map[string]inflight.Load{"e": {Requests: 1, Tokens: 5}, "f": {Requests: 1}})
	Expect(b.TotalAt("e")).To(Equal(inflight.Load{Requests: 4, Tokens: 35}))
	Expect(b.Local()).To(Equal(map[string]inflight.Load{"e": {Requests: 1, Tokens: 10}}))
	b.ReplacePeer("p", map[string]inflight.Load{})
	b.ReplacePeer("q", nil)
	b.Subtract("e", inflight.Load{Requests: 1, Tokens: 10})
	Expect(b.TotalAt("e")).To(BeZero())
	Expect(b.Local()).To(BeEmpty())
})
