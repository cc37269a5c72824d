package servers_test

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/stretchr/testify/require"

	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/peers"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/objectapi"
	"ibisline/internal/objectcache"
	"ibisline/internal/servers"
	"ibisline/internal/structs"
)

const prefix = "servers/"

// testDirectory is a directory that is fed from an object store.
type testDirectory struct {
	*servers.Directory
	t        *testing.T
	store    *objects.Store
	warnings atomic.Int32
}

// runWithDirectory runs a test under virtual time with a directory of two live servers.
func runWithDirectory(t *testing.T, test func(d *testDirectory)) {
	synctest.Test(t, func(t *testing.T) {
		d := &testDirectory{t: t, store: objects.New()}
		logger := &log.Logger{Level: log.WarnLevel, Handler: log.HandlerFunc(func(*log.Entry) error {
			d.warnings.Add(1)
			return nil
		})}
		var stop func()
		d.Directory, stop = startDirectory(d.store, logger)
		defer stop()
		d.put("till-1", structs.StateLive)
		d.put("till-2", structs.StateLive)
		time.Sleep(time.Second)
		require.Equal(t, []string{"till-1", "till-2"}, d.liveNames())
		test(d)
	})
}

// startDirectory starts a directory of the servers in a store.
func startDirectory(store *objects.Store, logger log.Interface) (_ *servers.Directory, stop func()) {
	node := peers.New(nil).Join(structs.Instance{Name: "d0"})
	source := objectcache.New(objectcache.Config{}, prefix, store, node, node, metrics.NewSet(), testbed.NoLog())
	directory := servers.NewDirectory(source, prefix, decode, logger)
	sourceLoop, directoryLoop := testbed.Start(source.Run), testbed.Start(directory.Run)
	return directory, func() {
		directoryLoop.Stop()
		sourceLoop.Stop()
	}
}

func decode(stored objectapi.Object) (structs.Server, error) {
	var server structs.Server
	return server, json.Unmarshal(stored.Value, &server)
}

func (d *testDirectory) put(name string, state string) {
	value, err := json.Marshal(structs.Server{Name: name, Service: "tills", State: state, StartedMS: 1})
	require.NoError(d.t, err)
	d.write(name, value)
}

func (d *testDirectory) write(name string, value []byte) {
	ctx := context.Background()
	expected := objectapi.NoVersion
	if old, err := d.store.Get(ctx, prefix+name); err == nil {
		expected = old.Version
	}
	_, err := d.store.Put(ctx, prefix+name, value, expected)
	require.NoError(d.t, err)
}

func (d *testDirectory) remove(name string) {
	old, err := d.store.Get(context.Background(), prefix+name)
	require.NoError(d.t, err)
	require.NoError(d.t, d.store.Delete(context.Background(), prefix+name, old.Version))
}

// liveNames returns the names of the servers that may get requests, except vanished ones.
func (d *testDirectory) liveNames() []string {
	var live []string
	for _, server := range d.ForService("tills") {
		if server.State == structs.StateLive {
			live = append(live, server.Name)
		}
	}
	if len(live) == 2 && live[0] > live[1] {
		live[0], live[1] = live[1], live[0]
	}
	return live
}

func TestLeavingServerGetsNoRequests(t *testing.T) {
	runWithDirectory(t, func(d *testDirectory) {
		d.put("till-1", structs.StateLeaving)
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, []string{"till-2"}, d.liveNames())
		require.Len(t, d.ForService("tills"), 1, "a leaving server gets no request even if no other can take it")
		_, listed := d.Find("till-1")
		require.True(t, listed, "its runs may continue on the leaving server")
	})
}

// TestVanishedServerIsKeptForGracePeriod requires that a vanished server remains
// available as a last resort for a while and is removed LeavingLimit after it vanished.
func TestVanishedServerIsKeptForGracePeriod(t *testing.T) {
	runWithDirectory(t, func(d *testDirectory) {
		d.remove("till-1")
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, []string{"till-2"}, d.liveNames())
		require.Len(t, d.ForService("tills"), 2)
		time.Sleep(servers.LeavingLimit - 200*time.Millisecond)
		require.Len(t, d.ForService("tills"), 1)
		_, listed := d.Find("till-1")
		require.False(t, listed)
	})
}

