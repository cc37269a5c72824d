package fairshare_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ibisline/internal/fake/testbed"
	"ibisline/internal/policy/fairshare"
)

func TestMain(m *testing.M) { testbed.Main(m, testbed.DefaultSchedules) }

var epoch = time.Unix(1_000_000, 0)

func item(owner string, cost float64) *fairshare.Item {
	return &fairshare.Item{Owner: owner, Cost: cost, Arrived: epoch}
}

// serve grants n requests while every owner keeps a backlog, and returns the
// cost that each owner received.
func serve(q *fairshare.Fair, owners []string, n int, cost func(owner string) float64) map[string]float64 {
	received := map[string]float64{}
	for _, owner := range owners {
		q.Push(item(owner, cost(owner)))
	}
	for range n {
		granted, _ := q.Pop()
		received[granted.Owner] += granted.Cost
		q.Push(item(granted.Owner, cost(granted.Owner)))
	}
	return received
}

func TestOwnersWithBacklogReceiveTheirShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := map[string]float64{}
		owners := []string{"a", "b", "c", "d"}[:rapid.IntRange(2, 4).Draw(t, "owners")]
		for _, owner := range owners {
			shares[owner] = float64(rapid.IntRange(1, 20).Draw(t, "share"))
		}
		const maxCost = 1000
		q := fairshare.NewFair()
		q.SetShares(shares)
		received := serve(q, owners, 400, func(string) float64 {
			return float64(rapid.IntRange(1, maxCost).Draw(t, "cost"))
		})
		for _, a := range owners {
			for _, b := range owners {
				gap := received[a]/shares[a] - received[b]/shares[b]
				require.LessOrEqual(t, gap, maxCost/shares[a]+maxCost/shares[b])
			}
		}
	})
}

func TestIdleOwnerAccumulatesNoCredit(t *testing.T) {
	q := fairshare.NewFair()
	serve(q, []string{"busy"}, 500, func(string) float64 { return 100 })
	received := serve(q, []string{"busy", "back"}, 100, func(string) float64 { return 100 })
	require.InDelta(t, received["busy"], received["back"], 200)
}

func TestReturningOwnerIsServedWithinTwoGrants(t *testing.T) {
	q := fairshare.NewFair()
	q.SetShares(map[string]float64{"small": 1, "large": 9})
	serve(q, []string{"small"}, 50, func(string) float64 { return 100 })
	q.Push(item("large", 100))
	first, _ := q.Pop()
	second, _ := q.Pop()
	require.Contains(t, []string{first.Owner, second.Owner}, "large")
}

func TestChangedSharesApplyFromTheNextGrant(t *testing.T) {
	q := fairshare.NewFair()
	q.SetShares(map[string]float64{"a": 0.001, "b": 1})
	cost := func(string) float64 { return 100 }
	owners := []string{"a", "b"}
	serve(q, owners, 100, cost)
	q.SetShares(map[string]float64{"a": 1, "b": 1})
	received := map[string]float64{}
	for range 100 {
		granted, _ := q.Pop()
		received[granted.Owner] += granted.Cost
		q.Push(item(granted.Owner, 100))
	}
	require.InDelta(t, received["a"], received["b"], 200)
}

func TestUnderestimatedCostIsChargedLater(t *testing.T) {
	q := fairshare.NewFair()
	received := map[string]float64{}
	actual := map[string]float64{"honest": 10, "greedy": 1000}
	q.Push(item("honest", 10))
	q.Push(item("greedy", 10))
	for range 2000 {
		granted, _ := q.Pop()
		q.Settle(granted, actual[granted.Owner])
		received[granted.Owner] += actual[granted.Owner]
		q.Push(item(granted.Owner, 10))
	}
	require.InDelta(t, 1, received["greedy"]/received["honest"], 0.2)
}

// Within an owner a request is overtaken only by requests that arrive at most
// MaxDelay after it, regardless of their class and attained service.
func TestWaitingIsBounded(t *testing.T) {
	classes := []string{fairshare.Interactive, fairshare.Standard, fairshare.Batch, "other"}
	rapid.Check(t, func(t *rapid.T) {
		q := fairshare.NewFair()
		for range rapid.IntRange(2, 50).Draw(t, "n") {
			q.Push(&fairshare.Item{
				Owner:    "a",
				Class:    rapid.SampledFrom(classes).Draw(t, "class"),
				Attained: rapid.Float64Range(0, 1e9).Draw(t, "attained"),
				Cost:     1,
				Arrived:  epoch.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "second")) * time.Second),
			})
		}
		latest := epoch
		for q.Len() > 0 {
			granted, _ := q.Pop()
			require.LessOrEqual(t, latest.Sub(granted.Arrived), fairshare.MaxDelay)
			if granted.Arrived.After(latest) {
				latest = granted.Arrived
			}
		}
	})
}

