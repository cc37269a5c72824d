package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/crashguard"
	"ibisline/internal/structs"
	"ibisline/platform/platformtest"
)

const (
	// silentDowntime is the time from a silent crash to the next run of the server.
	silentDowntime = 2500 * time.Millisecond
	// crashesToRefusal is the number of crashes after which a request is refused.
	crashesToRefusal = 3
)

// addSilentlyCrashingServers adds servers that fall silent when they run a request with the
// given body, after they have sent the reply to it, and that restart after silentDowntime.
func addSilentlyCrashingServers(h *harness, service, body string, reply platformtest.Reply, names ...string) func() int {
	var servers []*platformtest.Server
	for _, name := range names {
		server := h.addServer(service, name)
		server.Script(func(run platformtest.Run) platformtest.Reply {
			if run.Body != body {
				return platformtest.Reply{Events: []string{"a"}}
			}
			time.AfterFunc(time.Millisecond, server.StopResponding)
			time.AfterFunc(silentDowntime, func() { h.restart(service, server) })
			return reply
		})
		servers = append(servers, server)
	}
	return func() int {
		crashes := 0
		for _, server := range servers {
			for _, run := range server.Runs() {
				if run.Body == body {
					crashes++
				}
			}
		}
		return crashes
	}
}

// Guards against missing the crash of a server that falls silent: the request ends at its
// deadline, at the end of its hedge, or inside the head of the response, and the server is back
// as another run before anybody asks again.
func TestSilentCrashesRefuseRequest(t *testing.T) {
	names := []string{"server-1", "server-2", "server-3", "server-4", "server-5", "server-6", "server-7", "server-8"}
	for name, test := range map[string]struct {
		service, path string
		reply         platformtest.Reply
	}{
		"request at its deadline":   {tills, "/redeem/1", platformtest.Reply{Silent: true}},
		"hedged request":            {tills, "/look/1", platformtest.Reply{Silent: true}},
		"stream before its head":    {engines, "/turn/1", platformtest.Reply{Silent: true}},
		"inside the response head":  {tills, "/redeem/1", platformtest.Reply{StopAfter: 20, Hang: true}},
		"inside the head of stream": {engines, "/turn/1", platformtest.Reply{StopAfter: 20, Hang: true}},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(t *testing.T, h *harness) {
				crashes := addSilentlyCrashingServers(h, test.service, "body of poison", test.reply, names...)
				for crashes() < crashesToRefusal {
					h.call(http.MethodPost, test.path, "poison")
					time.Sleep(silentDowntime)
				}
				time.Sleep(silentDowntime)
				before := crashes()
				for range 5 {
					require.Equal(t, http.StatusServiceUnavailable, h.call(http.MethodPost, test.path, "poison").status)
					time.Sleep(silentDowntime)
				}
				require.Equal(t, before, crashes())
				require.Equal(t, http.StatusOK, h.call(http.MethodPost, test.path, "other").status)
			})
		})
	}
}

// Guards against taking a server that is back under its name for the run that broke a stream off:
// its crashes count once only, and the stream crashes it again and again.
func TestRefusedRequestIsNotResumedAtRestartedServer(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		engine := h.addServer(engines, "engine-1")
		engine.Script(func(platformtest.Run) platformtest.Reply {
			time.AfterFunc(time.Millisecond, func() {
				engine.Crash()
				h.restart(engines, engine)
			})
			return platformtest.Reply{Delay: 5 * time.Millisecond}
		})
		h.call(http.MethodPost, "/turn/1", "poison")
		time.Sleep(3 * time.Second)
		before := len(engine.Runs())
		for range 4 {
			require.Equal(t, http.StatusServiceUnavailable, h.call(http.MethodPost, "/turn/1", "poison").status)
			time.Sleep(time.Second)
		}
		require.Len(t, engine.Runs(), before)
	})
}

// Guards against resuming a stream at its own server after another daemon has learned that the
// request crashes servers.
func TestStreamIsNotResumedOnceItIsRefused(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		engine := h.addServer(engines, "engine-1")
		engine.Script(func(run platformtest.Run) platformtest.Reply {
			for i := range crashesToRefusal {
				h.guard.CheckCrash(crashguard.FingerprintOf([]byte(run.Method), []byte("a.example"), []byte(run.Target),
					[]byte(run.Body)), structs.Server{Name: "gone-" + strconv.Itoa(i), Addr: "gone:1"})
			}
			return platformtest.Reply{Delay: 50 * time.Millisecond, Reset: true}
		})
		require.Equal(t, http.StatusBadGateway, h.call(http.MethodPost, "/turn/1", "poison").status)
		require.Len(t, engine.Runs(), 1)
	})
}
