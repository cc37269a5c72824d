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

// departure is a daemon that left the live ones.
type departure struct {
	name string
	at   time.Time
}

// owners tells which daemon is the limiter of an entry, which one was before this
// daemon joined, and since when nobody else can have been. It is safe for
// concurrent use.
type owners struct {
	view member.View
	// settleFor is the time after which the leases of a lost limiter have ended.
	settleFor time.Duration

	mu       sync.Mutex
	started  time.Time
	live     []string
	departed []departure
}

func newOwners(view member.View, settleFor time.Duration) *owners {
	return &owners{view: view, settleFor: settleFor, started: time.Now(), live: namesOf(view.Live())}
}

// namesOf returns the names of instances.
func namesOf(instances []structs.Instance) []string {
	names := make([]string, len(instances))
	for i, instance := range instances {
		names[i] = instance.Name
	}
	return names
}

// review records which daemons left since the last review.
func (o *owners) review(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	live := namesOf(o.view.Live())
	for _, name := range o.live {
		if !slices.Contains(live, name) {
			o.departed = append(o.departed, departure{name: name, at: now})
		}
	}
	o.live = live
	o.departed = slices.DeleteFunc(o.departed, func(d departure) bool { return now.Sub(d.at) > o.settleFor })
}

// owner returns the limiter of an entry.
func (o *owners) owner(entry string) (string, bool) {
	owner, ok := member.Owner(o.view, "", entry)
	return owner.Name, ok
}

// predecessor returns the daemon that is the limiter of an entry for those that
// do not know of this daemon yet, and false when there is none.
func (o *owners) predecessor(entry string) (string, bool) {
	self := o.view.Self().Name
	others := slices.DeleteFunc(namesOf(o.view.Live()), func(name string) bool { return name == self })
	if len(others) == 0 {
		return "", false
	}
	return rendezvous.New(others, xxhash.Sum64String).Lookup(entry), true
}

// safeFrom returns the time from which no lease of a lost limiter of the entry,
// or of an earlier process of this daemon, can be in use.
func (o *owners) safeFrom(entry string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	from := o.started.Add(o.settleFor)
	self := o.view.Self().Name
	for _, d := range o.departed {
		if rendezvous.New([]string{self, d.name}, xxhash.Sum64String).Lookup(entry) != d.name {
			continue
		}
		if end := d.at.Add(o.settleFor); end.After(from) {
			from = end
		}
	}
	return from
}