func TestOldestRequestIsServedDuringBurstOfHigherClass(t *testing.T) {
	q := fairshare.NewFair()
	q.Push(&fairshare.Item{Owner: "a", Class: fairshare.Batch, Attained: 1e6, Cost: 1, Arrived: epoch})
	for i := range 20 {
		q.Push(&fairshare.Item{Owner: "a", Class: fairshare.Interactive, Cost: 1, Arrived: epoch.Add(time.Second)})
		granted, _ := q.Pop()
		if granted.Class == fairshare.Batch {
			require.Less(t, i, 8)
			return
		}
	}
	require.Fail(t, "the oldest request was never served")
}

func TestEarlierProgramIsFinishedFirst(t *testing.T) {
	q := fairshare.NewFair()
	fresh := &fairshare.Item{Owner: "a", Cost: 1, Arrived: epoch}
	begun := &fairshare.Item{Owner: "a", Cost: 1, Age: 20 * time.Second, Attained: 2000, Arrived: epoch.Add(time.Second)}
	session := &fairshare.Item{Owner: "a", Cost: 1, Age: time.Hour, Attained: 500_000, Arrived: epoch}
	for _, it := range []*fairshare.Item{session, fresh, begun} {
		q.Push(it)
	}
	first, _ := q.Pop()
	second, _ := q.Pop()
	require.Equal(t, []*fairshare.Item{begun, fresh}, []*fairshare.Item{first, second})
}

func TestShortInteractiveWorkPassesLongSessions(t *testing.T) {
	q := fairshare.NewFair()
	long := &fairshare.Item{Owner: "a", Class: fairshare.Standard, Attained: 500_000, Cost: 1, Arrived: epoch}
	short := &fairshare.Item{Owner: "a", Class: fairshare.Standard, Cost: 1, Arrived: epoch.Add(5 * time.Second)}
	cashier := &fairshare.Item{Owner: "a", Class: fairshare.Interactive, Cost: 1, Arrived: epoch.Add(9 * time.Second)}
	for _, it := range []*fairshare.Item{long, short, cashier} {
		q.Push(it)
	}
	var order []*fairshare.Item
	for q.Len() > 0 {
		granted, _ := q.Pop()
		order = append(order, granted)
	}
	require.Equal(t, []*fairshare.Item{cashier, short, long}, order)
}

// Push, Pop and Remove are compared with a set of the waiting requests.
func TestQueueLosesNothing(t *testing.T) {
	for name, build := range map[string]func() fairshare.Queue{
		"fair": func() fairshare.Queue { return fairshare.NewFair() },
		"fifo": func() fairshare.Queue { return fairshare.NewFIFO() },
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				q := build()
				waiting := map[*fairshare.Item]bool{}
				t.Repeat(map[string]func(*rapid.T){
					"push": func(t *rapid.T) {
						it := item(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "owner"), 1)
						waiting[it] = true
						q.Push(it)
					},
					"pop": func(t *rapid.T) {
						it, ok := q.Pop()
						require.Equal(t, len(waiting) > 0, ok)
						if ok {
							require.True(t, waiting[it])
							delete(waiting, it)
							require.False(t, q.Remove(it))
						}
					},
					"remove": func(t *rapid.T) {
						for it := range waiting {
							require.True(t, q.Remove(it))
							delete(waiting, it)
							return
						}
					},
					"": func(t *rapid.T) {
						require.Equal(t, len(waiting), q.Len())
						require.InDelta(t, float64(len(waiting)), q.Cost(), 1e-6)
					},
				})
			})
		})
	}
}

func TestCostAheadCountsOthersByTheirShares(t *testing.T) {
	q := fairshare.NewFair()
	q.SetShares(map[string]float64{"flood": 1, "light": 1})
	for range 100 {
		q.Push(item("flood", 100))
	}
	require.InDelta(t, 100, q.CostAhead(item("light", 100)), 1)
	require.InDelta(t, 10_000, q.CostAhead(item("flood", 100)), 1)
}

func TestFullQueueDisplacesRequestOfOwnerWithHighestLoad(t *testing.T) {
	q := fairshare.NewFair()
	for i := range 10 {
		it := item("flood", 100)
		it.Arrived = epoch.Add(time.Duration(i) * time.Second)
		q.Push(it)
	}
	victim, ok := q.Displace(item("light", 100))
	require.True(t, ok)
	require.Equal(t, "flood", victim.Owner)
	require.Equal(t, epoch.Add(9*time.Second), victim.Arrived)
	late := item("flood", 100)
	late.Arrived = epoch.Add(time.Hour)
	_, ok = q.Displace(late)
	require.False(t, ok)
}
