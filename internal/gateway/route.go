package gateway

import (
	"time"

	"ibisline/internal/policy/balance"
	"ibisline/internal/request"
	"ibisline/internal/routes"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// RouteQuery describes a request that is not sent.
type RouteQuery struct {
	Host    string
	Path    string
	Team    string
	Program string
	Session string
	// Prompt holds the parts of its prompt.
	Prompt []request.PromptPart
}

// RouteExplanation tells where a request would go now, and why.
type RouteExplanation struct {
	// Version is that of the configuration, 0 if none is known.
	Version int64  `json:"version"`
	Route   string `json:"route,omitempty"`
	Service string `json:"service,omitempty"`
	// Server is the one that would be chosen, empty if the request would be refused.
	Server  string `json:"server,omitempty"`
	Refusal string `json:"refusal,omitempty"`
	// Candidates are the servers of the service.
	Candidates []RouteCandidate `json:"candidates,omitempty"`
}

// RouteCandidate is one server with its cost, in requests in flight.
type RouteCandidate struct {
	Server     string  `json:"server"`
	DataCentre string  `json:"data_centre"`
	State      string  `json:"state"`
	Cost       float64 `json:"cost"`
	// The parts of the cost are those of balance.Candidate.
	InFlight   float64 `json:"in_flight"`
	Congestion float64 `json:"congestion"`
	Affinity   float64 `json:"affinity"`
	Reading    float64 `json:"reading"`
	Pace       float64 `json:"pace"`
	Distance   string  `json:"distance"`
	Suspect    bool    `json:"suspect,omitempty"`
	// Excluded is the reason why the server may not get the request, empty if it may.
	Excluded string `json:"excluded,omitempty"`
}

// distanceNames are the names of distances in explanations.
var distanceNames = map[balance.Distance]string{
	balance.SameDataCentre: "same data centre", balance.SameRegion: "same region", balance.OtherRegion: "other region",
}

// ExplainRoute tells where a request would go now. It uses the code that decides, sends nothing and takes
// neither a permit nor a part of a quota. It does not check keys, budgets and kept turns.
func (g *Gateway) ExplainRoute(q RouteQuery) RouteExplanation {
	table := g.Routes.Current()
	explained := RouteExplanation{Version: table.VersionOrZero()}
	refuse := func(err error) RouteExplanation {
		explained.Refusal = verdict.From(err).Error()
		return explained
	}
	if table == nil {
		return refuse(verdict.Refuse(verdict.CatalogueStale, "no configuration is known yet"))
	}
	j := newJob(&request.Request{
		Host: q.Host, Path: q.Path, Program: q.Program, Session: q.Session, Team: q.Team, Prompt: q.Prompt, Arrived: time.Now(),
	})
	route, found := table.Match(q.Host, q.Path)
	if !found {
		return refuse(verdict.Refuse(verdict.UnknownRoute, "no route for %s%s", q.Host, q.Path))
	}
	j.route = route
	j.service = table.Services[routes.PickService(route, splitFraction(j.Request))]
	explained.Route, explained.Service = route.Name, j.service.Name
	explained.Candidates, explained.Server = g.explainCandidates(j)
	if err := g.explainRefusal(j, table); err != nil {
		explained.Server = ""
		return refuse(err)
	}
	if explained.Server == "" {
		return refuse(g.noServer(j))
	}
	return explained
}

// explainRefusal returns the refusal of a request before a server is chosen, nil if there is none.
func (g *Gateway) explainRefusal(j *job, table *routes.Table) error {
	if table.RequiresKeys && !j.route.Public {
		team, known := table.Team(j.Team)
		if !known {
			return verdict.Refuse(verdict.UnknownKey, "there is no team %q", j.Team)
		}
		if err := g.Quotas.Check(team, quotaProgram(j)); err != nil {
			return err
		}
	}
	return g.checkAdmission(j)
}

// explainCandidates returns the servers of a request's service, and the name of the one that would be
// chosen.
func (g *Gateway) explainCandidates(j *job) ([]RouteCandidate, string) {
	now := time.Now()
	var accepting []structs.Server
	var explained []RouteCandidate
	g.tracker.mu.Lock()
	defer g.tracker.mu.Unlock()
	for _, server := range g.Servers.ForService(j.service.Name) {
		excluded := ""
		if wait, denied := g.Limits.Denied(server); denied {
			excluded = "at its limit for " + wait.String()
		} else if !g.tracker.acceptsWork(server, now) {
			excluded = "leaving"
		}
		if excluded == "" {
			accepting = append(accepting, server)
			continue
		}
		explained = append(explained, RouteCandidate{
			Server: server.Name, DataCentre: server.DataCentre, State: server.State, Excluded: excluded,
		})
	}
	rated := g.tracker.rate(accepting, g.config, j.affinity(), g.promptParts(j), now)
	for i, c := range rated {
		explained = append(explained, RouteCandidate{
			Server: accepting[i].Name, DataCentre: accepting[i].DataCentre, State: accepting[i].State, Cost: c.Cost(),
			InFlight: c.InFlight, Congestion: c.Congestion, Affinity: c.Affinity, Reading: c.Reading, Pace: c.Pace,
			Distance: distanceNames[c.Distance], Suspect: c.Suspect,
		})
	}
	if best := balance.Choose(rated); best >= 0 {
		return explained, accepting[best].Name
	}
	return explained, ""
}
