package gateway

import (
	"net/http"
	"slices"
	"strings"
	"sync"

	"ibisline/internal/quota"
	"ibisline/internal/structs"
)

const (
	// ownMetricsAfter is the number of requests after which a team has metrics of its own, and
	// maxTeamMetrics the number of teams that have: the busiest ones pass it first, and a fleet may have
	// tens of thousands of teams. The others share the label otherTeams.
	ownMetricsAfter = 200
	maxTeamMetrics  = 50
	otherTeams      = ""
	// maxCountedTeams limits the teams that are counted, some 300 bytes each.
	maxCountedTeams = 10_000
)

// teamCounts counts the requests of each team at this gateway. It is safe for concurrent use.
type teamCounts struct {
	mu         sync.Mutex
	teams      map[string]*teamCount
	ownMetrics int
}

type teamCount struct {
	served, failed int64
	refused        map[string]int64
	ownMetrics     bool
}

func newTeamCounts() *teamCounts { return &teamCounts{teams: map[string]*teamCount{}} }

// Outcomes of requests in the metrics of teams.
const (
	outcomeServed  = "served"
	outcomeRefused = "refused"
	outcomeFailed  = "failed"
)

// record counts a request that has ended, and returns its outcome and the label of its team.
func (c *teamCounts) record(team string, s *summary) (outcome, label string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.teams[team]
	if count == nil {
		count = &teamCount{refused: map[string]int64{}}
		if len(c.teams) < maxCountedTeams {
			c.teams[team] = count
		}
	}
	switch {
	case s.failure != nil && (s.status == http.StatusTooManyRequests || s.status == http.StatusServiceUnavailable):
		count.refused[string(s.failure.Reason)]++
		outcome = outcomeRefused
	case s.failure != nil || s.status >= http.StatusInternalServerError:
		count.failed++
		outcome = outcomeFailed
	default:
		count.served++
		outcome = outcomeServed
	}
	if !count.ownMetrics && c.ownMetrics < maxTeamMetrics && count.total() >= ownMetricsAfter {
		count.ownMetrics = true
		c.ownMetrics++
	}
	if count.ownMetrics {
		return outcome, team
	}
	return outcome, otherTeams
}

// total returns the number of requests.
func (c *teamCount) total() int64 {
	total := c.served + c.failed
	for _, n := range c.refused {
		total += n
	}
	return total
}

// TeamStatus is what one gateway knows of a team.
type TeamStatus struct {
	Team      string  `json:"team"`
	Priority  int     `json:"priority"`
	PerSecond float64 `json:"per_second,omitempty"`
	Burst     float64 `json:"burst,omitempty"`
	// Served, Failed and Refused count requests since the start of the daemon; Refused by reason.
	Served  int64            `json:"served"`
	Failed  int64            `json:"failed,omitempty"`
	Refused map[string]int64 `json:"refused,omitempty"`
	// Quota is nil for a team whose quota this gateway has not used.
	Quota *quota.TeamState `json:"quota,omitempty"`
}

// TeamReport is what one gateway knows of all teams.
type TeamReport struct {
	Version int64 `json:"version"`
	// ProofSeconds is the time since the configuration was proven to be the newest one, -1 without a
	// proof.
	ProofSeconds float64      `json:"proof_seconds"`
	Teams        []TeamStatus `json:"teams"`
}

// Teams reports the teams of the configuration in force. Keys and their digests are not included.
func (g *Gateway) Teams(quotas []quota.TeamState) TeamReport {
	age, proven := g.Routes.Age()
	table := g.Routes.Current()
	report := TeamReport{Version: table.VersionOrZero(), ProofSeconds: age.Seconds(), Teams: []TeamStatus{}}
	if !proven {
		report.ProofSeconds = -1
	}
	if table == nil {
		return report
	}
	states := make(map[string]*quota.TeamState, len(quotas))
	for i := range quotas {
		states[quotas[i].Team] = &quotas[i]
	}
	g.teamCounts.mu.Lock()
	defer g.teamCounts.mu.Unlock()
	for _, team := range table.Teams {
		status := TeamStatus{
			Team: team.Name, Priority: team.Priority, PerSecond: team.PerSecond, Burst: team.Burst, Quota: states[team.Name],
		}
		if count := g.teamCounts.teams[team.Name]; count != nil {
			status.Served, status.Failed, status.Refused = count.served, count.failed, map[string]int64{}
			for reason, n := range count.refused {
				status.Refused[reason] = n
			}
		}
		report.Teams = append(report.Teams, status)
	}
	slices.SortFunc(report.Teams, func(a, b TeamStatus) int { return strings.Compare(a.Team, b.Team) })
	return report
}

// recordTeam counts a request that has ended for its team, if it has one.
func (g *Gateway) recordTeam(team *structs.Team, s *summary) {
	if team == nil {
		return
	}
	outcome, label := g.teamCounts.record(team.Name, s)
	g.requestMetrics.increment("ibisline_gateway_team_requests_total", "team", label, "outcome", outcome)
}
