package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, "20260101") }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func call(c string, weight, cost, value int) Item[int] {
	return Item[int]{Customer: fleet.Customer(c), Weight: weight, Cost: cost, Value: value, Deadline: start.Add(time.Minute)}
}

// Guards against shares that differ from the weights: while customers have
// calls waiting, the cost served for each must stay within one call and one
// quantum of its ideal fluid share.
func TestSharesAgainstFluidModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](Limits{PerCustomer: 1000, Total: 10000})
		customers := rapid.IntRange(2, 5).Draw(t, "customers")
		weights := make([]int, customers)
		total, maxCost := 0, 0
		for c := range customers {
			weights[c] = rapid.IntRange(1, 4).Draw(t, "weight")
			total += weights[c]
			for i := range 400 {
				cost := rapid.IntRange(1, 3).Draw(t, "cost")
				maxCost = max(maxCost, cost)
				require.Equal(t, Queued, q.Push(start, call(fmt.Sprint(c), weights[c], cost, i)))
			}
		}
		served := map[fleet.Customer]int{}
		all := 0
		for range 200 {
			it, ok := q.Take(start)
			require.True(t, ok)
			served[it.Customer] += it.cost()
			all += it.cost()
		}
		for c, w := range weights {
			ideal := float64(all) * float64(w) / float64(total)
			// A deficit round robin differs from the fluid share by less than
			// one round of this customer and one largest call.
			require.InDelta(t, ideal, served[fleet.Customer(fmt.Sprint(c))], float64(2*w+2*maxCost))
		}
	})
}

// Guards against lost, duplicated or spurious calls, against an order that
// ignores priority or arrival, and against exceeded limits.
func TestContentAgainstNaiveList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{PerCustomer: 4, Total: 10}
		q := New[int](limits)
		waiting := map[fleet.Customer][]Item[int]{}
		count := 0
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "customer"))
			if rapid.Bool().Draw(t, "push") {
				it := call(c, 1, 1, i)
				it.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				list := waiting[it.Customer]
				full := len(list) >= limits.PerCustomer || (count >= limits.Total && len(list) > 0)
				require.Equal(t, full, q.Push(start, it) != Queued)
				if !full {
					waiting[it.Customer] = append(list, it)
					count++
				}
				continue
			}
			peeked := q.Peek()
			it, ok := q.Take(start)
			require.Equal(t, count > 0, ok)
			if !ok {
				continue
			}
			require.NotNil(t, peeked)
			best := firstOf(waiting[it.Customer])
			require.Equal(t, waiting[it.Customer][best].Value, it.Value)
			waiting[it.Customer] = append(waiting[it.Customer][:best:best], waiting[it.Customer][best+1:]...)
			count--
			require.Equal(t, count, q.Len())
		}
	})
}

// firstOf returns the index of the first item with the highest priority.
func firstOf(list []Item[int]) int {
	best := 0
	for i := range list {
		if list[i].Priority > list[best].Priority {
			best = i
		}
	}
	return best
}

// Guards against a customer whose many calls delay the calls of another one.
func TestFloodDoesNotDelayOthers(t *testing.T) {
	q := New[int](Limits{PerCustomer: 100, Total: 100})
	for i := range 100 {
		require.Equal(t, Queued, q.Push(start, call("flood", 1, 1, i)))
	}
	require.Equal(t, CustomerFull, q.Push(start, call("flood", 1, 1, 100)))
	require.Equal(t, Queued, q.Push(start, call("other", 1, 1, 0)))
	var order []fleet.Customer
	for range 3 {
		it, _ := q.Take(start)
		order = append(order, it.Customer)
	}
	require.Contains(t, order[:2], fleet.Customer("other"))
}

// Guards against calls that stay queued past their deadline or after their
// caller disconnected.
func TestExpireRemovesLateAndAbandonedCalls(t *testing.T) {
	q := New[int](Limits{PerCustomer: 10, Total: 10})
	late := call("a", 1, 1, 1)
	late.Deadline = start.Add(time.Second)
	for _, it := range []Item[int]{late, call("a", 1, 1, 2), call("b", 1, 1, 3)} {
		require.Equal(t, Queued, q.Push(start, it))
	}
	out := q.Expire(start.Add(time.Second), func(v int) bool { return v == 3 })
	require.Len(t, out, 2)
	it, ok := q.Take(start)
	require.True(t, ok)
	require.Equal(t, 2, it.Value)
}

// Guards against a call that loses its position in the queue because an upstream
// refused it.
func TestReturnedCallGoesFirst(t *testing.T) {
	q := New[int](Limits{PerCustomer: 10, Total: 10})
	for i := range 3 {
		require.Equal(t, Queued, q.Push(start, call("a", 1, 1, i)))
	}
	first, _ := q.Take(start)
	q.PutBack(first)
	again, _ := q.Take(start)
	require.Equal(t, first.Value, again.Value)
}

// Guards against a constant Retry-After, with which all rejected callers would
// retry while the queue is still long.
func TestRetryAfterFollowsTheQueue(t *testing.T) {
	q := New[int](Limits{PerCustomer: 1000, Total: 1000})
	for i := range 100 {
		require.Equal(t, Queued, q.Push(start, call("a", 1, 1, i)))
	}
	for i := range 50 {
		q.Take(start.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	require.InDelta(t, 5*time.Second, q.RetryAfter(), float64(500*time.Millisecond))
}

func BenchmarkPushTake(b *testing.B) {
	q := New[int](Limits{PerCustomer: 1000, Total: 10000})
	for c := range 10 {
		for i := range 100 {
			q.Push(start, call(fmt.Sprint(c), 1, 1, i))
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		it, _ := q.Take(start)
		q.Push(start, it)
	}
}

// Guards against an estimate of the calls ahead that ignores priorities within a customer,
// or the round robin between customers.
func TestCallsAhead(t *testing.T) {
	now := time.Unix(1000, 0)
	q := New[int](Limits{PerCustomer: 10, Total: 100})
	push := func(c fleet.Customer, priority int) {
		require.Equal(t, Queued, q.Push(now, Item[int]{Customer: c, Priority: priority, Deadline: now.Add(time.Second)}))
	}
	for _, priority := range []int{1, 1, 2, 3} {
		push("many", priority)
	}
	push("one", 1)
	require.Equal(t, 5, q.Ahead("many", 1))
	require.Equal(t, 3, q.Ahead("many", 2))
	require.Equal(t, 1, q.Ahead("many", 4))
	require.Equal(t, 2, q.Ahead("none", 1))
	require.Equal(t, 3, q.Ahead("one", 1))
}
