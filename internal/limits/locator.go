package limits

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"ibisline/internal/member"
	"ibisline/internal/structs"
)

// departure records that a daemon stopped being live.
type departure struct {
	name string
	at   time.Time
}

// locator determines which daemon is the limiter of an entry, which one was before
// this daemon joined, and from when on no lease of another limiter can be valid. It
// is safe for concurrent use.
type locator struct {
	view member.View
	// leaseExpiry is the time after which all leases of a lost limiter have expired.
	leaseExpiry time.Duration

	mu       sync.Mutex
	started  time.Time
	live     []string
	departed []departure
}

func newLocator(view member.View, leaseExpiry time.Duration) *locator {
	return &locator{view: view, leaseExpiry: leaseExpiry, started: time.Now(), live: namesOf(view.Live())}
}

// namesOf returns the names of instances.
func namesOf(instances []structs.Instance) []string {
	names := make([]string, len(instances))
	for i, instance := range instances {
		names[i] = instance.Name
	}
	return names
}

// recordDepartures records the daemons that left since the previous call.
func (l *locator) recordDepartures(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	live := namesOf(l.view.Live())
	for _, name := range l.live {
		if !slices.Contains(live, name) {
			l.departed = append(l.departed, departure{name: name, at: now})
		}
	}
	l.live = live
	l.departed = slices.DeleteFunc(l.departed, func(d departure) bool { return now.Sub(d.at) > l.leaseExpiry })
}

// limiterOf returns the limiter of an entry, or false if no daemon is live.
func (l *locator) limiterOf(entry string) (string, bool) {
	current, ok := member.Owner(l.view, "", entry)
	return current.Name, ok
}

// predecessor returns the limiter of an entry as seen by daemons whose view does not
// contain this daemon yet, or false if there is no other daemon.
func (l *locator) predecessor(entry string) (string, bool) {
	self := l.view.Self().Name
	others := slices.DeleteFunc(namesOf(l.view.Live()), func(name string) bool { return name == self })
	if len(others) == 0 {
		return "", false
	}
	return rendezvous.New(others, xxhash.Sum64String).Lookup(entry), true
}

// safeFrom returns the time from which no lease granted by a lost limiter of the
// entry, or by an earlier process of this daemon, can be valid.
func (l *locator) safeFrom(entry string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := l.started.Add(l.leaseExpiry)
	self := l.view.Self().Name
	for _, d := range l.departed {
		if rendezvous.New([]string{self, d.name}, xxhash.Sum64String).Lookup(entry) != d.name {
			continue
		}
		if end := d.at.Add(l.leaseExpiry); end.After(from) {
			from = end
		}
	}
	return from
}
