package tokenbudget

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/timers"
	"ibisline/internal/tokenbudget/ledger"
	"ibisline/internal/verdict"
)

// Home decides about the budgets of the shards assigned to this daemon. It is a kernel
// service.
type Home struct {
	config Config
	fleet  Fleet
	dialer peer.Dialer
	store  Store
	logger log.Interface

	// ctx is cancelled to stop the writers of all shards.
	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup

	// checkedFleet is the list of live daemons at the last check that found a home for every
	// shard assigned to this daemon.
	checkedFleet []structs.Instance
	checkedAt    time.Time
	// leaving is set once this daemon hands its shards over in a planned stop.
	leaving atomic.Bool
	// orphaned is set when a shard may be without a home.
	orphaned atomic.Bool

	// releasing is the number of goroutines that deliver ends of turns, and undelivered that of the ends.
	releasing   atomic.Int64
	undelivered atomic.Int64

	mu     sync.Mutex
	ended  bool
	shards map[int]*shard

	granted       *metrics.Counter
	spent         *metrics.Counter
	inDoubt       *metrics.Counter
	takeovers     *metrics.Counter
	checkpoints   *metrics.Counter
	replicaWrites *metrics.Counter
	shardsLost    *metrics.Counter
}

// NewHome returns a Home without shards and registers its methods with mux.
func NewHome(
	config Config, fleet Fleet, dialer peer.Dialer, mux peer.Mux, store Store, set *metrics.Set, logger log.Interface,
) *Home {
	ctx, stop := context.WithCancel(context.Background())
	h := &Home{
		config:        config.withDefaults(),
		fleet:         fleet,
		dialer:        dialer,
		store:         store,
		logger:        logger,
		ctx:           ctx,
		stop:          stop,
		shards:        map[int]*shard{},
		granted:       set.GetOrCreateCounter(`ibisline_allowance_decisions_total{decision="granted"}`),
		spent:         set.GetOrCreateCounter(`ibisline_allowance_decisions_total{decision="spent"}`),
		inDoubt:       set.GetOrCreateCounter(`ibisline_allowance_decisions_total{decision="in_doubt"}`),
		takeovers:     set.GetOrCreateCounter("ibisline_allowance_takeovers_total"),
		checkpoints:   set.GetOrCreateCounter("ibisline_allowance_records_total"),
		replicaWrites: set.GetOrCreateCounter("ibisline_allowance_bridge_writes_total"),
		shardsLost:    set.GetOrCreateCounter("ibisline_allowance_shards_lost_total"),
	}
	set.GetOrCreateGauge("ibisline_allowance_undelivered_ends", func() float64 { return float64(h.Undelivered()) })
	mux.Handle(methodReserve, h.serveReserve)
	mux.Handle(methodRelease, h.serveRelease)
	mux.Handle(methodTake, h.serveTake)
	mux.Handle(methodHolds, h.serveHolds)
	return h
}

// Run maintains the shards until ctx ends, then waits for their writers.
func (h *Home) Run(ctx context.Context) error {
	ticker := timers.NewTicker(h.config.MaintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			h.shutDown()
			return nil
		case <-ticker.C:
		}
		for _, s := range h.knownShards() {
			if s.holds() {
				s.maintainJournals(ctx)
			}
		}
		h.acquireOrphans(ctx)
	}
}

// acquireOrphans takes over the shards assigned to this daemon that no live daemon decides
// about. It runs when the fleet has changed and every OrphanCheckInterval: a shard without a
// home would not track journals that join or leave.
func (h *Home) acquireOrphans(ctx context.Context) {
	live, now := h.fleet.Live(), time.Now()
	unchanged := !h.orphaned.Swap(false) && slices.Equal(live, h.checkedFleet) &&
		now.Sub(h.checkedAt) < h.config.OrphanCheckInterval
	if !h.fleet.Listed() || unchanged || h.leaving.Load() {
		return
	}
	self := h.fleet.Self().Name
	allHeld := true
	for number := range h.config.Shards {
		if names := rankHomes(live, number); len(names) == 0 || names[0] != self {
			continue
		}
		s := h.shard(number)
		if s.holds() || s.successorHolds(ctx, now) {
			continue
		}
		if _, err := s.ensureHeld(ctx, nil); err != nil {
			allHeld = false
		}
	}
	if allHeld {
		h.checkedFleet, h.checkedAt = live, now
	} else {
		h.orphaned.Store(true)
	}
}

// shutDown stops all writers and waits for them.
func (h *Home) shutDown() {
	h.mu.Lock()
	h.ended = true
	h.mu.Unlock()
	h.stop()
	h.tasks.Wait()
}

// spawn runs f in a goroutine that Run waits for, and reports whether it does: after shutDown it does not.
func (h *Home) spawn(f func()) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ended {
		h.tasks.Go(f)
	}
	return !h.ended
}

// spawnRelease runs f, which delivers the end of a turn, in a goroutine that Drain and Run wait for.
func (h *Home) spawnRelease(f func(ctx context.Context)) {
	h.releasing.Add(1)
	if !h.spawn(func() {
		defer h.releasing.Add(-1)
		f(h.ctx)
	}) {
		h.releasing.Add(-1)
	}
}

// Drain waits until the ends of turns are delivered, for at most releaseDrainLimit.
func (h *Home) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, releaseDrainLimit)
	defer cancel()
	for h.releasing.Load() > 0 && timers.Sleep(ctx, releasePause) {
	}
	return nil
}

