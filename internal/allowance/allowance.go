// Package allowance keeps the token budgets of programs over a fleet whose daemons
// may fail at any time. Each program has a home, found by hash over the gateways,
// that decides about its turns; see package ledger for what it promises and how.
//
// Before a home decides about a shard of programs it fences the journals of all
// keepers and takes over what is written there. Every total is appended to a journal
// before it is granted, so that a former home, however late it learns, can grant
// nothing more, and what it granted before is known.
//
// A total beyond a share of the budget is first written to a record at the platform,
// under the object's version, so that of two homes one learns that it was replaced.
// The records are for the loss of a journal: where one cannot be read, unknown
// programs are taken to have used the share that journals alone may cover, and go on
// with records. While all journals can be read, a takeover needs no platform.
package allowance

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibisline/internal/allowance/journal"
	"ibisline/internal/allowance/ledger"
	"ibisline/internal/defaults"
	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
)

// Methods between daemons.
const (
	methodReserve = "allowance.reserve"
	methodRelease = "allowance.release"
	methodFence   = "allowance.fence"
	methodAppend  = "allowance.append"
	methodTake    = "allowance.take"
	methodHolder  = "allowance.holder"
	methodHolds   = "allowance.holds"
)

// Defaults of Config.
const (
	DefaultShards = 16
	// DefaultReserveTimeout is the wait for a home before the next daemon is
	// asked to take its place: several times the way between regions and a
	// sync of a disk.
	DefaultReserveTimeout = 200 * time.Millisecond
	// DefaultPendingAfter is the time after which a home says that its decision
	// takes longer, so that nobody takes it for dead.
	DefaultPendingAfter = 80 * time.Millisecond
	// DefaultReserveLimit bounds the whole search for a home that grants: less
	// than half of the time that callers usually wait.
	DefaultReserveLimit = 1200 * time.Millisecond
	// DefaultFenceTimeout bounds the fencing of one journal.
	DefaultFenceTimeout = 150 * time.Millisecond
	// DefaultAppendTimeout is the wait for one journal before the next is asked.
	DefaultAppendTimeout = 80 * time.Millisecond
	// DefaultRecordTimeout bounds one write of a record to the platform.
	DefaultRecordTimeout = time.Second
	// DefaultRecordInterval is the shortest time between two records of a shard,
	// so that many programs share one call to the platform.
	DefaultRecordInterval = 150 * time.Millisecond
	// DefaultUpkeepInterval is the time between two looks at what has expired
	// and at journals that are not fenced yet.
	DefaultUpkeepInterval = 500 * time.Millisecond
	// DefaultRebaseAfter is how long a keeper is missing before its homes write
	// elsewhere what stands in its journal.
	DefaultRebaseAfter = 500 * time.Millisecond
	// DefaultLifetime is the least time for which programs are remembered.
	DefaultLifetime = time.Minute
	// DefaultStandAside is how long a home that was replaced sends requests to
	// the one that replaced it.
	DefaultStandAside = 10 * time.Second
)

// Config sets the times of the homes. Zero fields take their default. Shards is
// the same in the whole fleet.
type Config struct {
	Shards         int
	ReserveTimeout time.Duration
	PendingAfter   time.Duration
	RebaseAfter    time.Duration
	Lifetime       time.Duration
	ReserveLimit   time.Duration
	FenceTimeout   time.Duration
	AppendTimeout  time.Duration
	RecordTimeout  time.Duration
	RecordInterval time.Duration
	UpkeepInterval time.Duration
	StandAside     time.Duration
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.Shards, DefaultShards)
	defaults.Set(&c.ReserveTimeout, DefaultReserveTimeout)
	defaults.Set(&c.PendingAfter, DefaultPendingAfter)
	defaults.Set(&c.RebaseAfter, DefaultRebaseAfter)
	defaults.Set(&c.Lifetime, DefaultLifetime)
	defaults.Set(&c.ReserveLimit, DefaultReserveLimit)
	defaults.Set(&c.FenceTimeout, DefaultFenceTimeout)
	defaults.Set(&c.AppendTimeout, DefaultAppendTimeout)
	defaults.Set(&c.RecordTimeout, DefaultRecordTimeout)
	defaults.Set(&c.RecordInterval, DefaultRecordInterval)
	defaults.Set(&c.UpkeepInterval, DefaultUpkeepInterval)
	defaults.Set(&c.StandAside, DefaultStandAside)
	return c
}

