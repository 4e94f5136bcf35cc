package membudget_test

import (
	"bytes"
	"errors"
	"sync"
	"testing"

	"tanagerwood.dev/api/membudget"
)

// Guards against a budget that concurrent answers exceed or that is not given back.
func TestBudgetIsSharedAndGivenBack(t *testing.T) {
	const answers, size, allowance, limit = 50, 64 << 10, 8 << 10, 1 << 20
	b := membudget.New(allowance, limit)
	var group sync.WaitGroup
	for range answers {
		group.Go(func() {
			h := b.Open()
			defer h.Close()
			for range 20 {
				body, err := membudget.ReadAll(bytes.NewReader(make([]byte, size)), size, &h)
				if used := b.Used(); used > limit+answers*2*size {
					t.Error("used:", used)
				}
				if err == nil && len(body) != size || err != nil && !errors.Is(err, membudget.ErrExhausted) {
					t.Error(len(body), err)
				}
			}
		})
	}
	group.Wait()
	if b.Used() != 0 {
		t.Error(b.Used(), "bytes are not given back")
	}
}

// Guards against short answers that fail while long ones have used up the budget.
func TestShortAnswersAreReadWhileTheBudgetIsUsedUp(t *testing.T) {
	b := membudget.New(16<<10, 100<<10)
	long := b.Open()
	if _, err := membudget.ReadAll(bytes.NewReader(make([]byte, 1<<20)), 1<<20, &long); !errors.Is(err, membudget.ErrExhausted) {
		t.Fatal(err)
	}
	if err := long.Resize(116 << 10); err != nil {
		t.Fatal(err)
	}
	short := b.Open()
	if body, err := membudget.ReadAll(bytes.NewReader(make([]byte, 3<<10)), 1<<20, &short); err != nil || len(body) != 3<<10 {
		t.Error(len(body), err)
	}
	other := b.Open()
	if _, err := membudget.ReadAll(bytes.NewReader(make([]byte, 32<<10)), 1<<20, &other); !errors.Is(err, membudget.ErrExhausted) {
		t.Error("a long answer was read:", err)
	}
	long.Close()
	if _, err := membudget.ReadAll(bytes.NewReader(make([]byte, 32<<10)), 1<<20, &other); err != nil {
		t.Error("the budget was not given back:", err)
	}
}

// Guards against a limit that is exceeded, or that cuts off an answer of just that size.
func TestReadAllStopsAtItsLimit(t *testing.T) {
	for _, size := range []int{0, 1, 1023, 1024, 1025, 5000} {
		var unlimited membudget.Holding
		body, err := membudget.ReadAll(bytes.NewReader(make([]byte, size)), 1024, &unlimited)
		if err != nil || len(body) != min(size, 1024) {
			t.Error(size, len(body), err)
		}
	}
}
