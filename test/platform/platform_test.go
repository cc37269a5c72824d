package platform_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/platform/platformtest"
)

var gateways = []string{"gateway-0", "gateway-1", "gateway-2"}

// TestEveryGatewayServesAllRouteTypes also checks the status of requests without a route or
// without an Attempt-Id.
func TestEveryGatewayServesAllRouteTypes(t *testing.T) {
	f := newTestFleet(t)
	f.scriptEngines()
	f.scriptTills()
	for _, gateway := range gateways {
		look := f.call(gateway, http.MethodGet, "/look/1?x=1")
		require.Equal(t, http.StatusOK, look.status)
		require.Equal(t, "done "+look.id, look.body)
		require.True(t, strings.HasPrefix(look.header.Get("Server-Stamp"), "stamp-till-"))
		redeem := f.call(gateway, http.MethodPost, "/redeem/1")
		require.Equal(t, "done "+redeem.id, redeem.body)
		var turn answer
		f.waitUntil("the budgets have a home", func() bool {
			turn = f.turn(gateway, "p-"+gateway, 10*tokensPerTurn)
			return turn.status == http.StatusOK
		})
		require.Equal(t, fmt.Sprintf("id: 1\ndata: one of %s\n\nid: 2\ndata: two of %s\n\n", turn.id, turn.id), turn.body)
		require.Equal(t, http.StatusNotFound, f.call(gateway, http.MethodGet, "/other/1").status)
		withoutID := func(r *http.Request) { r.Header.Del("Attempt-Id") }
		require.Equal(t, http.StatusBadRequest, f.call(gateway, http.MethodGet, "/look/1", withoutID).status)
	}
}

// spendBudget sends turns of a program to the gateways in rotation until one is refused
// because the budget is spent. It returns the number of tokens that the caller received.
func (f *testFleet) spendBudget(program string, budget int, targets []string) int {
	received := 0
	for i := 0; ; i++ {
		got := f.turn(targets[i%len(targets)], program, budget)
		received += got.events * tokensPerEvent
		if got.status == http.StatusPaymentRequired {
			return received
		}
		if got.status == http.StatusServiceUnavailable {
			time.Sleep(retryAfter(got)) // as callers do
		}
		require.Less(f.t, i, 1000, "no turn is refused although the budget should be spent")
		require.LessOrEqual(f.t, received, budget+tokensPerTurn)
	}
}

// TestBudgetHoldsAfterTheHomeIsKilled kills all gateways one after the other during an outage
// of the platform, after a keeper was lost for good together with its disk. A program must
// neither exceed its budget by more than one turn nor be refused long before it has used it.
func TestBudgetHoldsAfterTheHomeIsKilled(t *testing.T) {
	f := newTestFleet(t)
	f.scriptEngines()
	const budget = 6 * tokensPerTurn
	received := map[string]int{}
	f.waitForBudgetHomes()
	for i := range 4 {
		for range 3 {
			program := fmt.Sprintf("p%d", i)
			received[program] += f.turn(gateways[i%3], program, budget).events * tokensPerEvent
		}
	}
	require.Equal(t, 3*tokensPerTurn, received["p0"], "all turns before the failures are served")
	f.setOutage(true)
	f.kill("keeper-1")
	for _, gateway := range gateways {
		// One of them is the home. Gateways killed before it have lost their state.
		f.kill(gateway)
		f.start(gateway)
	}
	f.setOutage(false)
	for _, gateway := range gateways {
		f.waitReady(gateway)
	}
	for program := range received {
		received[program] += f.spendBudget(program, budget, gateways)
		require.LessOrEqual(t, received[program], budget+tokensPerTurn, "%s over all attempts", program)
		require.Greater(t, received[program], budget-3*tokensPerTurn, "%s is not refused long before its budget", program)
	}
}

