package allowance

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"ibisline/internal/allowance/ledger"
	"ibisline/internal/peer"
)

// Home decides about the budgets of the shards that fall to this daemon. It is a
// kernel service.
type Home struct {
	config Config
	fleet  Fleet
	dialer peer.Dialer
	store  Store
	logger log.Interface

	mu     sync.Mutex
	shards map[int]*shard
	// missing holds the time since when each keeper was not live.
	missing map[string]time.Time

	granted *metrics.Counter
	spent   *metrics.Counter
	fences  *metrics.Counter
	appends *metrics.Counter
	records *metrics.Counter
	lost    *metrics.Counter
}

// NewHome returns a home without shards and registers its methods with mux.
func NewHome(config Config, fleet Fleet, dialer peer.Dialer, mux peer.Mux, store Store, set *metrics.Set, logger log.Interface) *Home {
	h := &Home{
		config:  config.withDefaults(),
		fleet:   fleet,
		dialer:  dialer,
		store:   store,
		logger:  logger,
		shards:  map[int]*shard{},
		missing: map[string]time.Time{},
		granted: set.GetOrCreateCounter(`ibisline_allowance_decisions_total{decision="granted"}`),
		spent:   set.GetOrCreateCounter(`ibisline_allowance_decisions_total{decision="spent"}`),
		fences:  set.GetOrCreateCounter("ibisline_allowance_fences_total"),
		appends: set.GetOrCreateCounter("ibisline_allowance_journal_appends_total"),
		records: set.GetOrCreateCounter("ibisline_allowance_records_total"),
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
			return nil
		case <-ticker.C:
		}
		h.reviewKeepers(time.Now())
		for _, s := range h.held() {
			s.upkeep(ctx)
		}
	}
}

// held returns the shards that this daemon has been asked about.
func (h *Home) held() []*shard {
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

// Reserve decides about a reservation.
func (h *Home) Reserve(ctx context.Context, request reserveRequest) (reserveReply, error) {
	s := h.shard(h.config.shardOf(request.Reservation.Program))
	if home := h.elsewhere(s, request.Skipped); home != "" && !request.Insist {
		return reserveReply{Home: home}, nil
	}
	return s.reserve(ctx, request.Reservation)
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
	reply, err := h.decideBy(ctx, request, s)
	if err != nil {
		return err
	}
	return s.Send(reply)
}

// decideBy decides, and says on the way that it takes longer if it does.
func (h *Home) decideBy(ctx context.Context, request reserveRequest, s peer.Stream) (reserveReply, error) {
	type outcome struct {
		reply reserveReply
		err   error
	}
	decided := make(chan outcome, 1)
	go func() {
		reply, err := h.Reserve(ctx, request)
		decided <- outcome{reply, err}
	}()
	timer := time.NewTimer(h.config.PendingAfter)
	defer timer.Stop()
	select {
	case o := <-decided:
		return o.reply, o.err
	case <-timer.C:
	}
	if err := s.Send(reserveReply{Pending: true}); err != nil {
		return reserveReply{}, err
	}
	o := <-decided
	return o.reply, o.err
}

func (h *Home) serveHolds(_ context.Context, s peer.Stream) error {
	var request shardRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	return s.Send(holdsReply{Holds: h.shard(request.Shard).holds()})
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
	Complete bool             `json:"complete"`
	Journals map[string]int64 `json:"journals,omitempty"`
	Usages   []ledger.Usage   `json:"programs"`
}

// Dump returns the states of all shards.
func (h *Home) Dump() any {
	var all []ShardState
	for _, s := range h.held() {
		all = append(all, s.state(time.Now()))
	}
	return all
}
