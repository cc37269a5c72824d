// Package serverlimit keeps track of the requests a second that backend servers in need take from
// all daemons together. A server names its limit in its responses for as long as it holds.
package serverlimit

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"ibisline/internal/structs"
)

// Limits holds the limits that servers name. It is safe for concurrent use.
type Limits struct {
	logger log.Interface

	limitedSends *metrics.Counter

	mu    sync.Mutex
	known *knowledge
}

// New returns Limits without any.
func New(set *metrics.Set, logger log.Interface) *Limits {
	l := &Limits{
		logger:       logger,
		limitedSends: set.GetOrCreateCounter("ibisline_server_limit_sends_total"),
		known:        newKnowledge(),
	}
	set.GetOrCreateGauge("ibisline_server_limits", func() float64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return float64(len(l.known.limits))
	})
	return l
}

// Observe records what the response of a server says about its limit. The request was sent at the
// given time.
func (l *Limits) Observe(server structs.Server, n Notice, sentAt time.Time) {
	l.mu.Lock()
	changed := l.known.observe(runOf(server), n, sentAt, time.Now())
	perSecond, limited := l.known.limitOf(runOf(server))
	l.mu.Unlock()
	if limited {
		l.limitedSends.Inc()
	}
	if !changed {
		return
	}
	entry := l.logger.WithField("server", server.Name).WithField("started", server.StartedMS)
	if limited {
		entry.WithField("per_second", perSecond).Info("backend server names a limit")
		return
	}
	entry.Info("backend server names no limit any more")
}
