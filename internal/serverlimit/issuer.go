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
	// maxSpread limits the time over which the daemons that ask are spread. With a later answer they
	// would hear late that the limit has ended.
	maxSpread = 2 * time.Second
	// batchPeriod is the time for which a daemon may get permits at once, if the limit is high.
	batchPeriod = 400 * time.Millisecond
)

// purpose is what a takeRequest asks for.
type purpose uint8

const (
	// takePermits asks for permits.
	takePermits purpose = iota
	// chargePermit takes a permit for a request that is sent in any case.
	chargePermit
	// reportUnlimited says that the server has answered a later request without naming a limit.
	reportUnlimited
)

// takeRequest asks for permits for a run of a server, or passes on what the sender has heard of its
// limit.
type takeRequest struct {
	Purpose purpose `msgpack:"p,omitempty"`
	From    string  `msgpack:"f"`
	Run     run     `msgpack:"r"`
	// Region is that of the server.
	Region string `msgpack:"g"`
	// PerSecond is the limit that the sender has heard HeardAgo. With reportUnlimited, HeardAgo is
	// the age of the response without a limit.
	PerSecond float64       `msgpack:"l"`
	HeardAgo  time.Duration `msgpack:"h"`
}

// takeReply holds permits, or the time after which to ask again.
type takeReply struct {
	// NotIssuer is set by a daemon that does not issue permits for the run, or not yet.
	NotIssuer bool          `msgpack:"n,omitempty"`
	Granted   int           `msgpack:"g"`
	RetryIn   time.Duration `msgpack:"w"`
	// Ended says that the limit has ended since the sender heard of it.
	Ended bool `msgpack:"e,omitempty"`
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
	// unlimited is the number of later responses without a limit that daemons have reported, the last
	// one at unlimitedAt.
	unlimited   int
	unlimitedAt time.Time
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
	if r.Purpose == reportUnlimited {
		i.recordUnlimited(r, now)
		return takeReply{}
	}
	a := i.account(r, share, now)
	if a.unlimited >= endConfirmations {
		return takeReply{Ended: true}
	}
	if r.Purpose == chargePermit {
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
	if heardAt.After(a.unlimitedAt) {
		a.unlimited = 0
	}
	a.bucket.setRate(a.perSecond*share, now)
	return a
}

// recordUnlimited records that a response named no limit. Several daemons together confirm the end of
// a limit sooner than each of them could.
func (i *issuer) recordUnlimited(r takeRequest, now time.Time) {
	at := now.Add(-r.HeardAgo)
	if a := i.accounts[r.Run]; a != nil && at.After(a.heardAt) {
		a.unlimited++
		a.unlimitedAt = at
	}
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
	spread := min(interval*time.Duration(max(len(a.askers)-1, 0))/2, maxSpread)
	return a.bucket.untilNext(now) + rand.N(spread+1)
}

// retain drops the accounts of the runs for which keep returns false.
func (i *issuer) retain(keep func(run) bool) {
	maps.DeleteFunc(i.accounts, func(of run, _ *account) bool { return !keep(of) })
}
