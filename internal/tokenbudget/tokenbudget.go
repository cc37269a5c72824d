// Package tokenbudget keeps the token budgets of programs in a fleet whose daemons may fail at
// any time. Each program belongs to a shard, and each shard has a home, a gateway chosen by
// rendezvous hash, that decides about the turns of its programs.
//
// A home stores the totals of its shard in a checkpoint, an object at the platform, every few
// seconds. A write is conditional on the object's version, so that of two competing homes one
// learns that it was replaced. Until the next checkpoint a quorum of journals holds what is
// newer: the home writes it to one more instance with a disk than may be lost at the same
// time. One write covers many turns, and package ledger defines which turns may run before it.
//
// A new home reads all but the allowed losses of the journals that the checkpoint lists, so
// that it finds everything newer than the checkpoint. Before it decides, it fences these
// journals, so that its predecessor can write nothing more. During an outage of the platform
// it takes over from the journals alone.
package tokenbudget

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibisline/internal/defaults"
	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
	"ibisline/internal/tokenbudget/journal"
	"ibisline/internal/tokenbudget/ledger"
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
	// DefaultShards limits what the loss of one home interrupts to an eighth of the programs,
	// and spreads the decisions over that many instances. Each shard writes checkpoints of its own.
	DefaultShards = 8
	// DefaultReserveTimeout is the wait for a home before the next daemon is asked to
	// replace it: several times the latency between regions plus a call to the platform.
	DefaultReserveTimeout = 200 * time.Millisecond
	// DefaultPendingAfter is the time after which a home sends a pending reply, so that a
	// client doesn't take it for dead while it still decides.
	DefaultPendingAfter = 80 * time.Millisecond
	// DefaultReserveLimit limits the whole search for a home that grants: less than half of
	// the usual timeout of callers.
	DefaultReserveLimit = 1200 * time.Millisecond
	// DefaultQueryTimeout limits a short request to another daemon: several times the
	// latency between regions plus a disk sync.
	DefaultQueryTimeout = 150 * time.Millisecond
	// DefaultSilenceLimit is how long a home may neither answer nor store decisions before
	// another daemon replaces it: three queries, within the time that callers wait.
	DefaultSilenceLimit = 450 * time.Millisecond
	// DefaultClaimLimit is the same for a home that has claimed the shard and not stored
	// anything yet: the duration of a takeover on a busy instance, within the time that callers wait.
	DefaultClaimLimit = 800 * time.Millisecond
	// DefaultFenceTimeout limits the fencing of one journal, which answers with all totals
	// that it holds. 150 ms were too short with 3,000 programs and eight journals in a fleet
	// of 76 instances.
	DefaultFenceTimeout = 600 * time.Millisecond
	// DefaultFenceGrace is the wait for further journals once enough are fenced: the usual
	// latency between regions plus a disk sync. The remaining ones are fenced later.
	DefaultFenceGrace = 40 * time.Millisecond
	// DefaultJournalWriteTimeout limits one write to a journal. It allows for a disk that is
	// many times slower than usual.
	DefaultJournalWriteTimeout = 400 * time.Millisecond
	// DefaultReplicaWriteTimeout is the same for a write of a complete replica, and
	// DefaultReplicaWriteStagger the wait for a journal before a further one gets it.
	DefaultReplicaWriteTimeout = 1200 * time.Millisecond
	DefaultReplicaWriteStagger = 200 * time.Millisecond
	// DefaultCheckpointTimeout limits one call to the platform that reads or writes a
	// checkpoint.
	DefaultCheckpointTimeout = time.Second
	// DefaultCheckpointReadTimeout limits the first read of a checkpoint in a takeover,
	// before the journals are tried instead.
	DefaultCheckpointReadTimeout = 250 * time.Millisecond
	// DefaultAcquireStagger is the delay per daemon that precedes this one in a shard's
	// order: the usual duration of an acquisition.
	DefaultAcquireStagger = 100 * time.Millisecond
	// DefaultCheckpointInterval is the time between two checkpoints that no turn waits for. A
	// new home reads from the journals what is newer.
	DefaultCheckpointInterval = 4 * time.Second
	// DefaultCheckpointMinGap is the shortest time between two checkpoints. Where turns wait
	// for them, they run meanwhile, but hold back their first token.
	DefaultCheckpointMinGap = 200 * time.Millisecond
	// DefaultReplicaInterval is the time between two writes to the journals that no turn waits
	// for.
	DefaultReplicaInterval = 500 * time.Millisecond
	// DefaultIdleAfter is how long a program has had no turn before it moves to the idle
	// checkpoint, and DefaultIdleCheckpointInterval the time between two writes of the idle
	// checkpoint. Most programs run a turn each second.
	DefaultIdleAfter              = 3 * time.Second
	DefaultIdleCheckpointInterval = 10 * time.Second
	// DefaultCheckpointRetryDelay is the wait after a failed checkpoint write.
	DefaultCheckpointRetryDelay = 150 * time.Millisecond
	// DefaultJournalWriteMinGap is the shortest time between two writes to the journals.
	DefaultJournalWriteMinGap = 60 * time.Millisecond
	// DefaultHandOverAfter is how long a home may fail to write to a quorum of journals
	// before it hands the shard over to another daemon.
	DefaultHandOverAfter = 500 * time.Millisecond
	// DefaultStallLimit is how long writes to the journals may fail although enough of them
	// answer queries: several writes of a complete replica.
	DefaultStallLimit = 3 * time.Second
	// DefaultMaintenanceInterval is the time between two checks of the journals.
	DefaultMaintenanceInterval = 500 * time.Millisecond
	// DefaultOrphanCheckInterval is the time between two checks, in an unchanged fleet, that
	// every shard assigned to this daemon has a home.
	DefaultOrphanCheckInterval = 5 * time.Second
	// DefaultJournalDropAfter is how long an instance with a journal may be missing before
	// checkpoints stop listing it.
	DefaultJournalDropAfter = 3 * time.Second
	// DefaultReleaseWait is the time after a takeover for which the ends of turns may still arrive from the
	// gateways that have run them: several attempts to reach the new home.
	DefaultReleaseWait = 3 * time.Second
	// DefaultReleaseLimit is how long a gateway tries to deliver the end of a turn, and
	// DefaultReleaseTimeout the limit of one attempt, which waits until the end is stored.
	DefaultReleaseLimit   = time.Minute
	DefaultReleaseTimeout = 2 * time.Second
	// DefaultRedirectDuration is how long a replaced home redirects requests to its
	// successor.
	DefaultRedirectDuration = 10 * time.Second
	// DefaultJournalWaitLimit is how long a shard stays without a home while more journals
	// than may be lost are unreachable. Platforms have usually forgotten the programs by
	// then.
	DefaultJournalWaitLimit = 2 * time.Minute
)

