package routes_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/peers"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/objectapi"
	"ibisline/internal/objectcache"
	"ibisline/internal/routes"
	"ibisline/internal/structs"
)

func TestMatchPrefersLongestPathPrefixOfHost(t *testing.T) {
	table := routes.NewTable(structs.RouteTable{Routes: []structs.Route{
		{Name: "all", Host: "a", PathPrefix: "/"},
		{Name: "long", Host: "a", PathPrefix: "/x/y/"},
		{Name: "short", Host: "a", PathPrefix: "/x/"},
		{Name: "other", Host: "b", PathPrefix: "/x/y/z/"},
	}})
	for path, wanted := range map[string]string{"/x/y/z/": "long", "/x/": "short", "/xy": "all"} {
		found, ok := table.Match("a", path)
		require.True(t, ok)
		require.Equal(t, wanted, found.Name, path)
	}
	_, ok := table.Match("b", "/x/y/")
	require.False(t, ok)
	_, ok = table.Match("c", "/")
	require.False(t, ok)
}

func TestPickServiceIsProportionalToWeight(t *testing.T) {
	route := &structs.Route{Targets: []structs.Target{
		{Service: "old", Weight: 1}, {Service: "new", Weight: 3}, {Service: "none"},
	}}
	counted := map[string]int{}
	for i := range 400 {
		counted[routes.PickService(route, float64(i)/400)]++
	}
	require.Equal(t, map[string]int{"old": 100, "new": 300}, counted)
	require.Empty(t, routes.PickService(&structs.Route{}, 0.5))
}

const prefix = "config/"

func decode(stored objectapi.Object) (structs.RouteTable, error) {
	var table structs.RouteTable
	return table, json.Unmarshal(stored.Value, &table)
}

func TestOnlyNewerValidConfigurationBecomesCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objects.New()
		node := peers.New(nil).Join(structs.Instance{Name: "d0"})
		source := objectcache.New(objectcache.Config{}, prefix, store, node, node, metrics.NewSet(), testbed.NoLog())
		loader := routes.NewLoader(source, prefix, decode, testbed.NoLog())
		sourceLoop, loaderLoop := testbed.Start(source.Run), testbed.Start(loader.Run)
		defer func() {
			loaderLoop.Stop()
			sourceLoop.Stop()
		}()
		require.Nil(t, loader.Current())
		require.Zero(t, loader.Current().VersionOrZero())
		version := objectapi.NoVersion
		for _, step := range []struct {
			value   string
			current int64
		}{
			{`{"Version":5}`, 5}, {`{"Version":4}`, 5}, {`{"Version":"x"}`, 5}, {`not JSON`, 5}, {`{"Version":6}`, 6},
		} {
			next, err := store.Put(context.Background(), prefix+"main", []byte(step.value), version)
			require.NoError(t, err)
			version = next
			time.Sleep(2 * time.Second)
			require.Equal(t, step.current, loader.Current().VersionOrZero(), step.value)
		}
	})
}
