package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/platform/platformtest"
)

// gauge returns the value of a metric without labels.
func (h *harness) gauge(name string) int {
	var text strings.Builder
	h.metrics.WritePrometheus(&text)
	value := -1
	for line := range strings.Lines(text.String()) {
		if rest, found := strings.CutPrefix(line, name+" "); found {
			_, err := fmt.Sscan(rest, &value)
			require.NoError(h.t, err)
		}
	}
	return value
}

// removeServer removes a server from the list.
func (h *harness) removeServer(service, name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var left = h.servers[service][:0:0]
	for _, server := range h.servers[service] {
		if server.Name != name {
			left = append(left, server)
		}
	}
	h.servers[service] = left
}

// Guards against connections, goroutines and state that stay behind for each server that is replaced, until the
// process has no descriptor or no memory left.
func TestReplacedServersLeaveNothingBehind(t *testing.T) {
	const servers, present = 10_000, 4
	withHarness(t, func(t *testing.T, h *harness) {
		random := rand.New(rand.NewPCG(1, 0))
		listed := map[string][]string{}
		add := func(service string, i int) {
			name := fmt.Sprintf("%s-%d", service, i)
			server := h.addServer(service, name)
			server.Always(platformtest.Reply{Body: name})
			if service == engines {
				server.Always(platformtest.Reply{Events: []string{"a", "b"}})
			}
			listed[service] = append(listed[service], name)
		}
		goroutines, metrics := 0, 0
		for i := range servers {
			service, path := tills, "/look/1"
			if i%2 == 0 {
				service, path = engines, "/turn/1"
			}
			add(service, i)
			for range random.IntN(3) {
				h.call(http.MethodPost, path, fmt.Sprint("r", i, "-", random.IntN(1000)), withHeader("Session-Id", fmt.Sprint(i/50)))
			}
			if names := listed[service]; len(names) > present {
				gone := random.IntN(len(names) - 1)
				if random.IntN(2) == 0 {
					h.markLeaving(service, names[gone])
					time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
				}
				h.removeServer(service, names[gone])
				listed[service] = append(names[:gone:gone], names[gone+1:]...)
			}
			time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
			if i == servers/10 {
				time.Sleep(2 * time.Minute)
				goroutines, metrics = runtime.NumGoroutine(), len(h.metrics.ListMetricNames())
			}
			require.LessOrEqual(t, h.gauge("ibisline_upstream_connections"), 16*2*(present+1)*2, "after %d servers", i)
		}
		time.Sleep(2 * time.Minute)
		require.LessOrEqual(t, h.gauge("ibisline_upstream_connections"), 0, "idle connections have expired")
		require.LessOrEqual(t, h.gauge("ibisline_gateway_servers_known"), 2*present)
		require.LessOrEqual(t, runtime.NumGoroutine(), goroutines)
		require.Len(t, h.metrics.ListMetricNames(), metrics)
	})
}