// Config configures the homes. Zero fields take their default, except LostDisks. Shards and
// LostDisks must be the same in the whole fleet.
type Config struct {
	Shards int
	// LostDisks is the number of disks that may be lost at the same time.
	LostDisks              int
	ReserveTimeout         time.Duration
	PendingAfter           time.Duration
	ReserveLimit           time.Duration
	QueryTimeout           time.Duration
	SilenceLimit           time.Duration
	ClaimLimit             time.Duration
	FenceTimeout           time.Duration
	FenceGrace             time.Duration
	JournalWriteTimeout    time.Duration
	ReplicaWriteTimeout    time.Duration
	ReplicaWriteStagger    time.Duration
	CheckpointTimeout      time.Duration
	CheckpointReadTimeout  time.Duration
	AcquireStagger         time.Duration
	CheckpointInterval     time.Duration
	CheckpointMinGap       time.Duration
	IdleAfter              time.Duration
	IdleCheckpointInterval time.Duration
	CheckpointRetryDelay   time.Duration
	JournalWriteMinGap     time.Duration
	ReplicaInterval        time.Duration
	HandOverAfter          time.Duration
	StallLimit             time.Duration
	MaintenanceInterval    time.Duration
	OrphanCheckInterval    time.Duration
	JournalDropAfter       time.Duration
	ReleaseWait            time.Duration
	ReleaseLimit           time.Duration
	ReleaseTimeout         time.Duration
	RedirectDuration       time.Duration
	// JournalWaitLimit limits the wait for unreachable journals.
	JournalWaitLimit time.Duration
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.Shards, DefaultShards)
	defaults.Set(&c.ReserveTimeout, DefaultReserveTimeout)
	defaults.Set(&c.PendingAfter, DefaultPendingAfter)
	defaults.Set(&c.ReserveLimit, DefaultReserveLimit)
	defaults.Set(&c.QueryTimeout, DefaultQueryTimeout)
	defaults.Set(&c.SilenceLimit, DefaultSilenceLimit)
	defaults.Set(&c.ClaimLimit, DefaultClaimLimit)
	defaults.Set(&c.FenceTimeout, DefaultFenceTimeout)
	defaults.Set(&c.FenceGrace, DefaultFenceGrace)
	defaults.Set(&c.JournalWriteTimeout, DefaultJournalWriteTimeout)
	defaults.Set(&c.ReplicaWriteTimeout, DefaultReplicaWriteTimeout)
	defaults.Set(&c.ReplicaWriteStagger, DefaultReplicaWriteStagger)
	defaults.Set(&c.CheckpointTimeout, DefaultCheckpointTimeout)
	defaults.Set(&c.CheckpointReadTimeout, DefaultCheckpointReadTimeout)
	defaults.Set(&c.AcquireStagger, DefaultAcquireStagger)
	defaults.Set(&c.CheckpointInterval, DefaultCheckpointInterval)
	defaults.Set(&c.CheckpointMinGap, DefaultCheckpointMinGap)
	defaults.Set(&c.IdleAfter, DefaultIdleAfter)
	defaults.Set(&c.IdleCheckpointInterval, DefaultIdleCheckpointInterval)
	defaults.Set(&c.CheckpointRetryDelay, DefaultCheckpointRetryDelay)
	defaults.Set(&c.JournalWriteMinGap, DefaultJournalWriteMinGap)
	defaults.Set(&c.ReplicaInterval, DefaultReplicaInterval)
	defaults.Set(&c.HandOverAfter, DefaultHandOverAfter)
	defaults.Set(&c.StallLimit, DefaultStallLimit)
	defaults.Set(&c.MaintenanceInterval, DefaultMaintenanceInterval)
	defaults.Set(&c.OrphanCheckInterval, DefaultOrphanCheckInterval)
	defaults.Set(&c.JournalDropAfter, DefaultJournalDropAfter)
	defaults.Set(&c.ReleaseWait, DefaultReleaseWait)
	defaults.Set(&c.ReleaseLimit, DefaultReleaseLimit)
	defaults.Set(&c.ReleaseTimeout, DefaultReleaseTimeout)
	defaults.Set(&c.RedirectDuration, DefaultRedirectDuration)
	defaults.Set(&c.JournalWaitLimit, DefaultJournalWaitLimit)
	return c
}