// Guards against counting the time for which a server is leaving from the moment at which a late watch, or a
// listing, tells this daemon, and against starting anew with a daemon that is restarted.
func TestLeavingSinceIsNotLaterThanTheChange(t *testing.T) {
	for offset := range 12 {
		runWithDirectory(t, func(d *testDirectory) {
			time.Sleep(time.Duration(offset) * 100 * time.Millisecond)
			d.store.SetFaults(objects.Faults{StuckWatches: true})
			leftAt := time.Now()
			d.put("till-1", structs.StateLeaving)
			leaving := func(of *servers.Directory) structs.Server {
				server, _ := of.Find("till-1")
				return server
			}
			for leaving(d.Directory).State != structs.StateLeaving {
				time.Sleep(10 * time.Millisecond)
			}
			since := leaving(d.Directory).LeavingSince
			require.False(t, since.After(leftAt), "known %s late", time.Since(leftAt))
			require.Less(t, leftAt.Sub(since), 1500*time.Millisecond)
			time.Sleep(time.Second)
			d.put("till-1", structs.StateLive)
			time.Sleep(2 * time.Second)
			require.Equal(t, structs.StateLeaving, leaving(d.Directory).State, "a run that is leaving does not come back")
			require.Equal(t, since, leaving(d.Directory).LeavingSince)
			d.put("till-1", structs.StateLeaving)

			restarted, stop := startDirectory(d.store, testbed.NoLog())
			defer stop()
			time.Sleep(time.Second)
			require.Equal(t, structs.StateLeaving, leaving(restarted).State)
			require.Zero(t, leaving(restarted).LeavingSince, "it may be leaving for any time")
		})
	}
}

// TestServersExpiredDuringOutageAreKeptLonger requires that servers whose entries
// expired during a platform outage are kept for OutageGrace, because they renew their
// entries within about two seconds.
func TestServersExpiredDuringOutageAreKeptLonger(t *testing.T) {
	runWithDirectory(t, func(d *testDirectory) {
		d.store.SetFaults(objects.Faults{Outage: true})
		time.Sleep(5 * time.Second)
		d.store.SetFaults(objects.Faults{})
		d.remove("till-1")
		d.remove("till-2")
		time.Sleep(servers.LeavingLimit + 500*time.Millisecond)
		require.Len(t, d.ForService("tills"), 2, "expired servers may still get requests")
		d.put("till-1", structs.StateLive)
		time.Sleep(servers.OutageGrace)
		require.Equal(t, []string{"till-1"}, d.liveNames())
		require.Len(t, d.ForService("tills"), 1, "a server that is not listed again is removed")
	})
}

// TestUnreadableEntryIsLoggedOncePerVersion requires that an invalid entry is logged once
// for each of its versions and does not affect other entries.
func TestUnreadableEntryIsLoggedOncePerVersion(t *testing.T) {
	runWithDirectory(t, func(d *testDirectory) {
		d.write("odd", []byte(`"foreign"`))
		time.Sleep(time.Second)
		d.put("till-1", structs.StateLive)
		time.Sleep(time.Second)
		require.Equal(t, []string{"till-1", "till-2"}, d.liveNames())
		require.EqualValues(t, 1, d.warnings.Load())
		d.write("odd", []byte(`"other"`))
		time.Sleep(time.Second)
		require.EqualValues(t, 2, d.warnings.Load())
	})
}

// TestRemovedServerDoesNotAffectItsReplacement requires that a server is removed while
// one of another service is added, as happens when an address is reused.
func TestRemovedServerDoesNotAffectItsReplacement(t *testing.T) {
	runWithDirectory(t, func(d *testDirectory) {
		d.remove("till-1")
		value, err := json.Marshal(structs.Server{Name: "engine-1", Service: "engines", State: structs.StateLive})
		require.NoError(t, err)
		d.write("engine-1", value)
		time.Sleep(servers.LeavingLimit + time.Second)
		require.Equal(t, []string{"till-2"}, d.liveNames())
		require.Len(t, d.ForService("engines"), 1)
	})
}

// Guards against taking a server for alive because another one has its address now.
func TestServerThatWasStartedLastIsFoundAtAddress(t *testing.T) {
	runWithDirectory(t, func(d *testDirectory) {
		for name, started := range map[string]int64{"till-3": 5, "till-4": 7, "till-5": 6} {
			value, err := json.Marshal(structs.Server{Name: name, Addr: "10.0.0.9:80", StartedMS: started, State: structs.StateLive})
			require.NoError(t, err)
			d.write(name, value)
		}
		time.Sleep(time.Second)
		last, found := d.AtAddr("10.0.0.9:80")
		require.True(t, found)
		require.Equal(t, "till-4", last.Name)
		_, found = d.AtAddr("10.0.0.8:80")
		require.False(t, found)
	})
}
