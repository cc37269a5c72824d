package history

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/go-faster/errors"

	"ibisline/internal/history/turnlog"
	"ibisline/internal/member"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/timers"
	"ibisline/internal/verdict"
)

// Config holds the settings of kept conversations, on which all daemons must agree.
type Config struct {
	// LostDisks is the number of keepers whose disks may be lost at the same time.
	LostDisks int
}

// copies is the number of keepers that store each turn.
func (c Config) copies() int { return c.LostDisks + 1 }

// ListDaemons reads the platform's list of all daemons that have ever started, gone ones included.
type ListDaemons func(ctx context.Context) ([]structs.Instance, error)

// KeeperDeps are the dependencies of a Keeper.
type KeeperDeps struct {
	Log    *turnlog.Log
	View   member.View
	Dialer peer.Dialer
	Mux    peer.Mux
	// Registered reports whether the platform's list contains this daemon. Before, others may not
	// know that it may hold turns.
	Registered func() bool
	// Newcomer reports whether the platform's list did not contain this daemon before it started, so
	// that it cannot have lost turns.
	Newcomer    func() bool
	ListDaemons ListDaemons
	// Retention returns the longest time for which turns are kept after they were stored, 0 while that is not known.
	Retention func() time.Duration
	Metrics   *metrics.Set
	Logger    log.Interface
}

// Keeper serves the turns on the disk of one instance to the gateways. It restores them from the
// other keepers if its disk was replaced. It is a kernel service.
type Keeper struct {
	KeeperDeps
	config Config
	// retiring is set once the instance is being emptied, evacuated once nothing depends on it.
	retiring  atomic.Bool
	evacuated atomic.Bool
	// copying holds a token that is taken while turns are restored or evacuated. It guards restoredFrom, the
	// keepers whose turns were restored, and silentSince, the times since which keepers do not answer.
	copying      chan struct{}
	restoredFrom []string
	silentSince  map[string]time.Time
	// waiting is why turns are not copied yet, empty if none are to be copied.
	waiting atomic.Pointer[string]
	// appending is the number of appends in progress.
	appending atomic.Int32
	appended  *metrics.Counter
	refused   *metrics.Counter
	restored  *metrics.Counter
}

// NewKeeper returns the keeper of a log of turns and registers its methods.
func NewKeeper(config Config, deps KeeperDeps) *Keeper {
	k := &Keeper{
		KeeperDeps: deps, config: config, copying: make(chan struct{}, 1), silentSince: map[string]time.Time{},
		appended: deps.Metrics.GetOrCreateCounter("ibisline_history_turns_appended_total"),
		refused:  deps.Metrics.GetOrCreateCounter("ibisline_history_appends_refused_total"),
		restored: deps.Metrics.GetOrCreateCounter("ibisline_history_turns_restored_total"),
	}
	deps.Metrics.GetOrCreateGauge("ibisline_history_turns_held", func() float64 {
		turns, _ := deps.Log.Size()
		return float64(turns)
	})
	deps.Metrics.GetOrCreateGauge("ibisline_history_disk_bytes", func() float64 {
		_, bytes := deps.Log.Size()
		return float64(bytes)
	})
	deps.Mux.Handle(methodAppend, k.serveAppend)
	deps.Mux.Handle(methodChain, k.serveChain)
	deps.Mux.Handle(methodEntries, k.serveEntries)
	return k
}

const (
	// collectInterval is the time between two removals of expired turns.
	collectInterval = 2 * time.Second
	// copyInterval is the time between two attempts to restore or evacuate turns.
	copyInterval = 300 * time.Millisecond
)

// Run restores lost turns, evacuates a retiring instance and removes expired turns until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	collecting := make(chan struct{})
	go func() {
		defer close(collecting)
		for timers.Sleep(ctx, collectInterval) {
			if err := k.Log.Collect(time.Now()); err != nil {
				k.Logger.WithError(err).Error("expired turns not removed")
			}
		}
	}()
	for ctx.Err() == nil {
		k.copyTurns(ctx)
		timers.Sleep(ctx, copyInterval)
	}
	<-collecting
	return k.Log.Close()
}

// Retire makes the keeper refuse new turns and copy what it holds to the other keepers.
func (k *Keeper) Retire() { k.retiring.Store(true) }

