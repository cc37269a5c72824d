package platform_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/platform/platformtest"
)

const (
	// namedLimit is the requests a second that each till takes.
	namedLimit = 4.0
	// limitGrace is the time after a server first named its limit from which on it counts.
	limitGrace = 3 * time.Second
	// limitWindow is the period in which requests are counted: a server may get limitFactor times
	// what its limit allows, and limitSlack requests more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitTestTime is the time for which callers send requests.
	limitTestTime = 14 * time.Second
)

// limitTills makes all tills name a limit.
func (f *testFleet) limitTills() {
	for i := range locations {
		f.servers["till-"+strconv.Itoa(i)].Script(func(run platformtest.Run) platformtest.Reply {
			return platformtest.Reply{
				Body:   "done " + run.ID,
				Header: http.Header{platformtest.HeaderLimit: {strconv.FormatFloat(namedLimit, 'f', -1, 64)}},
			}
		})
	}
}

// requireTillsWithinLimit requires that no till has got more than its limit allows from limitGrace
// after a time on, and that they were used.
func (f *testFleet) requireTillsWithinLimit(namedAt time.Time) {
	for i := range locations {
		name := "till-" + strconv.Itoa(i)
		runs := f.servers[name].Runs()
		require.Greater(f.t, len(runs), int(namedLimit*limitTestTime.Seconds()/2), "%s is used", name)
		most := 0
		for i, first := range runs {
			n := 0
			for _, run := range runs[i:] {
				if first.At.After(namedAt.Add(limitGrace)) && run.At.Sub(first.At) < limitWindow {
					n++
				}
			}
			most = max(most, n)
		}
		f.t.Logf("%s: %d requests, %d in %s at most", name, len(runs), most, limitWindow)
		require.LessOrEqual(f.t, float64(most), limitFactor*namedLimit*limitWindow.Seconds()+limitSlack, "%s in %s", name, limitWindow)
	}
}

// Guards against a fleet whose gateways each keep to the limit of a server, or send without one,
// while gateways are killed and restarted.
func TestFleetKeepsToLimitsOfServers(t *testing.T) {
	f := newTestFleet(t)
	f.limitTills()
	namedAt := time.Now()
	answers, stop := f.startLoad(12)
	for time.Since(namedAt) < limitTestTime {
		time.Sleep(limitTestTime / 4)
		f.restart("gateway-1")
	}
	stop()
	f.requireTillsWithinLimit(namedAt)
	for _, a := range answers.snapshot() {
		require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusBadGateway, 0}, a.status)
	}
}
