package dispatch

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"ibisline/internal/backend"
	"ibisline/internal/catalogue"
	"ibisline/internal/defaults"
	"ibisline/internal/member"
	"ibisline/internal/objectapi"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
)

// Values of Config.Queue, Config.Placement and Config.Window.
const (
	QueueFair           = "fair"
	QueueFIFO           = "fifo"
	PlacementEstimate   = "estimate"
	PlacementRoundRobin = "round_robin"
	WindowAdaptive      = "adaptive"
	WindowFixed         = "fixed"
)

// Config selects the policies and their limits. Zero values take defaults.
type Config struct {
	// Queue is "fair" or "fifo".
	Queue string
	// Placement is "estimate" or "round_robin".
	Placement string
	// Window is "adaptive" or "fixed".
	Window string
	// Stragglers enables the detection of slow engines and the moving of calls
	// without a first token.
	Stragglers bool
	// KVTransfer enables the transfer of KV cache between engines.
	KVTransfer bool
	// FixedWindow is the maximum number of requests in flight at an engine with
	// the fixed window, and the initial limit of the adaptive window.
	FixedWindow int
	// QueueLimit is the maximum number of requests waiting for one backend server.
	QueueLimit int
	// FirstTokenTarget and TokenGapTarget are the latency targets of the adaptive
	// window.
	FirstTokenTarget time.Duration
	TokenGapTarget   time.Duration
	// PollInterval is the time between load report requests to an engine.
	PollInterval time.Duration
	// StatusInterval is the time between status requests to other dispatchers.
	StatusInterval time.Duration
	// SweepInterval is the time between sweeps, which release the KV memory that
	// an engine holds for ended programs.
	SweepInterval time.Duration
	// PauseAllowance is the longest process pause after which this daemon may
	// still send an order that it prepared before the pause. A successor waits
	// this long before it sends orders to an engine that ignores fencing numbers.
	PauseAllowance time.Duration
}

const (
	defaultFixedWindow = 16
	// maxWindow is the upper limit of the adaptive window.
	maxWindow               = 512
	defaultQueueLimit       = 1000
	defaultFirstTokenTarget = 1100 * time.Millisecond
	defaultTokenGapTarget   = 47 * time.Millisecond
	defaultPollInterval     = time.Second
	defaultStatusInterval   = time.Second
	defaultSweepInterval    = 10 * time.Second
	defaultPauseAllowance   = 30 * time.Second
)

// withDefaults replaces zero values.
func (c Config) withDefaults() Config {
	defaults.Set(&c.Queue, QueueFair)
	defaults.Set(&c.Placement, PlacementEstimate)
	defaults.Set(&c.Window, WindowAdaptive)
	defaults.Set(&c.FixedWindow, defaultFixedWindow)
	defaults.Set(&c.QueueLimit, defaultQueueLimit)
	defaults.Set(&c.FirstTokenTarget, defaultFirstTokenTarget)
	defaults.Set(&c.TokenGapTarget, defaultTokenGapTarget)
	defaults.Set(&c.PollInterval, defaultPollInterval)
	defaults.Set(&c.StatusInterval, defaultStatusInterval)
	defaults.Set(&c.SweepInterval, defaultSweepInterval)
	defaults.Set(&c.PauseAllowance, defaultPauseAllowance)
	return c
}

// EngineClient is the client interface to model engines, implemented by
// *backend.Engines. Generate returns errors of type *verdict.Error.
type EngineClient interface {
	Generate(
		ctx context.Context, server structs.Server, request structs.GenerateRequest, emit func(text string) error,
	) (structs.GenerateResult, error)
	Load(ctx context.Context, server structs.Server) (backend.Load, error)
	ListKV(ctx context.Context, server structs.Server) (map[string]int, error)
	ImportKV(ctx context.Context, server structs.Server, program, from string) (int, error)
	ReleaseKV(ctx context.Context, server structs.Server, program string) error
	KVEvents(ctx context.Context, server structs.Server, after int64) (backend.KVEvents, error)
	SendOrder(ctx context.Context, server structs.Server, order backend.Order) error
	OrderState(ctx context.Context, server structs.Server) (backend.OrderState, error)
}

var (
	_ EngineClient = (*backend.Engines)(nil)
	_ Sender       = (*backend.Sender)(nil)
)

// Deps are the services that the dispatcher uses.
type Deps struct {
	// Self is the name of this daemon and Region its region.
	Self      string
	Region    string
	View      member.View
	Catalogue catalogue.Reader
	Dialer    peer.Dialer
	Mux       peer.Mux
	Engines   EngineClient
	Store     objectapi.Store
	Metrics   *metrics.Set
	Log       log.Interface
}