// TestBudgetHoldsWhileThePlatformIsOut kills the home of the budgets during an outage of
// the platform.
func TestBudgetHoldsWhileThePlatformIsOut(t *testing.T) {
	f := newTestFleet(t)
	f.scriptEngines()
	const budget = 8 * tokensPerTurn
	received := 0
	f.waitUntil("the first turn is served", func() bool {
		got := f.turn("gateway-0", "p", budget)
		received += got.events * tokensPerEvent
		return got.status == http.StatusOK
	})
	f.setOutage(true)
	for _, gateway := range gateways {
		f.waitUntil("a turn is served by "+gateway, func() bool {
			got := f.turn(gateway, "p", budget)
			received += got.events * tokensPerEvent
			return got.status == http.StatusOK || got.status == http.StatusPaymentRequired
		})
	}
	f.kill(f.budgetHome("p"))
	var ready []string
	for _, gateway := range gateways {
		if f.isReady(gateway) {
			ready = append(ready, gateway)
		}
	}
	require.Len(t, ready, 2)
	received += f.spendBudget("p", budget, ready)
	require.LessOrEqual(t, received, budget+tokensPerTurn)
	require.GreaterOrEqual(t, received, 4*tokensPerTurn)
}

// TestEditReachesDaemonsThatThePlatformRefuses checks that the gateways apply an edit, and
// never revert it, even if the platform refuses the requests of all of them.
func TestEditReachesDaemonsThatThePlatformRefuses(t *testing.T) {
	f := newTestFleet(t)
	f.scriptTills()
	for _, gateway := range gateways {
		f.daemons[gateway].proxy.setRefusing(true)
	}
	f.putConfiguration(baseRoutes + "," + newRoute)
	for _, gateway := range gateways {
		f.waitUntil("the new route is in force at "+gateway, func() bool {
			return f.call(gateway, http.MethodGet, "/new/1").status == http.StatusOK
		})
	}
	f.putConfiguration(baseRoutes)
	for _, gateway := range gateways {
		f.waitUntil("the route is gone at "+gateway, func() bool {
			return f.call(gateway, http.MethodGet, "/new/1").status == http.StatusNotFound
		})
	}
	for _, gateway := range gateways {
		for range 20 {
			require.Equal(t, http.StatusNotFound, f.call(gateway, http.MethodGet, "/new/1").status, "%s reverted the edit", gateway)
		}
	}
}

// TestUnreadableConfigurationKeepsThePreviousOne checks that gateways keep the last readable
// configuration when an unreadable one is written.
func TestUnreadableConfigurationKeepsThePreviousOne(t *testing.T) {
	f := newTestFleet(t)
	f.scriptTills()
	f.put("config/main", `{"version":"two","routes":7}`)
	f.put("servers/odd", `{"service":7}`)
	f.putConfiguration(baseRoutes + "," + newRoute)
	f.put("config/main", `[]`)
	for _, gateway := range gateways {
		f.waitUntil("the last readable version is in force at "+gateway, func() bool {
			return f.call(gateway, http.MethodGet, "/new/1").status != http.StatusServiceUnavailable
		})
		require.Equal(t, http.StatusOK, f.call(gateway, http.MethodGet, "/look/1").status)
	}
}

// TestGatewaysFollowListDespiteOddEntries guards against gateways that end, stop following the list
// or send requests to nowhere because of entries that another writer has left.
func TestGatewaysFollowListDespiteOddEntries(t *testing.T) {
	f := newTestFleet(t)
	f.scriptTills()
	entry, err := f.store.Get(t.Context(), "servers/till-0")
	require.NoError(t, err)
	till := string(entry.Value)
	for i, change := range [][2]string{
		{`"born":1`, `"born":1e300`}, {`"slots":16`, `"slots":9223372036854775807`}, {`"slots":16`, `"slots":1e999`},
		{`"address":"127.0.0.1:`, `"address":"127.0.0.1:9`}, {`"address":"127.0.0.1:`, `"address":"[::]:`}, {`"service"`, `"sevrice"`},
	} {
		odd := strings.Replace(till, change[0], change[1], 1)
		require.NotEqual(t, till, odd)
		f.put(fmt.Sprintf("servers/odd-%d", i), odd)
	}
	f.put("servers/odd-text", `"[[[["`)
	for i := range locations {
		name := fmt.Sprintf("till-late-%d", i)
		f.addServer(tills, name, i)
		f.servers[name].Always(platformtest.Reply{Body: "late"})
	}
	for _, gateway := range gateways {
		session := 0
		f.waitUntil(gateway+" uses the server that came after the odd entries", func() bool {
			session++
			return f.call(gateway, http.MethodPost, "/redeem/1", func(r *http.Request) {
				r.Header.Set("Session-Id", fmt.Sprint(session))
			}).body == "late"
		})
		for range 20 {
			require.Equal(t, http.StatusOK, f.call(gateway, http.MethodPost, "/redeem/1").status)
		}
	}
}

