package crashguard

import (
	"context"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/structs"
	"ibisline/internal/timers"
)

const (
	// checkInterval is the interval at which the runs that may have crashed are looked at.
	checkInterval = 100 * time.Millisecond
	// checkLifetime is how long a run is looked at after a request to it was broken off. It
	// outlasts the downtime of a server, and the time until the platform removes its entry.
	checkLifetime = 10 * time.Second
	// probeTimeout limits the probe of a server. It allows for several round trips between
	// regions.
	probeTimeout = 400 * time.Millisecond
	// maxUnanswered is the number of probes in a row without an answer after which a run has
	// crashed.
	maxUnanswered = 3
	// maxChecks limits the number of runs that are looked at.
	maxChecks = 1024
)

// evidence shows that a run of a server has ended, or that it has not.
type evidence string

const (
	// refusedConnection means that nothing listens at the address.
	refusedConnection evidence = "refused connection"
	// noAnswer means that several probes in a row have timed out.
	noAnswer evidence = "no answer"
	// restarted means that the platform lists a later run under the same name, and replaced one
	// under another name at the same address.
	restarted evidence = "restarted"
	replaced  evidence = "replaced"
	// none means that nothing of this was seen within checkLifetime.
	none evidence = "none"
)

// check is a run of a server that may have crashed, and the requests that were broken off.
type check struct {
	server   structs.Server
	requests map[Fingerprint]bool
	// suspectedAt is the time at which a request was broken off last.
	suspectedAt time.Time
	// probing is set during a probe, and answered once the server has answered one since
	// suspectedAt. unanswered counts the probes without an answer in a row.
	probing    bool
	answered   bool
	unanswered int
	crashed    bool
}

// CheckCrash finds out in the background whether a server has crashed, after it broke off a
// request. One answer does not show that it has not: a server may be silent at first, and another
// run may have its address already.
func (g *Guard) CheckCrash(request Fingerprint, server structs.Server) {
	g.mu.Lock()
	c := g.checks[runOf(server)]
	if c == nil {
		if len(g.checks) >= maxChecks {
			g.mu.Unlock()
			g.Log.WithField("server", server.Name).Warn("crash not checked: too many servers are being checked")
			return
		}
		c = &check{server: server, requests: map[Fingerprint]bool{}}
		g.checks[runOf(server)] = c
	}
	c.requests[request] = true
	c.suspectedAt = time.Now()
	c.answered = false
	crashed, completed := c.crashed, g.completedRecently(request, c.suspectedAt)
	g.mu.Unlock()
	if crashed {
		if !completed {
			g.recordCrash(request, server)
		}
		return
	}
	g.startProbe(c)
	select {
	case g.checkAdded <- struct{}{}:
	default:
	}
}

// watchChecks looks for evidence of crashes until ctx ends.
func (g *Guard) watchChecks(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.checkAdded:
		}
		for g.advanceChecks(time.Now()) {
			if !timers.Sleep(ctx, checkInterval) {
				return
			}
		}
	}
}

// advanceChecks looks at all checks, ends the old ones, and reports whether any are left.
func (g *Guard) advanceChecks(now time.Time) bool {
	g.mu.Lock()
	var pending []*check
	for key, c := range g.checks {
		switch {
		case now.Sub(c.suspectedAt) < checkLifetime:
			pending = append(pending, c)
		case !c.probing:
			delete(g.checks, key)
			if !c.crashed {
				g.endCheck(c, none)
			}
		}
	}
	left := len(g.checks) > 0
	g.mu.Unlock()
	for _, c := range pending {
		if found := g.evidenceInList(c.server); found != none {
			g.conclude(c, found)
			continue
		}
		g.startProbe(c)
	}
	return left
}

// evidenceInList returns what the list of servers says about the end of a run.
func (g *Guard) evidenceInList(server structs.Server) evidence {
	if listed, found := g.Servers.Find(server.Name); found && listed.StartedMS > server.StartedMS {
		return restarted
	}
	other, found := g.Servers.AtAddr(server.Addr)
	if found && other.Name != server.Name && other.StartedMS > server.StartedMS {
		return replaced
	}
	return none
}

// startProbe probes a run in the background, unless a probe is in progress or the question is
// settled.
func (g *Guard) startProbe(c *check) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.probing || c.answered || c.crashed {
		return
	}
	c.probing = true
	go g.runProbe(c, c.suspectedAt)
}

// runProbe connects to the server of a check, in which a request was broken off last at the given
// time.
func (g *Guard) runProbe(c *check, suspectedAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := g.Probe(ctx, c.server)
	g.mu.Lock()
	c.probing = false
	switch {
	case err == nil:
		c.unanswered = 0
		c.answered = c.suspectedAt.Equal(suspectedAt)
	case !errors.Is(err, syscall.ECONNREFUSED):
		c.unanswered++
	}
	unanswered := c.unanswered
	g.mu.Unlock()
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		g.conclude(c, refusedConnection)
	case unanswered >= maxUnanswered:
		g.conclude(c, noAnswer)
	}
}

// conclude records that the run of a check has crashed under all its requests.
func (g *Guard) conclude(c *check, found evidence) {
	g.mu.Lock()
	if c.crashed {
		g.mu.Unlock()
		return
	}
	c.crashed = true
	g.endCheck(c, found)
	now := time.Now()
	crashes := make([]Crash, 0, len(c.requests))
	for request := range c.requests {
		if !g.completedRecently(request, now) {
			crashes = append(crashes, crashOf(request, c.server, now))
		}
	}
	g.mu.Unlock()
	g.addAll(crashes, sourceLocal)
}

// endCheck logs and counts the result of a check. The caller holds mu.
func (g *Guard) endCheck(c *check, found evidence) {
	label := strings.ReplaceAll(string(found), " ", "_")
	g.Metrics.GetOrCreateCounter(`ibisline_poison_checks_total{evidence="` + label + `"}`).Inc()
	g.Log.WithField("server", c.server.Name).WithField("started", c.server.StartedMS).
		WithField("requests", len(c.requests)).WithField("evidence", found).Info("server checked for a crash")
}
