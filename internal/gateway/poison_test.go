package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/platform/platformtest"
)

// crashing adds servers that crash whenever they run a request with a body of the
// given text, and are back a little later.
func crashing(w *world, service, body string, names ...string) []*platformtest.Server {
	var runners []*platformtest.Server
	for _, name := range names {
		runner := w.add(service, name)
		runner.Script(func(run platformtest.Run) platformtest.Reply {
			if run.Body != body {
				return platformtest.Reply{Events: []string{"a"}}
			}
			time.AfterFunc(time.Millisecond, runner.Crash)
			time.AfterFunc(50*time.Millisecond, func() { w.restart(service, runner) })
			return platformtest.Reply{Delay: 5 * time.Millisecond}
		})
		runners = append(runners, runner)
	}
	return runners
}

// TestRequestThatCrashesServersIsRefused: other requests of the same caller are not.
func TestRequestThatCrashesServersIsRefused(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		runners := crashing(w, tills, "body of poison", "till-1", "till-2", "till-3", "till-4")
		program := with("Program-Id", "p1")
		var statuses []int
		for range 6 {
			statuses = append(statuses, w.call(http.MethodPost, "/redeem/1", "poison", program).status)
			time.Sleep(2 * time.Second)
		}
		require.Equal(t, []int{502, 502, 502, 503, 503, 503}, statuses)
		runs := 0
		for _, runner := range runners {
			runs += len(runner.Runs())
		}
		require.Equal(t, 3, runs)
		require.Equal(t, http.StatusOK, w.call(http.MethodPost, "/redeem/1", "other", program).status)
	})
}

// TestStreamThatCrashesServersIsBrokenOff: an answer that goes on elsewhere after each
// crash must not crash one server after the other.
func TestStreamThatCrashesServersIsBrokenOff(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		names := []string{"engine-1", "engine-2", "engine-3", "engine-4", "engine-5", "engine-6", "engine-7"}
		runners := crashing(w, engines, "body of poison", names...)
		for range 3 {
			w.call(http.MethodPost, "/turn/1", "poison")
			time.Sleep(2 * time.Second)
		}
		runs := 0
		for _, runner := range runners {
			runs += len(runner.Runs())
		}
		require.LessOrEqual(t, runs, 4, "a run that begins while the third crash is looked into is not avoidable")
	})
}

// TestBrokenAnswersAloneMakeNoPoison: their servers still listen.
func TestBrokenAnswersAloneMakeNoPoison(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		for _, name := range []string{"till-1", "till-2", "till-3", "till-4"} {
			w.add(tills, name).Always(platformtest.Reply{Reset: true})
		}
		for range 8 {
			require.Equal(t, http.StatusBadGateway, w.call(http.MethodPost, "/redeem/1", "r1").status)
			time.Sleep(2 * time.Second)
		}
	})
}
