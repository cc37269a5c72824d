// Package allotment divides what a service can take between the teams that ask for it.
//
// The load pattern: one team sends several times its usual in a crest of all others, and the servers
// take only a part of the requests. If the same part of each team's programs is refused, the other
// teams pay for the one that caused the shortage. Instead, teams of the same priority get equal shares
// (max-min fairness): a team that asks for less than its share is served whole, and what it leaves is
// divided between the others. Teams of a higher priority come first, but a lower priority keeps
// minFraction of what it would get without priorities, so that nobody starves.
//
// A gateway knows the demand at itself only. Callers are spread over gateways, so that the shares of the
// whole fleet come out alike, without a message.
package allotment

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// memory is the time constant of the measured demand. It spans several turns of a program.
	memory = 2 * time.Second
	// minFraction is the part of its proportional share that a priority keeps for its requests while
	// higher ones could use all.
	minFraction = 0.5
	// minDemand is the demand in requests per memory below which a team is forgotten.
	minDemand = 0.01
	// interval is the time for which computed fractions are used.
	interval = 50 * time.Millisecond
)

// Priority orders requests; lower values come first. The priority of a team goes before that of a route.
type Priority struct{ Team, Route int }

// Compare returns a negative number if p comes before other.
func (p Priority) Compare(other Priority) int {
	return cmp.Or(cmp.Compare(p.Team, other.Team), cmp.Compare(p.Route, other.Route))
}

// Group is the requests that share an allotment.
type Group struct {
	Priority Priority
	Team     string
}

// Allotment measures the demand of groups and divides a capacity between them. It is a state machine
// without a clock, and is not safe for concurrent use.
type Allotment struct {
	demands   map[Group]*demand
	fractions map[Group]float64
	// total is the fraction for which fractions was computed at computedAt.
	total      float64
	computedAt time.Time
}

// demand is a decaying count of requests.
type demand struct {
	requests  float64
	updatedAt time.Time
}

func (d *demand) at(now time.Time) float64 {
	return d.requests * math.Exp(-max(now.Sub(d.updatedAt), 0).Seconds()/memory.Seconds())
}

// New returns an Allotment without demand.
func New() *Allotment { return &Allotment{demands: map[Group]*demand{}} }

// Record counts one request, whether it is served or not.
func (a *Allotment) Record(g Group, now time.Time) {
	d := a.demands[g]
	if d == nil {
		d = &demand{}
		a.demands[g] = d
	}
	d.requests, d.updatedAt = d.at(now)+1, now
}

// Fraction returns the fraction of a group's programs that is served while the service takes the given
// fraction of all requests.
func (a *Allotment) Fraction(g Group, total float64, now time.Time) float64 {
	if total >= 1 {
		return 1
	}
	if total != a.total || now.Sub(a.computedAt) >= interval {
		a.compute(total, now)
	}
	if fraction, known := a.fractions[g]; known {
		return fraction
	}
	// A group without demand so far asks for less than its share.
	return 1
}

// compute divides a fraction of the demand between the groups.
func (a *Allotment) compute(total float64, now time.Time) {
	a.total, a.computedAt = total, now
	a.fractions = make(map[Group]float64, len(a.demands))
	type teamDemand struct {
		group    Group
		requests float64
	}
	byPriority := map[Priority][]teamDemand{}
	sums := map[Priority]float64{}
	var all float64
	for g, d := range a.demands {
		requests := d.at(now)
		if requests < minDemand {
			delete(a.demands, g)
			continue
		}
		byPriority[g.Priority] = append(byPriority[g.Priority], teamDemand{g, requests})
		sums[g.Priority] += requests
		all += requests
	}
	priorities := make([]Priority, 0, len(sums))
	for p := range sums {
		priorities = append(priorities, p)
	}
	slices.SortFunc(priorities, Priority.Compare)
	left, lower := total*all, all
	for _, p := range priorities {
		lower -= sums[p]
		available := min(sums[p], left-minFraction*total*lower)
		left -= available
		teams := byPriority[p]
		slices.SortFunc(teams, func(x, y teamDemand) int {
			return cmp.Or(cmp.Compare(x.requests, y.requests), cmp.Compare(x.group.Team, y.group.Team))
		})
		for i, team := range teams {
			share := min(team.requests, available/float64(len(teams)-i))
			available -= share
			a.fractions[team.group] = share / team.requests
		}
	}
}
