// Package front accepts requests at any daemon, finds the home of the program
// and passes the request on, to the local home or to that of a peer. It retries
// while homes change, which is safe because a home knows a repeated turn or call
// by its identifiers.
package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/vmihailenco/msgpack/v5"

	"ibisline/internal/defaults"
	"ibisline/internal/home"
	"ibisline/internal/member"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// Config holds the settings of a Front. Zero fields take their defaults, except
// for Shards, which must be positive.
type Config struct {
	// Shards is the number of shards of programs in each region.
	Shards int
	// RetryLimit bounds the time for which a request without a home is retried.
	RetryLimit time.Duration
	// RetryMin and RetryMax bound the wait between two attempts.
	RetryMin time.Duration
	RetryMax time.Duration
}

const (
	defaultRetryLimit = 10 * time.Second
	defaultRetryMin   = 25 * time.Millisecond
	defaultRetryMax   = 400 * time.Millisecond
)

// withDefaults returns c with its zero fields filled.
func (c Config) withDefaults() Config {
	defaults.Set(&c.RetryLimit, defaultRetryLimit)
	defaults.Set(&c.RetryMin, defaultRetryMin)
	defaults.Set(&c.RetryMax, defaultRetryMax)
	return c
}

// Front implements home.Service by passing requests to the program's home.
type Front struct {
	config   Config
	view     member.View
	dialer   peer.Dialer
	local    home.Service
	logger   log.Interface
	retries  *metrics.Counter
	restarts *metrics.Counter
}

var _ home.Service = (*Front)(nil)

// New returns a front. local is the home of this daemon.
func New(config Config, view member.View, dialer peer.Dialer, local home.Service, set *metrics.Set, logger log.Interface) *Front {
	return &Front{
		config:   config.withDefaults(),
		view:     view,
		dialer:   dialer,
		local:    local,
		logger:   logger,
		retries:  set.GetOrCreateCounter("ibisline_front_retries_total"),
		restarts: set.GetOrCreateCounter("ibisline_front_answers_restarted_total"),
	}
}

// Open implements home.Service. It chooses the program's identifier: a new one,
// or the one that belongs to the request's key.
func (f *Front) Open(ctx context.Context, request structs.OpenRequest) (structs.OpenReply, error) {
	program, err := f.identify(request)
	if err != nil {
		return structs.OpenReply{}, err
	}
	request.Program = program
	var reply structs.OpenReply
	err = f.try(ctx, program, func(s home.Service) error {
		var err error
		reply, err = s.Open(ctx, request)
		return err
	})
	return reply, err
}

// identify returns the identifier of the program to open. A sub-agent lies in
// its parent's shard.
func (f *Front) identify(request structs.OpenRequest) (string, error) {
	if request.Parent == "" {
		return structs.NewProgramID(f.view.Self().Region, f.config.Shards, request.Entry, request.Key), nil
	}
	program, ok := structs.NewChildID(request.Parent, request.Entry, request.Key)
	if !ok {
		return "", verdict.Refuse(verdict.BadRequest, "parent: %q is no program identifier", request.Parent)
	}
	return program, nil
}

// Turn implements home.Service.
func (f *Front) Turn(ctx context.Context, request structs.TurnRequest, sink structs.Sink) error {
	d := newDelivery(structs.Start(), sink)
	err := f.try(ctx, request.Program, func(s home.Service) error {
		d.rewind(structs.Start())
		return d.outcome(s.Turn(ctx, request, d.accept))
	})
	return f.noteRestart(request.Program, err)
}

// Resume implements home.Service. With a whole position the answer is read from
// its start, so that text which changed before the position is noticed.
func (f *Front) Resume(ctx context.Context, request structs.ResumeRequest, sink structs.Sink) error {
	start := structs.Start()
	if request.From.Whole() {
		request.After = 0
	} else {
		start.Seq = request.After
		request.From = start
	}
	d := newDelivery(request.From, sink)
	err := f.try(ctx, request.Program, func(s home.Service) error {
		d.rewind(start)
		return d.outcome(s.Resume(ctx, request, d.accept))
	})
	return f.noteRestart(request.Program, err)
}

// noteRestart counts and logs an answer that was given up because its text changed.
func (f *Front) noteRestart(program string, err error) error {
	if verdict.HasReason(err, verdict.AnswerRestarted) {
		f.restarts.Inc()
		f.logger.WithField("program", program).Warn("answer restarted with other text")
	}
	return err
}

