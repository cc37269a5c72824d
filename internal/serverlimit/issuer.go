package serverlimit

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// issueDelay is the time after its start for which a daemon issues no permits: it does not know
	// yet how many daemons there are.
	issueDelay = time.Second
	// askerMemory is the time for which a daemon counts as one that asks for permits of a run.
	askerMemory = time.Second
	// batchPeriod is the time for which a daemon may get permits at once, if the limit is high.
	batchPeriod = 400 * time.Millisecond
)

// takeRequest asks for permits for a run of a server, and passes on what the sender knows about
// its limit.
type takeRequest struct {
	From string `msgpack:"f"`
	Run  run    `msgpack:"r"`
	// Region is that of the server.
	Region string `msgpack:"g"`
	// PerSecond is the limit that the sender has heard HeardAgo.
	PerSecond float64       `msgpack:"l"`
	HeardAgo  time.Duration `msgpack:"h"`
	// Charge takes a permit for a request that is sent in any case.
	Charge bool `msgpack:"c,omitempty"`
}

// takeReply holds permits, or the time after which to ask again.
type takeReply struct {
	// NotIssuer is set by a daemon that does not issue permits for the run, or not yet.
	NotIssuer bool          `msgpack:"n,omitempty"`
	Granted   int           `msgpack:"g"`
	RetryIn   time.Duration `msgpack:"w"`
}

// issuer issues the permits of the runs that are assigned to this daemon. It is a state machine
// without I/O, and is not safe for concurrent use.
type issuer struct {
	startedAt time.Time
	accounts  map[run]*account
}

// account is the state of one run.
type account struct {
	bucket *bucket
	// perSecond is the newest limit that an asking daemon has heard, at heardAt.
	perSecond float64
	heardAt   time.Time
	// askers holds the daemons that have asked for permits, and when they did last.
	askers map[string]time.Time
}

func newIssuer(now time.Time) *issuer { return &issuer{startedAt: now, accounts: map[run]*account{}} }

// take answers a request for permits. share is the part of the limit that this daemon issues, and
// daemons the number of daemons that may ask.
func (i *issuer) take(r takeRequest, share float64, daemons int, now time.Time) takeReply {
	if now.Sub(i.startedAt) < issueDelay {
		return takeReply{NotIssuer: true}
	}
	a := i.account(r, share, now)
	if r.Charge {
		a.bucket.charge(now)
		return takeReply{}
	}
	a.recordAsker(r.From, now)
	if granted := a.bucket.take(batchOf(a.perSecond*share, daemons), now); granted > 0 {
		return takeReply{Granted: granted}
	}
	return takeReply{RetryIn: a.retryIn(now)}
}

// batchOf returns the number of permits that one daemon gets at once, so that those which are not
// used make up a small part of the limit.
func batchOf(perSecond float64, daemons int) int {
	return max(1, int(perSecond*batchPeriod.Seconds()/float64(max(daemons, 1))))
}

// account returns the account of a run with the newest limit applied.
func (i *issuer) account(r takeRequest, share float64, now time.Time) *account {
	heardAt := now.Add(-r.HeardAgo)
	a := i.accounts[r.Run]
	if a == nil {
		a = &account{perSecond: clampRate(r.PerSecond), heardAt: heardAt, askers: map[string]time.Time{}}
		a.bucket = newBucket(a.perSecond*share, now)
		i.accounts[r.Run] = a
	}
	if heardAt.After(a.heardAt) {
		a.perSecond, a.heardAt = clampRate(r.PerSecond), heardAt
	}
	a.bucket.setRate(a.perSecond*share, now)
	return a
}

func (a *account) recordAsker(daemon string, now time.Time) {
	a.askers[daemon] = now
	for name, askedAt := range a.askers {
		if now.Sub(askedAt) > askerMemory {
			delete(a.askers, name)
		}
	}
}

// retryIn returns the time after which a daemon should ask again. The daemons that ask are spread
// over the intervals in which they get one permit each.
func (a *account) retryIn(now time.Time) time.Duration {
	interval := time.Duration(float64(time.Second) / float64(a.bucket.limiter.Limit()))
	return a.bucket.untilNext(now) + rand.N(interval*time.Duration(max(len(a.askers)-1, 0))+1)/2
}

// retain drops the accounts of the runs for which keep returns false.
func (i *issuer) retain(keep func(run) bool) {
	maps.DeleteFunc(i.accounts, func(of run, _ *account) bool { return !keep(of) })
}
