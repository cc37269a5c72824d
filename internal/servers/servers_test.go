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
	"ibisline/internal/feed"
	"ibisline/internal/objectapi"
	"ibisline/internal/servers"
	"ibisline/internal/structs"
)

const prefix = "servers/"

// list is a directory that follows a store.
type list struct {
	*servers.Directory
	t        *testing.T
	store    *objects.Store
	warnings atomic.Int32
}

// inList runs a test under virtual time with a directory of two live servers.
func inList(t *testing.T, test func(l *list)) {
	synctest.Test(t, func(t *testing.T) {
		l := &list{t: t, store: objects.New()}
		logger := &log.Logger{Level: log.WarnLevel, Handler: log.HandlerFunc(func(*log.Entry) error {
			l.warnings.Add(1)
			return nil
		})}
		node := peers.New(nil).Join(structs.Instance{Name: "d0"})
		source := feed.New(feed.Config{}, prefix, l.store, node, node, metrics.NewSet(), testbed.NoLog())
		l.Directory = servers.NewDirectory(source, prefix, decode, logger)
		following, reading := testbed.Start(source.Run), testbed.Start(l.Run)
		defer func() {
			reading.Stop()
			following.Stop()
		}()
		l.put("till-1", structs.StateLive)
		l.put("till-2", structs.StateLive)
		time.Sleep(time.Second)
		require.Equal(t, []string{"till-1", "till-2"}, l.names())
		test(l)
	})
}

func decode(stored objectapi.Object) (structs.Server, error) {
	var server structs.Server
	return server, json.Unmarshal(stored.Value, &server)
}

func (l *list) put(name string, state string) {
	value, err := json.Marshal(structs.Server{Name: name, Service: "tills", State: state})
	require.NoError(l.t, err)
	l.write(name, value)
}

func (l *list) write(name string, value []byte) {
	ctx := context.Background()
	expected := objectapi.NoVersion
	if old, err := l.store.Get(ctx, prefix+name); err == nil {
		expected = old.Version
	}
	_, err := l.store.Put(ctx, prefix+name, value, expected)
	require.NoError(l.t, err)
}

func (l *list) remove(name string) {
	old, err := l.store.Get(context.Background(), prefix+name)
	require.NoError(l.t, err)
	require.NoError(l.t, l.store.Delete(context.Background(), prefix+name, old.Version))
}

// names are the servers that may get requests, without those that have vanished.
func (l *list) names() []string {
	var live []string
	for _, server := range l.Of("tills") {
		if server.State == structs.StateLive {
			live = append(live, server.Name)
		}
	}
	if len(live) == 2 && live[0] > live[1] {
		live[0], live[1] = live[1], live[0]
	}
	return live
}

func TestLeavingServerGetsNothing(t *testing.T) {
	inList(t, func(l *list) {
		l.put("till-1", structs.StateLeaving)
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, []string{"till-2"}, l.names())
		require.Len(t, l.Of("tills"), 1, "not even where no other takes a request")
		_, listed := l.Find("till-1")
		require.True(t, listed, "its runs may go on there")
	})
}

// TestVanishedServerIsALastResort for a moment, and then gone.
func TestVanishedServerIsALastResort(t *testing.T) {
	inList(t, func(l *list) {
		l.remove("till-1")
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, []string{"till-2"}, l.names())
		require.Len(t, l.Of("tills"), 2)
		time.Sleep(servers.VanishGrace)
		require.Len(t, l.Of("tills"), 1)
		_, listed := l.Find("till-1")
		require.False(t, listed)
	})
}

// TestServersThatLapsedInAnOutageAreKeptLonger: they come back within two seconds.
func TestServersThatLapsedInAnOutageAreKeptLonger(t *testing.T) {
	inList(t, func(l *list) {
		l.store.SetFaults(objects.Faults{Outage: true})
		time.Sleep(5 * time.Second)
		l.store.SetFaults(objects.Faults{})
		l.remove("till-1")
		l.remove("till-2")
		time.Sleep(servers.VanishGrace + 500*time.Millisecond)
		require.Len(t, l.Of("tills"), 2, "still there for requests")
		l.put("till-1", structs.StateLive)
		time.Sleep(servers.ReturnGrace)
		require.Equal(t, []string{"till-1"}, l.names())
		require.Len(t, l.Of("tills"), 1, "one that is missing then is gone")
	})
}

// TestUnreadableEntryIsToldOnce for each of its versions, and hurts no other.
func TestUnreadableEntryIsToldOnce(t *testing.T) {
	inList(t, func(l *list) {
		l.write("odd", []byte(`"foreign"`))
		time.Sleep(time.Second)
		l.put("till-1", structs.StateLive)
		time.Sleep(time.Second)
		require.Equal(t, []string{"till-1", "till-2"}, l.names())
		require.EqualValues(t, 1, l.warnings.Load())
		l.write("odd", []byte(`"other"`))
		time.Sleep(time.Second)
		require.EqualValues(t, 2, l.warnings.Load())
	})
}

// TestReplacedAddressBelongsToItsNewServer: an address may be used again.
func TestReplacedAddressBelongsToItsNewServer(t *testing.T) {
	inList(t, func(l *list) {
		l.remove("till-1")
		value, err := json.Marshal(structs.Server{Name: "engine-1", Service: "engines", State: structs.StateLive})
		require.NoError(t, err)
		l.write("engine-1", value)
		time.Sleep(servers.VanishGrace + time.Second)
		require.Equal(t, []string{"till-2"}, l.names())
		require.Len(t, l.Of("engines"), 1)
	})
}
