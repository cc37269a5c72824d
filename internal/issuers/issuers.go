// Package issuers selects the gateways that issue the permits of limits which hold for the whole
// fleet, and counts the gateways among which a limit is divided while they cannot reach each other.
package issuers

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"ibisline/internal/structs"
)

// departureMemory is the time for which a gateway that is not live any more counts as one that may be
// cut off rather than gone.
const departureMemory = time.Minute

// View is the membership of the daemons.
type View interface {
	Self() structs.Instance
	// Live returns the daemons that are considered alive and not leaving.
	Live() []structs.Instance
	// Lookup returns a known daemon, live or leaving, and false if there is none.
	Lookup(name string) (structs.Instance, bool)
}

// Of returns the gateway that issues the permits under a key, and false if there is none. It is one of
// the region, unless that is empty or has no live gateway.
func Of(view View, region, key string) (string, bool) {
	var all, near []string
	for _, instance := range view.Live() {
		if instance.Duty != structs.DutyGateway {
			continue
		}
		all = append(all, instance.Name)
		if instance.Region == region {
			near = append(near, instance.Name)
		}
	}
	if len(near) == 0 {
		near = all
	}
	if len(near) == 0 {
		return "", false
	}
	return rendezvous.New(near, xxhash.Sum64String).Lookup(key), true
}

// Census counts the gateways. It is not safe for concurrent use.
type Census struct {
	view View
	// seen holds the gateways that were live, and when they were seen last.
	seen map[string]time.Time
	// told is the largest number of gateways that others knew lately, as of toldAt.
	told   int
	toldAt time.Time
}

// NewCensus returns a census of the gateways in a view.
func NewCensus(view View) *Census { return &Census{view: view, seen: map[string]time.Time{}} }

// Learn includes the number of gateways that another one knows. A gateway that was restarted while others are
// cut off has never seen those.
func (c *Census) Learn(known int, now time.Time) {
	if known >= c.told || now.Sub(c.toldAt) > departureMemory {
		c.told, c.toldAt = known, now
	}
}

// Count returns the number of live gateways, and that of live ones and those that may be cut off: they
// were live a while ago, here or at a gateway that said so, and have not announced that they leave. Both are
// at least 1.
func (c *Census) Count(now time.Time) (live, known int) {
	live, known = c.count(now)
	if now.Sub(c.toldAt) <= departureMemory {
		known = max(known, c.told)
	}
	return max(live, 1), max(known, 1)
}

// Seen returns the number of gateways that this one has seen, to be told to others. What others have told is
// not included: it would go round and never be forgotten.
func (c *Census) Seen(now time.Time) int {
	_, seen := c.count(now)
	return seen
}

func (c *Census) count(now time.Time) (live, known int) {
	for _, instance := range c.view.Live() {
		if instance.Duty == structs.DutyGateway {
			c.seen[instance.Name] = now
			live++
		}
	}
	for name, at := range c.seen {
		_, present := c.view.Lookup(name)
		switch {
		case at.Equal(now):
			known++
		case now.Sub(at) > departureMemory, present:
			// It is gone, or leaving.
			delete(c.seen, name)
		default:
			known++
		}
	}
	return live, known
}