// TestDrainingServerGetsNoRequests checks that the gateways stop sending to a server once
// they have learned that it is draining.
func TestDrainingServerGetsNoRequests(t *testing.T) {
	f := newTestFleet(t)
	f.scriptTills()
	entry, err := f.store.Get(t.Context(), "servers/till-0")
	require.NoError(t, err)
	f.put("servers/till-0", strings.Replace(string(entry.Value), `"ready"`, `"draining"`, 1))
	quietRounds := 0
	f.waitUntil("no request reaches the draining server", func() bool {
		before := len(f.servers["till-0"].Runs())
		for _, gateway := range gateways {
			require.Equal(t, http.StatusOK, f.call(gateway, http.MethodPost, "/redeem/1").status)
		}
		quietRounds++
		if len(f.servers["till-0"].Runs()) != before {
			quietRounds = 0
		}
		return quietRounds == 20
	})
}

// startLoad starts callers that send non-idempotent requests to gateways that are ready,
// until the returned function is called. After each answer, also a refusal, a caller goes on
// with a new request to the next gateway, like the platform's clients.
func (f *testFleet) startLoad(callers int) (*answerLog, func()) {
	answers := &answerLog{}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() {
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(pollInterval):
				}
				if gateway := gateways[n%len(gateways)]; f.isReady(gateway) {
					answers.add(f.call(gateway, http.MethodPost, "/redeem/1"))
				}
			}
		})
	}
	return answers, func() {
		close(stop)
		running.Wait()
	}
}

// TestPlannedStopsInterruptNoRequest restarts the gateways one after the other under load.
func TestPlannedStopsInterruptNoRequest(t *testing.T) {
	f := newTestFleet(t)
	f.scriptTills()
	answers, stop := f.startLoad(6)
	for _, gateway := range gateways {
		before := len(answers.snapshot())
		f.waitUntil("callers receive answers", func() bool { return len(answers.snapshot()) > before+20 })
		require.NoError(t, f.process(gateway).Stop(t.Context()))
		f.start(gateway)
		f.waitReady(gateway)
	}
	stop()
	for _, a := range answers.snapshot() {
		require.Contains(t, []int{http.StatusOK, 0}, a.status)
		if a.status == 0 {
			// The listener closed before the gateway read the request.
			require.Zero(t, f.runsByAttempt()[a.id], "%s was interrupted", a.id)
		}
	}
}

// TestRequestsTakeEffectAtMostOnce kills and pauses gateways under load and causes outages of
// the platform. No request may run twice, a refused request must not have run, and every
// answer must belong to the caller's own request.
func TestRequestsTakeEffectAtMostOnce(t *testing.T) {
	f := newTestFleet(t)
	f.scriptTills()
	answers, stop := f.startLoad(9)
	waitForLoad := func() {
		before := len(answers.snapshot())
		f.waitUntil("callers receive answers", func() bool { return len(answers.snapshot()) > before+30 })
	}
	for i := range 6 {
		victim := gateways[i%3]
		switch i % 3 {
		case 0:
			f.restart(victim)
		case 1:
			f.setOutage(true)
			waitForLoad()
			f.setOutage(false)
		case 2:
			require.NoError(t, f.process(victim).Pause())
			time.Sleep(300 * time.Millisecond)
			require.NoError(t, f.process(victim).Resume())
		}
		waitForLoad()
	}
	stop()
	runs := f.runsByAttempt()
	served := 0
	for _, a := range answers.snapshot() {
		require.LessOrEqual(t, runs[a.id], 1, "%s ran more than once", a.id)
		switch a.status {
		case http.StatusOK:
			served++
			require.Equal(t, "done "+a.id, a.body)
			require.Equal(t, 1, runs[a.id])
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			require.Zero(t, runs[a.id], "%s was refused but ran", a.id)
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
		default:
			require.Fail(t, "unexpected answer", "%+v", a)
		}
	}
	require.Greater(t, served, 100)
}
