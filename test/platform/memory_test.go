package platform_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/platform/platformtest"
)

// The callers whose bodies do not fit into the memory of a gateway together.
const (
	largeCallers = 24
	largeBody    = 1_000_000
	largeTime    = 3 * time.Second
)

// Guards against a gateway that is short of memory and closes connections whose requests it has passed on
// to a server: their callers never learn what came of them.
func TestRequestsThatWerePassedOnAreAnsweredWhereMemoryIsShort(t *testing.T) {
	f := newTestFleetWith(t, 1, func(f *testFleet) {
		f.gatewayMemoryMB, f.maxBodyBytes = hostileMemoryMB, maxHostileBody
	})
	for name, server := range f.servers {
		if strings.HasPrefix(name, "till") {
			server.Always(platformtest.Reply{Body: "ok", Delay: 100 * time.Millisecond})
		}
	}
	answers := answerLog{}
	end := time.Now().Add(largeTime)
	var callers sync.WaitGroup
	for range largeCallers {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}
			defer client.CloseIdleConnections()
			body := strings.Repeat("b", largeBody)
			f.callWith(client, gateways[0], http.MethodPost, "/redeem/1")
			for time.Now().Before(end) {
				got := f.callWith(client, gateways[0], http.MethodPost, "/redeem/1", withBody(body))
				answers.add(got)
				if got.status == http.StatusServiceUnavailable {
					time.Sleep(retryAfter(got))
				}
			}
		})
	}
	callers.Wait()
	runs, statuses := f.runsByAttempt(), map[int]int{}
	for _, a := range answers.snapshot() {
		statuses[a.status]++
		switch a.status {
		case http.StatusOK:
		case http.StatusServiceUnavailable:
			require.Zero(t, runs[a.id], "%s was refused but ran", a.id)
			require.Positive(t, retryAfter(a))
		default:
			require.Fail(t, "the request was not answered", "status %d, %d runs", a.status, runs[a.id])
		}
	}
	t.Logf("answers by status: %v", statuses)
	require.Positive(t, statuses[http.StatusOK])
	f.waitUntil("an ordinary request is answered", func() bool {
		return f.call(gateways[0], http.MethodGet, "/look/1").status == http.StatusOK
	})
}

// retryAfter returns the time that a refusal tells its caller to wait, 0 if it names none.
func retryAfter(refusal answer) time.Duration {
	seconds, err := strconv.ParseFloat(refusal.header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
