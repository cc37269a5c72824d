// Package allowance keeps the token budgets of programs over a fleet whose daemons
// may fail at any time. Each program has a home, found by hash over the gateways,
// that decides about its turns.
//
// What a home knows is written to the record of its shard at the platform, for many
// turns at once, under the object's version: of two homes one learns that it was
// replaced. Package ledger says which turns need not wait for that.
//
// The same is written to the bridge, the journals of several instances with a disk,
// one more than may be lost at the same time, so that an outage of the platform
// stops nothing: the home goes on by the bridge alone, and if it dies, another one
// takes over by it. A home reads all but so many of the journals that the record
// names, so that it finds what the record lacks. Before it decides, it fences these
// journals, so that its predecessor can write nothing any more.
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
	methodExtend  = "allowance.extend"
	methodTake    = "allowance.take"
	methodHolder  = "allowance.holder"
	methodHolds   = "allowance.holds"
)

// Defaults of Config.
const (
	// DefaultShards bounds the calls to the platform: each shard has one record.
	DefaultShards = 1
	// DefaultReserveTimeout is the wait for a home before the next daemon is
	// asked to take its place: several times the way between regions and a
	// call to the platform.
	DefaultReserveTimeout = 200 * time.Millisecond
	// DefaultPendingAfter is the time after which a home says that its decision
	// takes longer, so that nobody takes it for dead.
	DefaultPendingAfter = 80 * time.Millisecond
	// DefaultReserveLimit bounds the whole search for a home that grants: less
	// than half of the time that callers usually wait.
	DefaultReserveLimit = 1200 * time.Millisecond
	// DefaultAskTimeout bounds a short question to another daemon: several times
	// the way between regions, with a sync.
	DefaultAskTimeout = 150 * time.Millisecond
	// DefaultFenceTimeout bounds the fencing of one journal, which answers with all
	// totals that it holds. With 3,000 programs and eight journals 150 ms were too
	// short on a fleet of 76 instances.
	DefaultFenceTimeout = 600 * time.Millisecond
	// DefaultFenceGrace is the wait for further journals once enough are fenced:
	// what the way between regions and a sync usually take. Others are fenced
	// later.
	DefaultFenceGrace = 40 * time.Millisecond
	// DefaultExtendTimeout bounds one write to a journal: a disk may be many times
	// slower than usual.
	DefaultExtendTimeout = 400 * time.Millisecond
	// DefaultRecordTimeout bounds one call to the platform about a record.
	DefaultRecordTimeout = time.Second
	// DefaultAcquireTimeout bounds the reading of a record in a takeover before
	// the bridge is looked for.
	DefaultAcquireTimeout = 250 * time.Millisecond
	// DefaultAcquireStagger is the time for which each daemon that comes first for
	// a shard is left to acquire it: what an acquisition takes.
	DefaultAcquireStagger = 100 * time.Millisecond
	// DefaultRecordInterval is the time between two writes of a record that no
	// turn waits for.
	DefaultRecordInterval = 500 * time.Millisecond
	// DefaultRecordGap is the shortest time between two writes of a record. Turns
	// run meanwhile; the first token of some waits for a part of it.
	DefaultRecordGap = 200 * time.Millisecond
	// DefaultIdleAfter is how long a program has had no turn when it is moved to
	// the idle part of the record, and DefaultIdleInterval the time between two
	// writes of that. Most programs run a turn each second.
	DefaultIdleAfter    = 3 * time.Second
	DefaultIdleInterval = 5 * time.Second
	// DefaultRecordRetry is the wait after a write that failed.
	DefaultRecordRetry = 150 * time.Millisecond
	// DefaultBridgeGap is the shortest time between two writes of a bridge.
	DefaultBridgeGap = 60 * time.Millisecond
	// DefaultBridgeAfter is how long a write of the record may take before turns
	// go on by the bridge alone: several times what it usually takes.
	DefaultBridgeAfter = 150 * time.Millisecond
	// DefaultStuckAfter is how long a home fails to write a bridge before it leaves
	// the shard to others.
	DefaultStuckAfter = 500 * time.Millisecond
	// DefaultUpkeepInterval is the time between two looks at the journals.
	DefaultUpkeepInterval = 500 * time.Millisecond
	// DefaultAdoptInterval is the time between two looks at whether the shards
	// that fall to a daemon have a home, in a fleet that does not change.
	DefaultAdoptInterval = 5 * time.Second
	// DefaultDropAfter is how long an instance with a journal is missing before
	// a record no longer names it.
	DefaultDropAfter = 3 * time.Second
	// DefaultStandAside is how long a home that was replaced sends requests to
	// the one that replaced it.
	DefaultStandAside = 10 * time.Second
	// DefaultJournalPatience is how long a shard stays without a home while more
	// journals than may be lost are out of reach: what platforms remember of
	// programs is usually forgotten by then.
	DefaultJournalPatience = 2 * time.Minute
)

