package gateway_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/platform/platformtest"
)

const (
	// limitGrace is the time after a server first named its limit from which on the limit counts.
	limitGrace = 3 * time.Second
	// limitWindow is the period in which requests are counted: a server may get limitFactor times
	// what its limit allows, and limitSlack requests more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitHeader is the header of a server that names a limit.
func limitHeader(perSecond float64) http.Header {
	return http.Header{platformtest.HeaderLimit: {strconv.FormatFloat(perSecond, 'f', -1, 64)}}
}

// requireWithinLimit requires that a server has never got more than its limit allows from limitGrace
// after a time on.
func requireWithinLimit(t *testing.T, server *platformtest.Server, perSecond float64, namedAt time.Time) {
	t.Helper()
	allowed := limitFactor*perSecond*limitWindow.Seconds() + limitSlack
	runs := server.Runs()
	for i, first := range runs {
		if first.At.Before(namedAt.Add(limitGrace)) {
			continue
		}
		n := 0
		for _, run := range runs[i:] {
			if run.At.Sub(first.At) < limitWindow {
				n++
			}
		}
		require.LessOrEqual(t, float64(n), allowed, "requests in %s at %s", limitWindow, server.Name)
	}
}

// sendFor sends calls at a rate for a while, and returns the number of answers by status.
func (h *harness) sendFor(d time.Duration, perSecond int, method, path string) map[int]int {
	statuses := map[int]int{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for i := range int(d.Seconds() * float64(perSecond)) {
		calls.Go(func() {
			id := strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.Itoa(i)
			status := h.call(method, path, id, withHeader("Session-Id", "session-"+strconv.Itoa(i%7))).status
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	calls.Wait()
	return statuses
}

// Guards against sending a server more than the limit that it names, and against refusing what the
// other servers can take.
func TestServerThatNamesLimitGetsNoMore(t *testing.T) {
	for name, path := range map[string]string{"at most once": "/redeem/1", "repeatable": "/look/1", "stream": "/turn/1"} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(t *testing.T, h *harness) {
				service := tills
				if path == "/turn/1" {
					service = engines
				}
				limited := h.addServer(service, "server-1")
				limited.Always(platformtest.Reply{Events: []string{"a"}, Header: limitHeader(2)})
				h.addServer(service, "server-2").Always(platformtest.Reply{Events: []string{"a"}})
				namedAt := time.Now()
				statuses := h.sendFor(12*time.Second, 50, http.MethodPost, path)
				require.Equal(t, map[int]int{http.StatusOK: 600}, statuses)
				requireWithinLimit(t, limited, 2, namedAt)
				require.Greater(t, len(limited.Runs()), 12, "the limit is used")
			})
		})
	}
}

// Guards against sending servers more than they take when all of them name a limit far below the
// demand, and against keeping the callers waiting that cannot be served.
func TestDemandBeyondAllLimitsIsRejectedAtOnce(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		var servers []*platformtest.Server
		for _, name := range []string{"till-1", "till-2", "till-3"} {
			server := h.addServer(tills, name)
			server.Always(platformtest.Reply{Body: name, Header: limitHeader(2)})
			servers = append(servers, server)
		}
		namedAt := time.Now()
		statuses := h.sendFor(12*time.Second, 50, http.MethodPost, "/redeem/1")
		require.Len(t, statuses, 2, "served or refused: %v", statuses)
		require.Greater(t, statuses[http.StatusOK], 50)
		for _, server := range servers {
			requireWithinLimit(t, server, 2, namedAt)
		}
		refused := 0
		for i := range 50 {
			got := h.call(http.MethodPost, "/redeem/1", "late-"+strconv.Itoa(i))
			if got.status != http.StatusServiceUnavailable {
				continue
			}
			refused++
			require.Less(t, got.took, 50*time.Millisecond)
			require.NotEmpty(t, got.header.Get("Retry-After"))
		}
		require.Greater(t, refused, 40)
	})
}

// runProgram sends the turns of a program one after the other, each up to three times, and returns
// the number of turns that were served.
func (h *harness) runProgram(program string, turns int) int {
	for turn := range turns {
		served := false
		for attempt := 0; attempt < 3 && !served; attempt++ {
			id := program + "-" + strconv.Itoa(turn) + "-" + strconv.Itoa(attempt)
			served = h.call(http.MethodPost, "/turn/1", id, withHeader("Program-Id", program)).status == http.StatusOK
			time.Sleep(200 * time.Millisecond)
		}
		if !served {
			return turn
		}
	}
	return turns
}

// Guards against spending the permits of servers on a few turns of many programs, of which hardly any
// is served whole.
func TestProgramsAreServedWholeWithinLimits(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		const turns, seconds, programsPerSecond = 6, 40, 10
		for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
			h.addServer(engines, name).Always(platformtest.Reply{
				Events: []string{"a"}, Delay: 100 * time.Millisecond, Header: limitHeader(3),
			})
		}
		var programs sync.WaitGroup
		var mu sync.Mutex
		whole, part := 0, 0
		for i := range seconds * programsPerSecond {
			programs.Go(func() {
				served := h.runProgram("program-"+strconv.Itoa(i), turns)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case i < seconds*programsPerSecond/2:
				case served == turns:
					whole++
				case served > 0:
					part++
				}
			})
			time.Sleep(time.Second / programsPerSecond)
		}
		programs.Wait()
		require.Greater(t, whole, 3*3*seconds/2/turns/2, "half of the permits serve whole programs; %d in part", part)
	})
}
