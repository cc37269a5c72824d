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
	// Region and Shards name the shards that this home seeks out by itself.
	Region string
	Shards int
	// CommitInterval is the least time between two commits of a shard.
	CommitInterval time.Duration
	// QueueFor bounds the wait for a slot of a request without a deadline.
	QueueFor time.Duration
	// EarlyWait bounds the wait of a turn for the one before it.
	EarlyWait time.Duration
	// OutageGrace is how long the platform must have taken no writes before the
	// caller's copy of a finished answer stands in for the durable one.
	OutageGrace time.Duration
	// WithdrawFor bounds the wait for a withdrawal of an intent.
	WithdrawFor time.Duration
	// IntendFor bounds the wait until an intent is stored.
	IntendFor time.Duration
	// CallTimeout bounds a tool call that names no timeout.
	CallTimeout time.Duration
	// CallTries bounds the sends of one repeatable call.
	CallTries int
	// MaxTokens is the limit of a turn that names none.
	MaxTokens int
	// GrantTokens and GrantCalls are the least headroom of a budget grant.
	GrantTokens int
	GrantCalls  int
	// KeepEnded is how long the record of an ended program is kept, so that
	// late repeats of its calls are still recognised.
	KeepEnded time.Duration
	// Tick is the interval of the upkeep: claims, idle programs, releases.
	Tick time.Duration
	// ClaimRate bounds the claims of one upkeep round.
	ClaimRate int
	// HandoverBusy is how long a wanted shard may stay busy before it admits no
	// new work.
	HandoverBusy time.Duration
	// HandoverTimeout bounds the question to a former holder.
	HandoverTimeout time.Duration
	// Journal sets the remaining pace of the journals.
	Journal journal.Config
}

// Defaults of Config.
const (
	defaultQueueFor        = time.Minute
	defaultEarlyWait       = 2 * time.Second
	defaultOutageGrace     = 2 * time.Second
	defaultWithdrawFor     = 3 * time.Second
	defaultIntendFor       = 2 * time.Second
	defaultCallTimeout     = 30 * time.Second
	defaultCallTries       = 3
	defaultMaxTokens       = 1024
	defaultGrantTokens     = 16384
	defaultGrantCalls      = 16
	defaultKeepEnded       = time.Hour
	defaultTick            = 250 * time.Millisecond
	defaultClaimRate       = 8
	defaultHandoverBusy    = 2 * time.Second
	defaultHandoverTimeout = time.Second
	defaultShards          = 8
)

func (c Config) withDefaults() Config {
	defaults.Set(&c.Shards, defaultShards)
	defaults.Set(&c.QueueFor, defaultQueueFor)
	defaults.Set(&c.EarlyWait, defaultEarlyWait)
	defaults.Set(&c.OutageGrace, defaultOutageGrace)
	defaults.Set(&c.WithdrawFor, defaultWithdrawFor)
	defaults.Set(&c.IntendFor, defaultIntendFor)
	defaults.Set(&c.CallTimeout, defaultCallTimeout)
	defaults.Set(&c.CallTries, defaultCallTries)
	defaults.Set(&c.MaxTokens, defaultMaxTokens)
	defaults.Set(&c.GrantTokens, defaultGrantTokens)
	defaults.Set(&c.GrantCalls, defaultGrantCalls)
	defaults.Set(&c.KeepEnded, defaultKeepEnded)
	defaults.Set(&c.Tick, defaultTick)
	defaults.Set(&c.ClaimRate, defaultClaimRate)
	defaults.Set(&c.HandoverBusy, defaultHandoverBusy)
	defaults.Set(&c.HandoverTimeout, defaultHandoverTimeout)
	c.Journal.WriteInterval = c.CommitInterval
	return c
}

// Limiter holds the limits of an entry across the fleet.
type Limiter interface {
	// Acquire waits until a request under entry may start, at most until
	// deadline. The caller must call release. Errors are *verdict.Error with
	// verdict NotRun.
	Acquire(ctx context.Context, entry structs.Entry, deadline time.Time) (release func(), err error)
}

// Deps are the services that a home uses. Limits and Dialer may be nil.
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