// Undelivered returns the number of ends of turns that this daemon has not delivered yet.
func (h *Home) Undelivered() int { return int(h.undelivered.Load()) }

// releaseDrainLimit is the time for which a planned stop waits for the ends of turns to be delivered: a few
// writes to the journals.
const releaseDrainLimit = time.Second

// knownShards returns the shards that this daemon has been asked about.
func (h *Home) knownShards() []*shard {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]*shard, 0, len(h.shards))
	for _, s := range h.shards {
		all = append(all, s)
	}
	return all
}

// shard returns the shard with a number.
func (h *Home) shard(number int) *shard {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.shards[number]
	if s == nil {
		s = newShard(h, number)
		h.shards[number] = s
	}
	return s
}

// confirmation waits for the final decision after a provisional one.
type confirmation func(ctx context.Context) (reserveReply, error)

// reserve decides about a reservation. If the reply is provisional, the confirmation returns
// the final decision.
func (h *Home) reserve(ctx context.Context, request reserveRequest) (reserveReply, confirmation, error) {
	s := h.shard(h.config.shardOf(request.Reservation.Program))
	leaving := h.leaving.Load() && !s.holds()
	if home := h.preferredHome(s, request.Skipped); home != "" && (leaving || !request.NoRedirect) {
		return reserveReply{Home: home, Leaving: leaving}, nil, nil
	}
	return s.reserve(ctx, request.Reservation, request.Skipped)
}

// preferredHome returns the daemon that should be asked about a shard instead of this one,
// "" if this one should decide. A daemon that holds the shard keeps deciding even if others
// precede it, as moving the shard has no benefit.
func (h *Home) preferredHome(s *shard, skipped []string) string {
	if s.holds() {
		return ""
	}
	live := h.fleet.Live()
	self := h.fleet.Self().Name
	excluded := map[string]bool{}
	for _, name := range skipped {
		excluded[name] = true
	}
	names := rankHomes(live, s.number)
	if successor := s.redirectTarget(time.Now()); successor != "" && !excluded[successor] {
		for _, name := range names {
			if name == successor {
				return successor
			}
		}
	}
	for _, name := range names {
		if name == self {
			return ""
		}
		if !excluded[name] {
			return name
		}
	}
	return ""
}

func (h *Home) serveReserve(ctx context.Context, s peer.Stream) error {
	var request reserveRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	reply, confirm, err := h.reserveWithPending(ctx, request, s)
	if err != nil {
		return err
	}
	h.shard(h.config.shardOf(request.Reservation.Program)).countDecision()
	if err := s.Send(reply); err != nil {
		return err
	}
	if confirm == nil {
		return nil
	}
	if reply, err = confirm(ctx); err != nil {
		return err
	}
	return s.Send(reply)
}

// reserveWithPending decides about a reservation and sends a pending reply if that takes
// longer than PendingAfter.
func (h *Home) reserveWithPending(
	ctx context.Context, request reserveRequest, s peer.Stream,
) (reserveReply, confirmation, error) {
	if h.shard(h.config.shardOf(request.Reservation.Program)).holds() {
		return h.reserve(ctx, request)
	}
	pending := make(chan error, 1)
	timer := time.AfterFunc(h.config.PendingAfter, func() { pending <- s.Send(reserveReply{Pending: true}) })
	reply, confirm, err := h.reserve(ctx, request)
	if !timer.Stop() {
		// The pending reply was started: wait for it, as a stream allows one sender at a
		// time.
		if sendErr := <-pending; err == nil {
			err = sendErr
		}
	}
	return reply, confirm, err
}

func (h *Home) serveHolds(_ context.Context, s peer.Stream) error {
	var request shardRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	return s.Send(h.shard(request.Shard).status())
}

// Holds reports whether this daemon believes to be the home of a program.
func (h *Home) Holds(program string) bool { return h.shard(h.config.shardOf(program)).holds() }

// Release ends reservations and returns once their ends are stored. A former home passes it on to its
// successor. It may be repeated until it succeeds.
func (h *Home) Release(ctx context.Context, request releaseRequest) error {
	s := h.shard(request.Shard)
	err := s.release(ctx, request.Turns)
	if !verdict.HasReason(err, verdict.NotHome) || request.Forwards == maxReleaseForwards {
		return err
	}
	successor := s.redirectTarget(time.Now())
	if successor == "" {
		return err
	}
	request.Forwards++
	return peer.Call(ctx, h.dialer, successor, methodRelease, request, &empty{})
}

// maxReleaseForwards limits how often a release is passed on.
const maxReleaseForwards = 2

func (h *Home) serveRelease(ctx context.Context, s peer.Stream) error {
	var request releaseRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, h.config.ReleaseTimeout)
	defer cancel()
	if err := h.Release(ctx, request); err != nil {
		return err
	}
	return s.Send(empty{})
}

// ShardState is the dump of a shard.
type ShardState struct {
	Shard             int              `json:"shard"`
	Held              bool             `json:"held"`
	Fence             int64            `json:"fence"`
	CheckpointVersion int64            `json:"record_version"`
	Journals          map[string]int64 `json:"journals,omitempty"`
	Replica           map[string]int64 `json:"bridge,omitempty"`
	Usages            []ledger.Usage   `json:"programs"`
}

// Dump returns the states of all shards.
func (h *Home) Dump() any {
	var all []ShardState
	for _, s := range h.knownShards() {
		all = append(all, s.state())
	}
	return all
}