// Store holds the checkpoints. Its errors are those of objectapi.Store.
type Store interface {
	Get(ctx context.Context, key string) (objectapi.Object, error)
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
}

// Fleet is the homes' view of the other daemons.
type Fleet interface {
	Self() structs.Instance
	// Live returns the daemons considered alive and not leaving.
	Live() []structs.Instance
	// Reachable returns the daemons not considered dead, leaving ones included.
	Reachable() []structs.Instance
	// Lookup returns a known daemon, including a leaving one.
	Lookup(name string) (structs.Instance, bool)
	// Listed reports whether the platform's list of daemons has been read.
	Listed() bool
}

// reserveRequest asks a home for the tokens of a turn. Skipped lists daemons that precede
// the receiver and did not answer. NoRedirect forbids a further redirect: another daemon has
// already redirected the request back to the receiver.
type reserveRequest struct {
	Reservation ledger.Reservation `msgpack:"r"`
	Skipped     []string           `msgpack:"s,omitempty"`
	NoRedirect  bool               `msgpack:"i,omitempty"`
}

// reserveReply is a home's decision. InDoubt means that the home cannot tell yet whether the budget is spent.
// Pending means that the decision takes longer and
// follows. Provisional is a grant whose total is not durable yet; the final decision
// follows. Home names the daemon to ask instead if the receiver is not the home, and Leaving
// is set if the receiver is leaving and will not become the home.
type reserveReply struct {
	Granted     bool   `msgpack:"g,omitempty"`
	Provisional bool   `msgpack:"a,omitempty"`
	Spent       bool   `msgpack:"s,omitempty"`
	InDoubt     bool   `msgpack:"d,omitempty"`
	Pending     bool   `msgpack:"p,omitempty"`
	Home        string `msgpack:"h,omitempty"`
	Leaving     bool   `msgpack:"l,omitempty"`
}

