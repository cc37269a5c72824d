package allowance

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"ibisline/internal/allowance/ledger"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
)

// Home decides about the budgets of the shards that fall to this daemon. It is a
// kernel service.
type Home struct {
	config Config
	fleet  Fleet
	dialer peer.Dialer
	store  Store
	logger log.Interface

	// ctx bounds the writers of all shards.
	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup

	// adopted is the fleet for which every shard was last found to have a home.
	adopted   []structs.Instance
	adoptedAt time.Time
	// orphaned is set when this daemon has given a shard up.
	orphaned atomic.Bool

	mu     sync.Mutex
	ended  bool
	shards map[int]*shard

	granted *metrics.Counter
	spent   *metrics.Counter
	fences  *metrics.Counter
	records *metrics.Counter
	bridges *metrics.Counter
	lost    *metrics.Counter
}

// NewHome returns a home without shards and registers its methods with mux.
func NewHome(config Config, fleet Fleet, dialer peer.Dialer, mux peer.Mux, store Store, set *metrics.Set, logger log.Interface) *Home {
	ctx, stop := context.WithCancel(context.Background())
	h := &Home{
		config:  config.withDefaults(),
		fleet:   fleet,
		dialer:  dialer,
		store:   store,
		logger:  logger,
		ctx:     ctx,
		stop:    stop,
		shards:  map[int]*shard{},
		granted: set.GetOrCreateCounter(`ibisline_allowance_decisions_total{decision="granted"}`),
		spent:   set.GetOrCreateCounter(`ibisline_allowance_decisions_total{decision="spent"}`),
		fences:  set.GetOrCreateCounter("ibisline_allowance_takeovers_total"),
		records: set.GetOrCreateCounter("ibisline_allowance_records_total"),
		bridges: set.GetOrCreateCounter("ibisline_allowance_bridge_writes_total"),
		lost:    set.GetOrCreateCounter("ibisline_allowance_shards_lost_total"),
	}
	mux.Handle(methodReserve, h.serveReserve)
	mux.Handle(methodRelease, h.serveRelease)
	mux.Handle(methodTake, h.serveTake)
	mux.Handle(methodHolds, h.serveHolds)
	return h
}

// Run looks after the shards until ctx ends.
func (h *Home) Run(ctx context.Context) error {
	ticker := time.NewTicker(h.config.UpkeepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			h.end()
			return nil
		case <-ticker.C:
		}
		for _, s := range h.known() {
			if s.holds() {
				s.reviewJournals(ctx)
			}
		}
		h.adoptOrphans(ctx)
	}
}

// adoptOrphans takes over the shards that fall to this daemon and that no live one
// decides about, whenever the fleet has changed and now and then: a shard without a home would learn
// nothing of journals that come and go.
func (h *Home) adoptOrphans(ctx context.Context) {
	live, now := h.fleet.Live(), time.Now()
	known := !h.orphaned.Swap(false) && slices.Equal(live, h.adopted) && now.Sub(h.adoptedAt) < h.config.AdoptInterval
	if !h.fleet.Listed() || known {
		return
	}
	self := h.fleet.Self().Name
	whole := true
	for number := range h.config.Shards {
		if names := ranked(live, number); len(names) == 0 || names[0] != self {
			continue
		}
		s := h.shard(number)
		if s.holds() || s.decides(ctx, s.replacedBy(now)) {
			continue
		}
		if _, err := s.ensureHeld(ctx, nil); err != nil {
			whole = false
		}
	}
	if whole {
		h.adopted, h.adoptedAt = live, now
	} else {
		h.orphaned.Store(true)
	}
}

// end waits for all writers.
func (h *Home) end() {
	h.mu.Lock()
	h.ended = true
	h.mu.Unlock()
	h.stop()
	h.tasks.Wait()
}

// spawn runs f in a goroutine that Run waits for.
func (h *Home) spawn(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ended {
		h.tasks.Go(f)
	}
}

// known returns the shards that this daemon has been asked about.
func (h *Home) known() []*shard {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]*shard, 0, len(h.shards))
	for _, s := range h.shards {
		all = append(all, s)
	}
	return all
}

// shard returns the shard of that number.
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

// confirmation waits for the decision that follows one ahead.
type confirmation func(ctx context.Context) (reserveReply, error)

// reserve decides about a reservation. Where it decides ahead, the confirmation
// returns the final decision.
func (h *Home) reserve(ctx context.Context, request reserveRequest) (reserveReply, confirmation, error) {
	s := h.shard(h.config.shardOf(request.Reservation.Program))
	if home := h.elsewhere(s, request.Skipped); home != "" && !request.Insist {
		return reserveReply{Home: home}, nil, nil
	}
	return s.reserve(ctx, request.Reservation, request.Skipped)
}

// elsewhere returns the daemon that should be asked about a shard instead of this
// one, "" when this one is to decide. A daemon that holds the shard decides even
// if others would come first: moving it brings nothing.
func (h *Home) elsewhere(s *shard, skipped []string) string {
	if s.holds() {
		return ""
	}
	live := h.fleet.Live()
	self := h.fleet.Self().Name
	excluded := map[string]bool{}
	for _, name := range skipped {
		excluded[name] = true
	}
	names := ranked(live, s.number)
	if successor := s.replacedBy(time.Now()); successor != "" && !excluded[successor] {
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
	reply, confirm, err := h.reserveBy(ctx, request, s)
	if err != nil {
		return err
	}
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

// reserveBy decides, and says on the way that it takes longer if it does.
func (h *Home) reserveBy(ctx context.Context, request reserveRequest, s peer.Stream) (reserveReply, confirmation, error) {
	if h.shard(h.config.shardOf(request.Reservation.Program)).holds() {
		return h.reserve(ctx, request)
	}
	pending := make(chan error, 1)
	timer := time.AfterFunc(h.config.PendingAfter, func() { pending <- s.Send(reserveReply{Pending: true}) })
	reply, confirm, err := h.reserve(ctx, request)
	if !timer.Stop() {
		// The stream has one sender at a time.
		if sent := <-pending; err == nil {
			err = sent
		}
	}
	return reply, confirm, err
}

func (h *Home) serveHolds(_ context.Context, s peer.Stream) error {
	var request shardRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	return s.Send(holdsReply{Holds: h.shard(request.Shard).able()})
}

// Holds reports whether this daemon decides about a program, as far as it knows.
func (h *Home) Holds(program string) bool { return h.shard(h.config.shardOf(program)).holds() }

// Release ends a reservation.
func (h *Home) Release(request releaseRequest) {
	h.shard(h.config.shardOf(request.Program)).release(request)
}

func (h *Home) serveRelease(_ context.Context, s peer.Stream) error {
	var request releaseRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	h.Release(request)
	return s.Send(done{})
}

// ShardState is the dump of a shard.
type ShardState struct {
	Shard    int              `json:"shard"`
	Held     bool             `json:"held"`
	Fence    int64            `json:"fence"`
	Version  int64            `json:"record_version"`
	Journals map[string]int64 `json:"journals,omitempty"`
	Bridge   map[string]int64 `json:"bridge,omitempty"`
	Usages   []ledger.Usage   `json:"programs"`
}

// Dump returns the states of all shards.
func (h *Home) Dump() any {
	var all []ShardState
	for _, s := range h.known() {
		all = append(all, s.state())
	}
	return all
}
