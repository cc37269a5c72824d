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
	// byKey holds the team of each key; nil for a key that several teams list, which proves nothing.
	byKey map[structs.KeyDigest]*structs.Team
	teams map[string]*structs.Team
}

// NewTable returns the index of a version of the configuration.
func NewTable(config structs.RouteTable) *Table {
	t := &Table{RouteTable: config, byHost: map[string][]*structs.Route{}}
	for i := range config.Routes {
		route := &config.Routes[i]
		t.byHost[route.Host] = append(t.byHost[route.Host], route)
	}
	t.indexTeams()
	return t
}

// indexTeams fills byKey and teams.
func (t *Table) indexTeams() {
	t.teams = make(map[string]*structs.Team, len(t.Teams))
	t.byKey = make(map[structs.KeyDigest]*structs.Team, len(t.Teams))
	for i := range t.Teams {
		team := &t.Teams[i]
		t.teams[team.Name] = team
		for _, key := range team.Keys {
			if other, listed := t.byKey[key]; listed && other != team {
				t.byKey[key] = nil
				continue
			}
			t.byKey[key] = team
		}
	}
}

// TeamOf returns the team that a key belongs to, and false if there is none or several.
func (t *Table) TeamOf(key structs.KeyDigest) (*structs.Team, bool) {
	team := t.byKey[key]
	return team, team != nil
}

// Team returns a team by name, and false if there is none.
func (t *Table) Team(name string) (*structs.Team, bool) {
	team, known := t.teams[name]
	return team, known
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