// fenceRequest fences a shard in a journal. The reply omits the totals that Known covers.
type fenceRequest struct {
	journal.Fence `msgpack:",inline"`
	Known         journal.Known `msgpack:"k"`
}

// fenceReply answers the fencing of a shard in a journal. Held is the fence in force, which
// is the caller's own if it was accepted, and Previous the one that it replaced.
type fenceReply struct {
	Held     journal.Fence   `msgpack:"h"`
	Previous journal.Fence   `msgpack:"f,omitempty"`
	Journal  int64           `msgpack:"j,omitempty"`
	Replica  journal.Replica `msgpack:"b,omitempty"`
}

// extendReply answers a write to a journal. Refused is set if another fence, Held, is in
// force.
type extendReply struct {
	Refused bool          `msgpack:"r,omitempty"`
	Held    journal.Fence `msgpack:"h,omitempty"`
	Journal int64         `msgpack:"j,omitempty"`
}

// handover transfers a shard to the next home in a planned stop.
type handover struct {
	Fence  journal.Fence         `msgpack:"f"`
	Totals []ledger.ProgramTotal `msgpack:"t,omitempty"`
	// Journals are those that the checkpoint lists, nil if a checkpoint write is in doubt.
	Journals journalSet `msgpack:"j,omitempty"`
}

// holderReply holds the fence in force in a journal, and the replica without its totals.
type holderReply struct {
	Fence   journal.Fence   `msgpack:"f"`
	Replica journal.Replica `msgpack:"b"`
	Journal int64           `msgpack:"j"`
}

// shardRequest asks a keeper for the fence in force in a shard, or a home whether it decides
// about the shard.
type shardRequest struct {
	Shard int `msgpack:"s"`
}

// holdsReply reports whether a daemon decides about a shard, or to which one it is handing
// the shard over.
type holdsReply struct {
	Holds     bool   `msgpack:"h"`
	Successor string `msgpack:"s,omitempty"`
}

// empty is the reply to a request without a result.
type empty struct{}

// shardOf returns the shard of a program.
func (c Config) shardOf(program string) int {
	return int(xxhash.Sum64String(program) % uint64(c.Shards))
}

// rankHomes returns the live gateways in the order in which they become the home of a shard
// (rendezvous hash). Gateways known only from the platform's list come last: after a restart
// of the whole fleet they may not be up yet.
func rankHomes(live []structs.Instance, shard int) []string {
	onlyListed := map[string]bool{}
	for _, instance := range live {
		onlyListed[instance.Name] = instance.Incarnation == 0
	}
	names := rankByHash(live, shard)
	slices.SortStableFunc(names, func(a, b string) int {
		switch {
		case onlyListed[a] == onlyListed[b]:
			return 0
		case onlyListed[a]:
			return 1
		default:
			return -1
		}
	})
	return names
}

// rankByHash returns the live gateways in rendezvous hash order.
func rankByHash(live []structs.Instance, shard int) []string {
	type candidate struct {
		name string
		hash uint64
	}
	key := "/" + strconv.Itoa(shard)
	var candidates []candidate
	for _, instance := range live {
		if instance.Duty == structs.DutyGateway {
			candidates = append(candidates, candidate{name: instance.Name, hash: xxhash.Sum64String(instance.Name + key)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(candidates))
	for i, c := range candidates {
		names[i] = c.name
	}
	return names
}
