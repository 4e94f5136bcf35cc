package fairqueue_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tanagerwood.dev/router/internal/domain/fairqueue"
)

var start = time.Unix(1_000_000, 0)

func item(customer string, weight, tokens int64, latest time.Duration) *fairqueue.Item[string] {
	return &fairqueue.Item[string]{Customer: customer, Weight: weight, Tokens: tokens, LatestStart: start.Add(latest), Value: customer}
}

// serve dequeues n heads and returns the tokens that each customer received.
func serve(q *fairqueue.Queue[string], n int) map[string]int64 {
	got := map[string]int64{}
	for range n {
		head := q.Head()
		got[head.Customer] += head.Tokens
		Expect(q.Dequeue(head)).To(BeTrue())
	}
	return got
}

var _ = Describe("fair queue", func() {
	// Guards against a customer that sends five times as many requests and starves the others.
	It("gives customers equal tokens, whatever they have waiting", func() {
		q := fairqueue.New[string]()
		for range 100 {
			q.Push(item("quiet", 1, 1000, time.Hour))
			for range 5 {
				q.Push(item("noisy", 1, 1000, time.Minute)) // less slack must not gain more than one quantum
			}
		}
		got := serve(q, 100)
		Expect(got["quiet"]).To(BeNumerically("~", got["noisy"], 2*fairqueue.Quantum))
	})

	It("serves in proportion to weights", func() {
		q := fairqueue.New[string]()
		for range 300 {
			q.Push(item("one", 1, 1000, time.Hour))
			q.Push(item("three", 3, 1000, time.Hour))
		}
		got := serve(q, 200)
		Expect(float64(got["three"]) / float64(got["one"])).To(BeNumerically("~", 3, 0.4))
	})

	It("serves the least slack first among customers with equal service", func() {
		q := fairqueue.New[string]()
		q.Push(item("a", 1, 10, 3*time.Second))
		q.Push(item("b", 1, 10, time.Second))
		q.Push(item("c", 1, 10, 2*time.Second))
		Expect([]string{first(q), first(q), first(q)}).To(Equal([]string{"b", "c", "a"}))
	})

	It("gains no credit while idle", func() {
		q := fairqueue.New[string]()
		for range 200 {
			q.Push(item("busy", 1, 1000, time.Minute))
		}
		serve(q, 100)
		for range 100 {
			q.Push(item("late", 1, 1000, time.Hour))
		}
		got := serve(q, 40)
		Expect(got["busy"]).To(BeNumerically(">=", 20_000-2*fairqueue.Quantum))
	})

	It("expires requests in order of their latest start", func() {
		q := fairqueue.New[string]()
		q.Push(item("a", 1, 10, 2*time.Second))
		q.Push(item("b", 1, 10, time.Second))
		Expect(q.PopExpired(start)).To(BeNil())
		Expect(q.PopExpired(start.Add(90 * time.Second)).Customer).To(Equal("b"))
		Expect(q.PopExpired(start.Add(90 * time.Second)).Customer).To(Equal("a"))
		Expect(q.Len()).To(BeZero())
	})

	It("estimates the tokens served before a new request from its customer's service", func() {
		q := fairqueue.New[string]()
		for range 50 {
			q.Push(item("noisy", 1, 1000, time.Hour))
		}
		Expect(q.TokensAhead("noisy", 1)).To(Equal(int64(50_000)))
		Expect(q.TokensAhead("quiet", 1)).To(BeNumerically("<=", fairqueue.Quantum))
	})

	// Guards against lost or duplicated requests under random sequences of operations.
	It("neither loses nor repeats a request", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			q := fairqueue.New[string]()
			waiting := map[*fairqueue.Item[string]]bool{}
			steps := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 200).Draw(t, "steps")
			for i, step := range steps {
				switch {
				case step <= 2:
					it := item(string(rune('a'+i%4)), int64(step), int64(100*(i%7+1)), time.Duration(i%11)*time.Second)
					q.Push(it)
					waiting[it] = true
				case step == 3:
					if it := q.PopExpired(start.Add(time.Duration(i%11) * time.Second)); it != nil {
						remove(t, waiting, it)
					}
				default:
					if it := q.Head(); it != nil {
						if (step == 4 && !q.Dequeue(it)) || (step == 5 && !q.Remove(it)) {
							t.Fatal("the head was not in the queue")
						}
						remove(t, waiting, it)
					}
				}
				if q.Len() != len(waiting) {
					t.Fatalf("length %d, expected %d", q.Len(), len(waiting))
				}
			}
			for q.Len() > 0 {
				it := q.Head()
				q.Dequeue(it)
				remove(t, waiting, it)
				if q.Dequeue(it) {
					t.Fatal("a request was dequeued twice")
				}
			}
		})
	})
})

func first(q *fairqueue.Queue[string]) string {
	head := q.Head()
	q.Dequeue(head)
	return head.Customer
}

func remove(t *rapid.T, waiting map[*fairqueue.Item[string]]bool, it *fairqueue.Item[string]) {
	if !waiting[it] {
		t.Fatal("a request was dequeued that was not queued")
	}
	delete(waiting, it)
}
