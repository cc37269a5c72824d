package platform_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/platform/platformtest"
)

// Guards against a gateway that keeps idle connections to many servers, or to callers, until it has no descriptor
// left: it then accepts no connection, and callers and the balancer wait in vain.
func TestGatewayKeepsDescriptorsForNewCallers(t *testing.T) {
	const descriptors, moreTills, callers, silent = 200, 40, 60, 200
	f := newTestFleetWith(t, 1, func(f *testFleet) { f.gatewayDescriptors = descriptors })
	for i := range moreTills {
		f.addServer(tills, fmt.Sprint("till-more-", i), i%len(locations))
	}
	for name, server := range f.servers {
		if strings.HasPrefix(name, "till") {
			server.Always(platformtest.Reply{Body: "ok", Delay: 20 * time.Millisecond})
		}
	}
	for range silent {
		conn, err := net.Dial("tcp", f.daemons[gateways[0]].listenAddr)
		require.NoError(t, err)
		defer conn.Close()
	}
	answers := answerLog{}
	end := time.Now().Add(3 * time.Second)
	var calling sync.WaitGroup
	for range callers {
		calling.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for time.Now().Before(end) {
				answers.add(f.callWith(client, gateways[0], http.MethodPost, "/redeem/1"))
			}
		})
	}
	most, readyAnswers := 0, 0
	for time.Now().Before(end) {
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", f.process(gateways[0]).PID()))
		require.NoError(t, err)
		most = max(most, len(open))
		if f.isReady(gateways[0]) {
			readyAnswers++
		}
		time.Sleep(pollInterval)
	}
	calling.Wait()
	runs, statuses := f.runsByAttempt(), map[int]int{}
	for _, a := range answers.snapshot() {
		statuses[a.status]++
		require.False(t, a.status != http.StatusOK && runs[a.id] > 0, "%s ran and was answered %d", a.id, a.status)
	}
	t.Logf("answers by status: %v; at most %d descriptors", statuses, most)
	require.LessOrEqual(t, most, descriptors)
	require.Positive(t, readyAnswers)
	require.Greater(t, statuses[http.StatusOK], len(answers.snapshot())/2)
}
