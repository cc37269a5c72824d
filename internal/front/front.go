// Package front routes a request that arrives at any daemon to the home of its
// program, which is on this daemon or on a peer. It retries while homes change;
// that is safe because a home deduplicates turns and calls by their identifiers.
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
	// RetryLimit bounds the total time spent retrying a request that has no
	// reachable home.
	RetryLimit time.Duration
	// RetryMin and RetryMax bound the backoff between two attempts.
	RetryMin time.Duration
	RetryMax time.Duration
}

const (
	defaultRetryLimit = 10 * time.Second
	defaultRetryMin   = 25 * time.Millisecond
	defaultRetryMax   = 400 * time.Millisecond
)

// withDefaults returns c with zero fields set to their defaults.
func (c Config) withDefaults() Config {
	defaults.Set(&c.RetryLimit, defaultRetryLimit)
	defaults.Set(&c.RetryMin, defaultRetryMin)
	defaults.Set(&c.RetryMax, defaultRetryMax)
	return c
}

// Front is a home.Service that forwards each request to the home of its program.
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

// New returns a Front. local is the home on this daemon.
func New(
	config Config, view member.View, dialer peer.Dialer, local home.Service, set *metrics.Set, logger log.Interface,
) *Front {
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

// Open opens a program and assigns its identifier: a random one, or one derived
// from the request's idempotency key.
func (f *Front) Open(ctx context.Context, request structs.OpenRequest) (structs.OpenReply, error) {
	program, err := f.programID(request)
	if err != nil {
		return structs.OpenReply{}, err
	}
	request.Program = program
	var reply structs.OpenReply
	err = f.withRetry(ctx, program, func(s home.Service) error {
		var err error
		reply, err = s.Open(ctx, request)
		return err
	})
	return reply, err
}

// programID returns the identifier of the program to open. A sub-agent is
// placed in its parent's shard.
func (f *Front) programID(request structs.OpenRequest) (string, error) {
	if request.Parent == "" {
		return structs.NewProgramID(f.view.Self().Region, f.config.Shards, request.Entry, request.Key), nil
	}
	program, ok := structs.NewChildID(request.Parent, request.Entry, request.Key)
	if !ok {
		return "", verdict.Refuse(verdict.BadRequest, "parent: %q is no program identifier", request.Parent)
	}
	return program, nil
}

// Turn runs a turn and streams its events to sink, across retries.
func (f *Front) Turn(ctx context.Context, request structs.TurnRequest, sink structs.Sink) error {
	d := newDelivery(structs.StartPosition(), sink)
	err := f.withRetry(ctx, request.Program, func(s home.Service) error {
		d.rewind(structs.StartPosition())
		return d.result(s.Turn(ctx, request, d.accept))
	})
	return f.recordRestart(request.Program, err)
}

// Resume streams the events of a turn that follow request.From. If the position
// has a checksum, the answer is read from its start, so that a change in the
// text before the position is detected.
func (f *Front) Resume(ctx context.Context, request structs.ResumeRequest, sink structs.Sink) error {
	start := structs.StartPosition()
	if request.From.HasChecksum() {
		request.After = 0
	} else {
		start.Seq = request.After
		request.From = start
	}
	d := newDelivery(request.From, sink)
	err := f.withRetry(ctx, request.Program, func(s home.Service) error {
		d.rewind(start)
		return d.result(s.Resume(ctx, request, d.accept))
	})
	return f.recordRestart(request.Program, err)
}

// recordRestart counts and logs an answer that was abandoned because its text changed.
func (f *Front) recordRestart(program string, err error) error {
	if verdict.HasReason(err, verdict.AnswerRestarted) {
		f.restarts.Inc()
		f.logger.WithField("program", program).Warn("answer restarted with different text")
	}
	return err
}

// Call runs a tool call. If the request has no key, Call derives one.
func (f *Front) Call(ctx context.Context, request structs.CallRequest) (structs.CallReply, error) {
	if request.Key == "" {
		request.Key = callKey(request)
	}
	var reply structs.CallReply
	err := f.withRetry(ctx, request.Program, func(s home.Service) error {
		var err error
		reply, err = s.Call(ctx, request)
		return err
	})
	return reply, err
}

// callKey derives a key from the content of a call, so that a home recognises
// the same call when it is repeated within a turn.
func callKey(request structs.CallRequest) string {
	identity := struct {
		Turn    int
		Service string
		Path    string
		Body    []byte
	}{request.Turn, request.Service, request.Path, request.Body}
	// The encoding preserves field boundaries. Marshal cannot fail for these types.
	encoded, err := msgpack.Marshal(identity)
	if err != nil {
		panic(err)
	}
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:16])
}