// Evacuated reports whether the other keepers hold enough copies of all turns, so that the disk of
// a retiring instance is not needed any more. It asks them again, as they may have lost some since turns were
// copied to them.
func (k *Keeper) Evacuated(ctx context.Context) (bool, error) {
	if !k.evacuated.Load() {
		return false, nil
	}
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case k.copying <- struct{}{}:
	}
	defer func() { <-k.copying }()
	k.evacuated.Store(false)
	err := k.evacuate(ctx)
	return k.evacuated.Load(), err
}

// KeeperState is the diagnostic dump of a Keeper.
type KeeperState struct {
	Turns     int   `json:"turns"`
	DiskBytes int64 `json:"disk_bytes"`
	Complete  bool  `json:"complete"`
	Retiring  bool  `json:"retiring"`
	Evacuated bool  `json:"evacuated"`
	// Waiting says why turns that are to be restored or evacuated are not copied yet.
	Waiting string `json:"waiting,omitempty"`
}

// Dump returns a KeeperState.
func (k *Keeper) Dump() any {
	turns, bytes := k.Log.Size()
	state := KeeperState{
		Turns: turns, DiskBytes: bytes, Complete: k.Log.Complete(), Retiring: k.retiring.Load(), Evacuated: k.evacuated.Load(),
	}
	if waiting := k.waiting.Load(); waiting != nil {
		state.Waiting = *waiting
	}
	return state
}

// TurnInfo describes a turn that is held, without its content.
type TurnInfo struct {
	ID          string    `json:"id"`
	Previous    string    `json:"previous,omitempty"`
	InputBytes  int       `json:"input_bytes"`
	OutputBytes int       `json:"output_bytes"`
	Expires     time.Time `json:"expires"`
}

// ChainInfo describes a turn and all turns before it, oldest first. It has no turns if the turn is not
// held.
type ChainInfo struct {
	Turns []TurnInfo `json:"turns"`
	// Complete is set if the keeper holds everything that it should.
	Complete bool `json:"complete"`
}

// Describe returns a description of a turn and of all turns before it.
func (k *Keeper) Describe(id string) (ChainInfo, error) {
	info := ChainInfo{Turns: []TurnInfo{}, Complete: k.Log.Complete()}
	turns, err := k.Log.Chain(id)
	if err != nil && !errors.Is(err, turnlog.ErrNotFound) {
		return info, err
	}
	for _, t := range turns {
		info.Turns = append(info.Turns, TurnInfo{
			ID: t.ID, Previous: t.Previous, InputBytes: len(t.Input), OutputBytes: len(t.Output), Expires: time.UnixMilli(t.Expires),
		})
	}
	return info, nil
}

func (k *Keeper) serveAppend(_ context.Context, s peer.Stream) error {
	var request appendRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	// Counted before retiring is read: evacuate sees either the append or its turns.
	k.appending.Add(1)
	defer k.appending.Add(-1)
	if k.retiring.Load() || !k.listed() {
		k.refused.Inc()
		return verdict.Refuse(verdict.Stopping, "the keeper takes no turns")
	}
	err := k.Log.Append(request.Turns)
	switch {
	case errors.Is(err, turnlog.ErrUnknownPrevious):
		return s.Send(appendReply{UnknownPrevious: true})
	case err != nil:
		k.refused.Inc()
		k.Logger.WithError(err).Error("turn not written to disk")
		return err
	}
	k.appended.Inc()
	return s.Send(appendReply{})
}

// listed reports whether the platform's list contains this daemon. Once it has, it does, also while the
// platform is out.
func (k *Keeper) listed() bool {
	if k.Log.Listed() {
		return true
	}
	if !k.Registered() {
		return false
	}
	if err := k.Log.MarkListed(); err != nil {
		k.Logger.WithError(err).Error("listing of this keeper not recorded on disk")
	}
	return true
}

func (k *Keeper) serveChain(_ context.Context, s peer.Stream) error {
	var request chainRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	// Read before the turn is looked up: a turn that is restored meanwhile must not look absent.
	complete := k.Log.Complete()
	turns, err := k.Log.Chain(request.ID)
	if err != nil && !errors.Is(err, turnlog.ErrNotFound) {
		k.Logger.WithError(err).WithField("turn", request.ID).Error("turn not read from disk")
		return err
	}
	return s.Send(chainReply{Turns: turns, Complete: complete})
}

func (k *Keeper) serveEntries(_ context.Context, s peer.Stream) error {
	var request entriesRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	// Read before the turns are listed: what is restored or appended meanwhile may be missing from the list.
	reply := entriesReply{Complete: k.Log.Complete(), Retiring: k.retiring.Load()}
	if !request.StateOnly {
		reply.Entries = k.Log.Entries(time.Now())
	}
	return s.Send(reply)
}