// Config sets the times of the homes. Zero fields take their default. Shards and
// LostDisks are the same in the whole fleet.
type Config struct {
	Shards int
	// LostDisks is the number of disks that may be lost at the same time.
	LostDisks      int
	ReserveTimeout time.Duration
	PendingAfter   time.Duration
	ReserveLimit   time.Duration
	AskTimeout     time.Duration
	FenceTimeout   time.Duration
	FenceGrace     time.Duration
	ExtendTimeout  time.Duration
	RecordTimeout  time.Duration
	AcquireTimeout time.Duration
	AcquireStagger time.Duration
	RecordInterval time.Duration
	RecordGap      time.Duration
	IdleAfter      time.Duration
	IdleInterval   time.Duration
	RecordRetry    time.Duration
	BridgeGap      time.Duration
	BridgeAfter    time.Duration
	StuckAfter     time.Duration
	UpkeepInterval time.Duration
	AdoptInterval  time.Duration
	DropAfter      time.Duration
	StandAside     time.Duration
	// JournalPatience bounds the wait for journals that are out of reach.
	JournalPatience time.Duration
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.Shards, DefaultShards)
	defaults.Set(&c.ReserveTimeout, DefaultReserveTimeout)
	defaults.Set(&c.PendingAfter, DefaultPendingAfter)
	defaults.Set(&c.ReserveLimit, DefaultReserveLimit)
	defaults.Set(&c.AskTimeout, DefaultAskTimeout)
	defaults.Set(&c.FenceTimeout, DefaultFenceTimeout)
	defaults.Set(&c.FenceGrace, DefaultFenceGrace)
	defaults.Set(&c.ExtendTimeout, DefaultExtendTimeout)
	defaults.Set(&c.RecordTimeout, DefaultRecordTimeout)
	defaults.Set(&c.AcquireTimeout, DefaultAcquireTimeout)
	defaults.Set(&c.AcquireStagger, DefaultAcquireStagger)
	defaults.Set(&c.RecordInterval, DefaultRecordInterval)
	defaults.Set(&c.RecordGap, DefaultRecordGap)
	defaults.Set(&c.IdleAfter, DefaultIdleAfter)
	defaults.Set(&c.IdleInterval, DefaultIdleInterval)
	defaults.Set(&c.RecordRetry, DefaultRecordRetry)
	defaults.Set(&c.BridgeGap, DefaultBridgeGap)
	defaults.Set(&c.BridgeAfter, DefaultBridgeAfter)
	defaults.Set(&c.StuckAfter, DefaultStuckAfter)
	defaults.Set(&c.UpkeepInterval, DefaultUpkeepInterval)
	defaults.Set(&c.AdoptInterval, DefaultAdoptInterval)
	defaults.Set(&c.DropAfter, DefaultDropAfter)
	defaults.Set(&c.StandAside, DefaultStandAside)
	defaults.Set(&c.JournalPatience, DefaultJournalPatience)
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
	// Lookup returns a known daemon, a leaving one included.
	Lookup(name string) (structs.Instance, bool)
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
// follows. Ahead is a grant that has to be written down yet; the final decision
// follows. Home names the daemon to ask instead when the one that was asked is not the
// home.
type reserveReply struct {
	Granted bool   `msgpack:"g,omitempty"`
	Ahead   bool   `msgpack:"a,omitempty"`
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
	Held    journal.Fence   `msgpack:"h"`
	Before  journal.Fence   `msgpack:"f,omitempty"`
	Journal int64           `msgpack:"j,omitempty"`
	Bridge  journal.Replica `msgpack:"b,omitempty"`
}

// extendReply answers a write to a journal. Refused says that another fence, Held,
// is in force.
type extendReply struct {
	Refused bool          `msgpack:"r,omitempty"`
	Held    journal.Fence `msgpack:"h,omitempty"`
	Journal int64         `msgpack:"j,omitempty"`
}

// handover gives a shard to the next home, when a home leaves as planned.
type handover struct {
	Fence  journal.Fence         `msgpack:"f"`
	Totals []ledger.ProgramTotal `msgpack:"t,omitempty"`
	// Most is the largest turn on record, and Journals are those that the record
	// names for sure.
	Most     int        `msgpack:"m,omitempty"`
	Journals journalSet `msgpack:"j,omitempty"`
}

// holderReply tells the fence in force in a journal, and the bridge without covers.
type holderReply struct {
	Fence   journal.Fence   `msgpack:"f"`
	Bridge  journal.Replica `msgpack:"b"`
	Journal int64           `msgpack:"j"`
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
// shard (rendezvous hash). Those of which nothing but an entry in the platform's list
// is known come last: after a restart of the whole fleet they may not be up yet.
func ranked(live []structs.Instance, shard int) []string {
	listed := map[string]bool{}
	for _, instance := range live {
		listed[instance.Name] = instance.Incarnation == 0
	}
	names := byHash(live, shard)
	slices.SortStableFunc(names, func(a, b string) int {
		switch {
		case listed[a] == listed[b]:
			return 0
		case listed[a]:
			return 1
		default:
			return -1
		}
	})
	return names
}

// byHash returns the live gateways in the order of the hash alone.
func byHash(live []structs.Instance, shard int) []string {
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