// Call implements home.Service. It derives the call's key when there is none.
func (f *Front) Call(ctx context.Context, request structs.CallRequest) (structs.CallReply, error) {
	if request.Key == "" {
		request.Key = callKey(request)
	}
	var reply structs.CallReply
	err := f.try(ctx, request.Program, func(s home.Service) error {
		var err error
		reply, err = s.Call(ctx, request)
		return err
	})
	return reply, err
}

// callKey identifies a call by what it asks for, so that the same call sent
// again within a turn is recognised.
func callKey(request structs.CallRequest) string {
	identity := struct {
		Turn    int
		Service string
		Path    string
		Body    []byte
	}{request.Turn, request.Service, request.Path, request.Body}
	// Encoding keeps the borders between the fields; these types cannot fail.
	encoded, err := msgpack.Marshal(identity)
	if err != nil {
		panic(err)
	}
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:16])
}

// State implements home.Service.
func (f *Front) State(ctx context.Context, program string) (structs.ProgramState, error) {
	var state structs.ProgramState
	err := f.try(ctx, program, func(s home.Service) error {
		var err error
		state, err = s.State(ctx, program)
		return err
	})
	return state, err
}

// End implements home.Service.
func (f *Front) End(ctx context.Context, program string) error {
	return f.try(ctx, program, func(s home.Service) error { return s.End(ctx, program) })
}

// try runs a request at the program's home until it succeeds, fails for a
// reason that another attempt cannot change, or RetryLimit has passed.
func (f *Front) try(ctx context.Context, program string, run func(home.Service) error) error {
	shard, ok := structs.ShardOf(program)
	if !ok {
		return verdict.Refuse(verdict.BadRequest, "program: %q is no program identifier", program)
	}
	deadline := time.Now().Add(f.config.RetryLimit)
	var past history
	for attempt := 0; ; attempt++ {
		changed := f.view.Changed()
		err := f.once(shard, run)
		if err == nil {
			return nil
		}
		failure := past.add(verdict.From(err))
		if !transient(failure.Reason) || ctx.Err() != nil || !time.Now().Before(deadline) {
			return failure
		}
		f.retries.Inc()
		if !f.pause(ctx, attempt, deadline, changed) {
			return failure
		}
	}
}

// once makes one attempt.
func (f *Front) once(shard structs.ShardID, run func(home.Service) error) error {
	owner, ok := member.Home(f.view, shard)
	if !ok {
		return verdict.Refuse(verdict.NotHome, "no daemon is live for shard %s", shard)
	}
	if owner.Name == f.view.Self().Name {
		return run(f.local)
	}
	return run(remote{dialer: f.dialer, daemon: owner.Name})
}

// transient is true for reasons that end when the shard has a new home.
func transient(reason verdict.Reason) bool {
	switch reason {
	case verdict.NotHome, verdict.PeerLost, verdict.Stopping:
		return true
	default:
		return false
	}
}

// pause waits before the next attempt, with jitter so that the requests of a
// lost home do not come back together. A change of the membership ends the wait
// early. It returns false when the caller is gone or the deadline has passed.
func (f *Front) pause(ctx context.Context, attempt int, deadline time.Time, changed <-chan struct{}) bool {
	limit := f.config.RetryMax
	if attempt < backoffSteps {
		limit = min(limit, f.config.RetryMin<<attempt)
	}
	least := f.config.RetryMin / 2
	wait := min(least+rand.N(limit), time.Until(deadline))
	if attempt > 0 {
		// The first retry may follow a change at once; later ones keep their
		// distance, or a burst of changes would turn into a burst of attempts.
		changed = nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return true
	case <-timer.C:
		return true
	}
}

// backoffSteps is the number of doublings of the wait between attempts.
const backoffSteps = 6

// history remembers whether an earlier attempt may have reached a backend.
type history struct{ uncertain bool }

// add returns the failure with the verdict that holds for all attempts so far: a
// later refusal does not prove that an earlier attempt did not run.
func (h *history) add(failure *verdict.Error) *verdict.Error {
	if failure.Verdict != verdict.NotRun {
		h.uncertain = true
		return failure
	}
	if !h.uncertain {
		return failure
	}
	weakened := *failure
	weakened.Verdict = verdict.MayHaveRun
	return &weakened
}
