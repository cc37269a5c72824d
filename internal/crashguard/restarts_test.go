package crashguard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/crashguard"
	"ibisline/internal/fake/objects"
	"ibisline/internal/objectapi"
)

// refusalDelay is the time after the third crash within which all daemons refuse a request.
const refusalDelay = 3 * time.Second

// Guards against losing crashes, below the number that refuses a request, when every daemon is
// restarted in turn between two of them.
func TestCrashesOutlastRestartOfEveryDaemonInTurn(t *testing.T) {
	withFleet(t, 8, func(t *testing.T, f *fleet) {
		f.breakConnection("gateway-0", request, "engine-1", 1)
		f.breakConnection("gateway-1", request, "engine-2", 1)
		f.exchangeMarks(2)
		for _, name := range f.names {
			f.start(name)
			f.exchangeMarks(2)
		}
		f.breakConnection("gateway-2", request, "engine-3", 1)
		time.Sleep(refusalDelay)
		f.exchangeMarks(1)
		require.Equal(t, 8, f.refusing(request))
	})
}

// Guards against losing crashes when all daemons are restarted at once between two of them.
func TestCrashesOutlastRestartOfAllDaemons(t *testing.T) {
	withFleet(t, 8, func(t *testing.T, f *fleet) {
		f.breakConnection("gateway-0", request, "engine-1", 1)
		f.breakConnection("gateway-1", request, "engine-2", 1)
		f.exchangeMarks(2)
		f.restartAll()
		f.breakConnection("gateway-2", request, "engine-3", 1)
		f.exchangeMarks(3)
		require.Equal(t, 8, f.refusing(request))
	})
}

// Guards against sending a refused request to servers again after all daemons were restarted at
// once.
func TestRefusalOutlastsRestartOfAllDaemons(t *testing.T) {
	withFleet(t, 8, func(t *testing.T, f *fleet) {
		for i := range 3 {
			f.breakConnection("gateway-0", request, fmt.Sprintf("engine-%d", i), 1)
		}
		f.exchangeMarks(3)
		require.Equal(t, 8, f.refusing(request))
		f.restartAll()
		f.exchangeMarks(3)
		require.Equal(t, 8, f.refusing(request))
	})
}

// Guards against a late refusal because one daemon is silent while many requests are suspects.
func TestSilentDaemonDoesNotDelayRefusal(t *testing.T) {
	withFleet(t, 8, func(t *testing.T, f *fleet) {
		// All daemons have read the platform's objects before one of them becomes silent.
		f.exchangeMarks(1)
		f.silence("gateway-7")
		for server := range 3 {
			daemon := fmt.Sprintf("gateway-%d", server)
			for other := range 60 {
				f.guards[daemon].CheckCrash(request+1+crashguard.Fingerprint(other), engine(server))
			}
			time.Sleep(time.Millisecond)
			f.breakConnection(daemon, request, engine(server).Name, 1)
		}
		f.exchangeMarks(3)
		require.Equal(t, 7, f.refusing(request), "all but the silent daemon")
	})
}

// Guards against spreading the crashes of a request over different sets of daemons because the
// fleet has changed between them.
func TestCrashesAddUpWhileFleetChanges(t *testing.T) {
	withFleet(t, 4, func(t *testing.T, f *fleet) {
		f.breakConnection("gateway-0", request, "engine-1", 1)
		for i := 4; i < 12; i++ {
			f.add(fmt.Sprintf("gateway-%d", i))
		}
		f.exchangeMarks(1)
		f.breakConnection("gateway-7", request, "engine-2", 1)
		for i := range 4 {
			f.remove(fmt.Sprintf("gateway-%d", i))
		}
		f.exchangeMarks(1)
		f.breakConnection("gateway-9", request, "engine-3", 1)
		f.exchangeMarks(3)
		require.Equal(t, 8, f.refusing(request))
	})
}

// Guards against counting apart what daemons see that reach the platform and callers, but not
// each other.
func TestCrashesSeenByDaemonsCutFromEachOtherAddUp(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, f *fleet) {
		for _, name := range f.names {
			f.isolate(name)
		}
		f.breakConnection("gateway-0", request, "engine-1", 1)
		f.breakConnection("gateway-1", request, "engine-2", 1)
		time.Sleep(refusalDelay)
		f.breakConnection("gateway-2", request, "engine-3", 1)
		time.Sleep(refusalDelay)
		require.Equal(t, 5, f.refusing(request))
	})
}

// Guards against losing the crashes of an outage of the platform when all daemons are restarted
// soon after it.
func TestCrashesOfOutageAreStoredAfterIt(t *testing.T) {
	withFleet(t, 8, func(t *testing.T, f *fleet) {
		f.store.SetFaults(objects.Faults{Outage: true})
		for i := range 3 {
			f.breakConnection("gateway-0", request, engine(i).Name, 1)
		}
		f.exchangeMarks(10)
		require.LessOrEqual(t, f.store.Counts().Puts, 8*10, "a write a second and daemon at most")
		f.store.SetFaults(objects.Faults{LoseReplies: 1})
		time.Sleep(refusalDelay)
		f.restartAll()
		time.Sleep(refusalDelay)
		require.Equal(t, 8, f.refusing(request))
	})
}

// Guards against a stored object that cannot be read and therefore is never written again.
func TestUnreadableStoredCrashesAreReplaced(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *fleet) {
		_, err := f.store.Put(t.Context(), crashguard.Prefix+"recent", []byte(`{"crashes":7}`), objectapi.NoVersion)
		require.NoError(t, err)
		time.Sleep(time.Second)
		for i := range 3 {
			f.breakConnection("gateway-0", request, engine(i).Name, 1)
		}
		time.Sleep(refusalDelay)
		f.restartAll()
		time.Sleep(refusalDelay)
		require.Equal(t, 3, f.refusing(request))
	})
}

// Guards against a write to the platform by every daemon for each crash, and against writes when
// nothing crashes.
func TestCrashIsStoredByFewWrites(t *testing.T) {
	withFleet(t, 8, func(t *testing.T, f *fleet) {
		f.exchangeMarks(60)
		require.Zero(t, f.store.Counts().Puts)
		for i := range 20 {
			f.guards["gateway-0"].CheckCrash(request+crashguard.Fingerprint(i), engine(0))
		}
		f.exchangeMarks(10)
		require.LessOrEqual(t, f.store.Counts().Puts, 2)
	})
}
