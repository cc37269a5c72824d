// Package routes holds the current version of the route configuration on a daemon and
// matches requests to routes.
package routes

import (
	"strings"

	"ibisline/internal/structs"
)

// Table is an index of the routes in one version of the configuration. It is immutable.
type Table struct {
	structs.RouteTable
	byHost map[string][]*structs.Route
}

// NewTable returns the index of a version of the configuration.
func NewTable(config structs.RouteTable) *Table {
	t := &Table{RouteTable: config, byHost: map[string][]*structs.Route{}}
	for i := range config.Routes {
		route := &config.Routes[i]
		t.byHost[route.Host] = append(t.byHost[route.Host], route)
	}
	return t
}

// VersionOrZero returns the version of the configuration, 0 for a nil table.
func (t *Table) VersionOrZero() int64 {
	if t == nil {
		return 0
	}
	return t.Version
}

// Match returns the route of host with the longest path prefix that matches path.
func (t *Table) Match(host, path string) (*structs.Route, bool) {
	var best *structs.Route
	for _, route := range t.byHost[host] {
		if strings.HasPrefix(path, route.PathPrefix) && (best == nil || len(route.PathPrefix) > len(best.PathPrefix)) {
			best = route
		}
	}
	return best, best != nil
}

// PickService selects a service of a route by weight. draw is in the range [0, 1); the
// same draw selects the same service.
func PickService(route *structs.Route, draw float64) string {
	total := 0
	for _, target := range route.Targets {
		total += max(target.Weight, 0)
	}
	point := draw * float64(total)
	for _, target := range route.Targets {
		point -= float64(max(target.Weight, 0))
		if point < 0 {
			return target.Service
		}
	}
	if len(route.Targets) > 0 {
		return route.Targets[0].Service
	}
	return ""
}