func (f *Front) State(ctx context.Context, program string) (structs.ProgramState, error) {
	var state structs.ProgramState
	err := f.withRetry(ctx, program, func(s home.Service) error {
		var err error
		state, err = s.State(ctx, program)
		return err
	})
	return state, err
}

func (f *Front) End(ctx context.Context, program string) error {
	return f.withRetry(ctx, program, func(s home.Service) error { return s.End(ctx, program) })
}

// withRetry runs a request at the program's home until it succeeds, fails with a
// permanent reason, or RetryLimit has passed.
func (f *Front) withRetry(ctx context.Context, program string, run func(home.Service) error) error {
	shard, ok := structs.ShardOf(program)
	if !ok {
		return verdict.Refuse(verdict.BadRequest, "program: %q is no program identifier", program)
	}
	deadline := time.Now().Add(f.config.RetryLimit)
	var earlier attemptHistory
	for attempt := 0; ; attempt++ {
		changed := f.view.Changed()
		err := f.runOnce(shard, run)
		if err == nil {
			return nil
		}
		failure := earlier.add(verdict.From(err))
		if !isTransient(failure.Reason) || ctx.Err() != nil || !time.Now().Before(deadline) {
			return failure
		}
		f.retries.Inc()
		if !f.backOff(ctx, attempt, deadline, changed) {
			return failure
		}
	}
}

// runOnce makes one attempt at the current home of shard.
func (f *Front) runOnce(shard structs.ShardID, run func(home.Service) error) error {
	owner, ok := member.Home(f.view, shard)
	if !ok {
		return verdict.Refuse(verdict.NotHome, "no daemon is live for shard %s", shard)
	}
	if owner.Name == f.view.Self().Name {
		return run(f.local)
	}
	return run(remoteHome{dialer: f.dialer, daemon: owner.Name})
}

// isTransient reports whether a failure is resolved once the shard has a new home.
func isTransient(reason verdict.Reason) bool {
	switch reason {
	case verdict.NotHome, verdict.PeerLost, verdict.Stopping:
		return true
	default:
		return false
	}
}

// backOff waits before the next attempt, with jitter so that the requests of a
// lost home are not all retried at the same time. A membership change ends the
// first wait early. It returns false if the caller has disconnected.
func (f *Front) backOff(ctx context.Context, attempt int, deadline time.Time, changed <-chan struct{}) bool {
	limit := f.config.RetryMax
	if attempt < backoffSteps {
		limit = min(limit, f.config.RetryMin<<attempt)
	}
	minWait := f.config.RetryMin / 2
	wait := min(minWait+rand.N(limit), time.Until(deadline))
	if attempt > 0 {
		// Only the first retry may follow a membership change immediately.
		// Otherwise a burst of changes would cause a burst of attempts.
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

// backoffSteps is the number of times that the backoff doubles.
const backoffSteps = 6

// attemptHistory records whether an earlier attempt may have reached a backend.
type attemptHistory struct{ mayHaveRun bool }

// add returns failure with the verdict that holds for all attempts so far: a
// later refusal does not prove that an earlier attempt was not run.
func (h *attemptHistory) add(failure *verdict.Error) *verdict.Error {
	if failure.Verdict != verdict.NotRun {
		h.mayHaveRun = true
		return failure
	}
	if !h.mayHaveRun {
		return failure
	}
	uncertain := *failure
	uncertain.Verdict = verdict.MayHaveRun
	return &uncertain
}
