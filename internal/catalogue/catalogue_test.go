package catalogue_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/catalogue"
	"ibisline/internal/fake/objects"
	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

func TestEditsAndDeletionsReachAllDaemons(t *testing.T) {
	runFleet(t, 9, func(t *testing.T, f *fleet) {
		for _, share := range []float64{1, 8, 2} {
			version := f.put(entry("a", share))
			time.Sleep(convergenceBound)
			for _, d := range f.daemons {
				f.requireShare(d, "a", share)
				require.GreaterOrEqual(t, d.Revision(), version)
				require.NoError(t, d.Admit())
			}
		}
		revision := f.remove("a")
		time.Sleep(convergenceBound)
		for _, d := range f.daemons {
			f.requireShare(d, "a", 0)
			require.GreaterOrEqual(t, d.Revision(), revision)
		}
	})
}

func TestPeersDeliverEditsWhileWatchHangs(t *testing.T) {
	runFleet(t, 9, func(t *testing.T, f *fleet) {
		f.put(entry("a", 1))
		f.daemons[3].platform.set(func(s *faultyStore) { s.watchHangs = true })
		time.Sleep(convergenceBound)
		version := f.put(entry("a", 2))
		time.Sleep(convergenceBound)
		f.requireShare(f.daemons[3], "a", 2)
		require.GreaterOrEqual(t, f.daemons[3].Revision(), version)
	})
}

func TestDeletionIsNotMissedAcrossCompaction(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		f.put(entry("a", 1))
		f.put(entry("b", 1))
		time.Sleep(convergenceBound)
		f.store.SetFaults(objects.Faults{Outage: true})
		time.Sleep(time.Second)
		f.store.SetFaults(objects.Faults{})
		f.remove("a")
		f.store.Compact()
		time.Sleep(convergenceBound)
		for _, d := range f.daemons {
			f.requireShare(d, "a", 0)
			f.requireShare(d, "b", 1)
		}
	})
}

func TestDaemonRestartedDuringOutageLoadsFromPeers(t *testing.T) {
	runFleet(t, 9, func(t *testing.T, f *fleet) {
		f.put(entry("a", 1))
		f.put(entry("b", 1))
		time.Sleep(convergenceBound)
		f.put(entry("a", 2))
		f.remove("b")
		time.Sleep(convergenceBound)
		f.store.SetFaults(objects.Faults{Outage: true})
		time.Sleep(time.Minute)
		d := f.restart(4)
		require.True(t, verdict.HasReason(d.Admit(), verdict.CatalogueStale))
		time.Sleep(2 * convergenceBound)
		f.requireShare(d, "a", 2)
		f.requireShare(d, "b", 0)
		for _, d := range f.daemons {
			require.NoError(t, d.Admit(), "work is admitted while the platform is down for all daemons")
		}
	})
}

func TestIsolatedDaemonStopsAdmittingAndCatchesUp(t *testing.T) {
	runFleet(t, 9, func(t *testing.T, f *fleet) {
		f.put(entry("a", 1))
		time.Sleep(convergenceBound)
		f.isolate(5, true)
		time.Sleep(catalogue.DefaultStaleAfter + time.Second)
		f.put(entry("a", 2))
		time.Sleep(2 * time.Minute)
		err := f.daemons[5].Admit()
		require.True(t, verdict.HasReason(err, verdict.CatalogueStale))
		require.True(t, verdict.Is(err, verdict.NotRun))
		require.NoError(t, f.daemons[0].Admit())
		f.isolate(5, false)
		time.Sleep(convergenceBound)
		f.requireShare(f.daemons[5], "a", 2)
		require.NoError(t, f.daemons[5].Admit())
	})
}

func TestRegionCutFromPlatformAdmitsOnlyThroughFreshPeer(t *testing.T) {
	runFleet(t, 9, func(t *testing.T, f *fleet) {
		inRegion := func(i int) bool { return i%len(regions) == 2 }
		cut := func(on bool) {
			for i := range f.daemons {
				for j := range f.daemons {
					if inRegion(i) != inRegion(j) {
						f.cutPair(i, j, on)
					}
				}
			}
		}
		for i, d := range f.daemons {
			d.platform.set(func(s *faultyStore) { s.cut = inRegion(i) })
		}
		f.put(entry("a", 1))
		time.Sleep(time.Minute)
		for _, d := range f.daemons {
			f.requireShare(d, "a", 1)
			require.NoError(t, d.Admit())
		}
		cut(true)
		time.Sleep(catalogue.DefaultStaleAfter + time.Second)
		f.put(entry("a", 2))
		time.Sleep(2 * time.Minute)
		for i, d := range f.daemons {
			require.Equal(t, inRegion(i), d.Admit() != nil, d.name)
		}
		cut(false)
		time.Sleep(convergenceBound)
		for _, d := range f.daemons {
			f.requireShare(d, "a", 2)
			require.NoError(t, d.Admit())
		}
	})
}

func TestMalformedObjectReplacesNothing(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		version := f.put(entry("a", 3))
		time.Sleep(convergenceBound)
		for _, value := range []string{`{`, `{"name":"b","owner":"o","class":"c","share":1}`, `{"name":"a","owner":"o","class":"c","share":-1}`} {
			var err error
			version, err = f.store.Put(context.Background(), catalogue.Key("a"), []byte(value), version)
			require.NoError(t, err)
			time.Sleep(convergenceBound)
			f.store.Compact()
			f.requireShare(f.daemons[0], "a", 3)
		}
		good, err := catalogue.Encode(entry("a", 4))
		require.NoError(t, err)
		_, err = f.store.Put(context.Background(), catalogue.Key("a"), good, version)
		require.NoError(t, err)
		time.Sleep(convergenceBound)
		f.requireShare(f.daemons[0], "a", 4)
	})
}

func TestCheckNamesEachWrongField(t *testing.T) {
	bad := structs.Entry{Name: "a b", Owner: "", Class: "c", Share: 0, MaxConcurrent: -1, RatePerSecond: -1}
	err := catalogue.Check(bad)
	require.Error(t, err)
	for _, field := range []string{"name", "owner", "share", "max_concurrent", "rate_per_second"} {
		require.ErrorContains(t, err, field+" is ")
	}
	require.NotContains(t, err.Error(), "class is")
	_, err = catalogue.Decode(objectapi.Object{Key: catalogue.Key("a"), Value: []byte(`{"name":"a","owner":"o","class":"c","share":1}`), Version: 4})
	require.NoError(t, err)
}

func TestResumedDaemonDoesNotAdmitOnStaleEntry(t *testing.T) {
	runFleet(t, 9, func(t *testing.T, f *fleet) {
		f.put(entry("a", 1))
		time.Sleep(convergenceBound)
		paused := f.daemons[7]
		paused.platform.pause()
		for i := range f.daemons {
			f.cutPair(7, i, true)
		}
		time.Sleep(time.Minute)
		f.put(entry("a", 2))
		time.Sleep(time.Minute)
		paused.platform.resume()
		for range 100 {
			if paused.Admit() == nil {
				f.requireShare(paused, "a", 2)
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(convergenceBound)
		require.NoError(t, paused.Admit(), "the daemon reaches the platform but no peer")
		f.requireShare(paused, "a", 2)
	})
}
