package home

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"ibisline/internal/catalogue"
	"ibisline/internal/defaults"
	"ibisline/internal/dispatch"
	"ibisline/internal/journal"
	"ibisline/internal/member"
	"ibisline/internal/objectapi"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
)

// Config holds the settings of a home. Zero fields take defaults.
type Config struct {
	// Region and Shards (a count) define the shard identifiers that the upkeep claims
	// without a request.
	Region string
	Shards int
	// CommitInterval is the minimum time between two commits of a shard.
	CommitInterval time.Duration
	// QueueFor bounds the wait for a slot when the request has no deadline.
	QueueFor time.Duration
	// PredecessorTimeout bounds the wait of a turn for the turns before it.
	PredecessorTimeout time.Duration
	// OutageGrace is how long the platform must have accepted no writes before a
	// finished answer is delivered without being stored. The caller's copy then
	// replaces the durable one.
	OutageGrace time.Duration
	// WithdrawTimeout bounds the wait until the withdrawal of an intent is stored.
	WithdrawTimeout time.Duration
	// IntentTimeout bounds the wait until an intent is stored.
	IntentTimeout time.Duration
	// CallTimeout bounds a call that specifies no timeout.
	CallTimeout time.Duration
	// CallAttempts is the maximum number of sends of one repeatable call.
	CallAttempts int
	// DefaultMaxTokens is the output limit of a turn that specifies none.
	DefaultMaxTokens int
	// GrantTokens and GrantCalls are the minimum headroom of a budget grant.
	GrantTokens int
	GrantCalls  int
	// EndedRetention is how long the record of an ended program is kept, so that late
	// repeats of its calls are still recognised.
	EndedRetention time.Duration
	// UpkeepInterval is the interval of the upkeep, which claims shards, ends idle
	// programs and sends release orders.
	UpkeepInterval time.Duration
	// ClaimsPerRound bounds the claims started by one round of the upkeep.
	ClaimsPerRound int
	// HandoverMaxBusy is how long a shard that another home asks for may stay busy
	// before it admits no new work.
	HandoverMaxBusy time.Duration
	// HandoverTimeout bounds the write of a release. A request to the former holder
	// may take twice as long.
	HandoverTimeout time.Duration
	// Journal holds the other journal settings. Its WriteInterval is set
	// from CommitInterval.
	Journal journal.Config
}

// Default values of Config.
const (
	defaultQueueFor           = time.Minute
	defaultPredecessorTimeout = 2 * time.Second
	defaultOutageGrace        = 2 * time.Second
	defaultWithdrawTimeout    = 3 * time.Second
	defaultIntentTimeout      = 2 * time.Second
	defaultCallTimeout        = 30 * time.Second
	defaultCallAttempts       = 3
	defaultMaxTokensPerTurn   = 1024
	defaultGrantTokens        = 16384
	defaultGrantCalls         = 16
	defaultEndedRetention     = time.Hour
	defaultUpkeepInterval     = 250 * time.Millisecond
	defaultClaimsPerRound     = 8
	defaultHandoverMaxBusy    = 2 * time.Second
	defaultHandoverTimeout    = time.Second
	defaultShards             = 8
)

func (c Config) withDefaults() Config {
	defaults.Set(&c.Shards, defaultShards)
	defaults.Set(&c.QueueFor, defaultQueueFor)
	defaults.Set(&c.PredecessorTimeout, defaultPredecessorTimeout)
	defaults.Set(&c.OutageGrace, defaultOutageGrace)
	defaults.Set(&c.WithdrawTimeout, defaultWithdrawTimeout)
	defaults.Set(&c.IntentTimeout, defaultIntentTimeout)
	defaults.Set(&c.CallTimeout, defaultCallTimeout)
	defaults.Set(&c.CallAttempts, defaultCallAttempts)
	defaults.Set(&c.DefaultMaxTokens, defaultMaxTokensPerTurn)
	defaults.Set(&c.GrantTokens, defaultGrantTokens)
	defaults.Set(&c.GrantCalls, defaultGrantCalls)
	defaults.Set(&c.EndedRetention, defaultEndedRetention)
	defaults.Set(&c.UpkeepInterval, defaultUpkeepInterval)
	defaults.Set(&c.ClaimsPerRound, defaultClaimsPerRound)
	defaults.Set(&c.HandoverMaxBusy, defaultHandoverMaxBusy)
	defaults.Set(&c.HandoverTimeout, defaultHandoverTimeout)
	c.Journal.WriteInterval = c.CommitInterval
	return c
}

// Limiter enforces the limits of an entry across the fleet.
type Limiter interface {
	// Acquire waits until a request under entry may start, at most until
	// deadline. The caller must call release. Errors are *verdict.Error with
	// verdict NotRun.
	Acquire(ctx context.Context, entry structs.Entry, deadline time.Time) (release func(), err error)
}

// Deps are the services that a home depends on. Limits and Dialer may be nil.
type Deps struct {
	Self      string
	Store     objectapi.Store
	View      member.View
	Catalogue catalogue.Reader
	Router    dispatch.Router
	Sender    dispatch.Sender
	Limits    Limiter
	Dialer    peer.Dialer
	Metrics   *metrics.Set
	Log       log.Interface
}