// Store holds the records. Its errors are those of objectapi.Store.
type Store interface {
	Get(ctx context.Context, key string) (objectapi.Object, error)
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
}

// Fleet is what the homes need to know of the other daemons.
type Fleet interface {
	Self() structs.Instance
	// Live returns the daemons taken to be alive and not leaving.
	Live() []structs.Instance
	// Known returns all daemons, dead and leaving ones included.
	Known() []structs.Instance
	// Listed is true once the platform's list of daemons was read.
	Listed() bool
}

// reserveRequest asks a home for the tokens of a turn. Skipped names daemons that
// should have been asked and did not answer. Insist is set for a daemon to which
// another one has sent the request back: it is not to send it on again.
type reserveRequest struct {
	Reservation ledger.Reservation `msgpack:"r"`
	Skipped     []string           `msgpack:"s,omitempty"`
	Insist      bool               `msgpack:"i,omitempty"`
}

// reserveReply is a home's decision. Pending says that the decision takes longer and
// follows. Home names the daemon to ask instead when the
// one that was asked is not the home.
type reserveReply struct {
	Granted bool   `msgpack:"g,omitempty"`
	Spent   bool   `msgpack:"s,omitempty"`
	Pending bool   `msgpack:"p,omitempty"`
	Home    string `msgpack:"h,omitempty"`
}

// releaseRequest ends a reservation.
type releaseRequest struct {
	Program string `msgpack:"p"`
	ID      string `msgpack:"i"`
	Used    int    `msgpack:"u"`
}

// fenceReply answers the fencing of a shard in a journal. Held is the fence that
// stands, the asker's own if it was accepted, and Before the one that it replaced.
type fenceReply struct {
	Held   journal.Fence  `msgpack:"h"`
	Before journal.Fence  `msgpack:"f,omitempty"`
	Covers []ledger.Cover `msgpack:"c,omitempty"`
	// Born is the time since when the journal lacks nothing, 0 for always.
	Born int64 `msgpack:"b,omitempty"`
}

// appendRequest writes covers down. Refused in its reply says that another fence,
// Held, is in force.
type appendRequest struct {
	Fence  journal.Fence  `msgpack:"f"`
	Covers []ledger.Cover `msgpack:"c"`
}

type appendReply struct {
	Refused bool          `msgpack:"r,omitempty"`
	Held    journal.Fence `msgpack:"h,omitempty"`
}

// handover gives a shard to the next home, when a home leaves as planned. Complete
// says that Totals lacks no program, Basis names the journals in use.
type handover struct {
	Fence    journal.Fence    `msgpack:"f"`
	Totals   []ledger.Cover   `msgpack:"t,omitempty"`
	Complete bool             `msgpack:"c,omitempty"`
	Basis    map[string]int64 `msgpack:"b,omitempty"`
}

// shardRequest asks about a shard: a keeper for the fence in force, a home whether
// it decides.
type shardRequest struct {
	Shard int `msgpack:"s"`
}

// holdsReply says whether a home decides about a shard.
type holdsReply struct {
	Holds bool `msgpack:"h"`
}

// done is the reply to a message that needs none.
type done struct{}

// shardOf returns the shard of a program.
func (c Config) shardOf(program string) int {
	return int(xxhash.Sum64String(program) % uint64(c.Shards))
}

// ranked returns the live gateways in the order in which they are the home of a
// shard (rendezvous hash).
func ranked(live []structs.Instance, shard int) []string {
	type place struct {
		name string
		hash uint64
	}
	key := "/" + strconv.Itoa(shard)
	var places []place
	for _, instance := range live {
		if instance.Duty == structs.DutyGateway {
			places = append(places, place{name: instance.Name, hash: xxhash.Sum64String(instance.Name + key)})
		}
	}
	slices.SortFunc(places, func(a, b place) int { return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name)) })
	names := make([]string, len(places))
	for i, p := range places {
		names[i] = p.name
	}
	return names
}
