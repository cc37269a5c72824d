package crashguard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// completionLifetime is the time for which a completed request cannot be the cause of a crash.
const completionLifetime = 10 * time.Second

// Guards against refusing a request that runs well and was in flight at several crashes.
func TestRequestThatCompletesIsNotRefused(t *testing.T) {
	withFleet(t, 6, func(t *testing.T, f *fleet) {
		f.breakConnection("gateway-0", request, "engine-1", 1)
		f.breakConnection("gateway-1", request, "engine-2", 1)
		f.exchangeMarks(2)
		f.guards["gateway-3"].RecordCompletion(request)
		f.exchangeMarks(2)
		f.breakConnection("gateway-4", request, "engine-3", 1)
		f.exchangeMarks(2)
		require.Zero(t, f.refusing(request))
		f.breakConnection("gateway-3", request, "engine-4", 1)
		f.exchangeMarks(2)
		require.Zero(t, f.refusing(request), "it has completed at gateway-3 a moment ago")
		time.Sleep(completionLifetime)
		f.breakConnection("gateway-3", request, "engine-5", 1)
		f.breakConnection("gateway-3", request, "engine-6", 1)
		f.exchangeMarks(2)
		require.Equal(t, 6, f.refusing(request), "three crashes since it completed")
	})
}

// Guards against refusing a request that many callers send, such as one without a body, when
// several servers crash at the same moment.
func TestRequestOfManyCallersIsNotRefusedAfterSimultaneousCrashes(t *testing.T) {
	withFleet(t, 6, func(t *testing.T, f *fleet) {
		for _, guard := range f.guards {
			guard.RecordCompletion(request)
		}
		time.Sleep(time.Second)
		for i, daemon := range f.names {
			f.breakConnection(daemon, request, fmt.Sprintf("engine-%d", i), 1)
		}
		f.exchangeMarks(2)
		require.Zero(t, f.refusing(request))
	})
}
