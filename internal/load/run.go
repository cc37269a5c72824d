package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"ibisline/internal/caller"
	"ibisline/internal/fake/engine"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

const (
	// minRetryDelay is the shortest delay before a refused request is retried.
	minRetryDelay = 100 * time.Millisecond
	// maxUnknownOutcomeRetries bounds the retries of a request whose outcome is
	// unknown.
	maxUnknownOutcomeRetries = 5
	// maxTokensFactor is the ratio of a turn's max_tokens to the length of its
	// answer, as callers don't know that length in advance.
	maxTokensFactor = 2
)

// Targets holds the daemons' addresses (IP:port) for each region of the profile.
type Targets [][]string

// ProgramSample is the measurement of one program, including its sub-agents.
type ProgramSample struct {
	WorkIndex int
	Start     time.Duration
	// Latency is the time from the intended start to the end of the program, or to
	// the end of the run for a program that did not end.
	Latency time.Duration
	OK      bool
	Ended   bool
	Reason  verdict.Reason
	Refused int
	Turns   []TurnSample
}

// TurnSample is the measurement of one turn. Times count from the start of the
// run.
type TurnSample struct {
	// RequestedAt is the time of the first request. EndedAt is the end of the turn,
	// or 0 if it did not end.
	RequestedAt time.Duration
	EndedAt     time.Duration
	// NewTokens and OutputTokens are the prompt and output tokens to compute when
	// the whole history is cached.
	NewTokens    int
	OutputTokens int
	// PrefillTime is the time that an engine takes to compute NewTokens.
	PrefillTime time.Duration
	// TimeToFirstToken counts from the first request and includes refused ones.
	TimeToFirstToken time.Duration
	// HistoryTokens is the number of prompt tokens from earlier turns.
	HistoryTokens int
	Usage         structs.Usage
}

// runner runs one schedule and collects the samples.
type runner struct {
	profile   Profile
	targets   Targets
	transport http.RoundTripper
	startedAt time.Time

	mu           sync.Mutex
	samples      []ProgramSample
	wrongAnswers int
}

// Run executes a schedule against the daemons in targets and returns one sample
// per started program. It returns an error when an answer does not match the
// history of its program.
func Run(ctx context.Context, p Profile, schedule Schedule, targets Targets) ([]ProgramSample, error) {
	transport := caller.NewTransport()
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, p.Start.Std()+p.Drain.Std())
	defer cancel()
	r := &runner{profile: p, targets: targets, transport: transport, startedAt: time.Now()}
	var wg sync.WaitGroup
	for i, program := range schedule {
		if !waitUntil(ctx, r.startedAt.Add(program.Start)) {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.runProgram(ctx, program, uint64(i))
		}()
	}
	wg.Wait()
	if r.wrongAnswers > 0 {
		return r.samples, fmt.Errorf("%d answers do not match the history of their program", r.wrongAnswers)
	}
	return r.samples, nil
}

// waitUntil waits until t. It returns false if ctx is done first.
func waitUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// programCaller simulates the caller of one program or sub-agent.
type programCaller struct {
	runner        *runner
	program       Program
	work          Work
	rng           *rand.Rand
	id            string
	history       []structs.Message
	historyTokens int
	turns         []TurnSample
	refused       int
}

// runProgram runs one program and records its sample.
func (r *runner) runProgram(ctx context.Context, program Program, seed uint64) {
	work := r.profile.Work[program.WorkIndex]
	programCtx := ctx
	if work.InTime > 0 {
		var cancel context.CancelFunc
		programCtx, cancel = context.WithDeadline(ctx, r.startedAt.Add(program.Start+work.InTime.Std()))
		defer cancel()
	}
	c := &programCaller{runner: r, program: program, work: work, rng: rand.New(rand.NewPCG(seed, 1))}
	err := c.run(programCtx, "")
	sample := ProgramSample{
		WorkIndex: program.WorkIndex,
		Start:     program.Start,
		Latency:   time.Since(r.startedAt) - program.Start,
		OK:        err == nil,
		Ended:     ctx.Err() == nil,
		Refused:   c.refused,
		Turns:     c.turns,
	}
	if err != nil {
		sample.Reason = verdict.From(err).Reason
	}
	r.mu.Lock()
	r.samples = append(r.samples, sample)
	r.mu.Unlock()
	c.endProgram(ctx)
}

// endProgram ends the program, even if its caller gave up.
func (c *programCaller) endProgram(ctx context.Context) {
	if c.id != "" {
		_ = c.client().End(ctx, c.id)
	}
}

// client returns a client of a random daemon in the program's region, like a
// load balancer.
func (c *programCaller) client() *caller.Client {
	daemons := c.runner.targets[c.program.RegionIndex]
	return caller.New(daemons[c.rng.IntN(len(daemons))], c.runner.transport)
}

// run opens the program and runs its turns and sub-agents.
func (c *programCaller) run(ctx context.Context, parent string) error {
	err := c.sendWithRetries(ctx, func() error {
		var err error
		c.id, err = c.client().Open(ctx, structs.OpenRequest{Entry: c.work.Entry, Parent: parent})
		return err
	})
	if err != nil {
		return err
	}
	for turnIndex := range c.program.Turns {
		if err := c.runTurn(ctx, turnIndex); err != nil {
			return err
		}
		if turnIndex > 0 {
			continue
		}
		if err := c.runSubAgents(ctx); err != nil {
			return err
		}
	}
	return nil
}

// runSubAgents runs all sub-agents concurrently, waits for them and returns the
// first error.
func (c *programCaller) runSubAgents(ctx context.Context) error {
	subs := make([]*programCaller, len(c.program.SubAgents))
	failures := make(chan error, len(subs))
	for i, program := range c.program.SubAgents {
		program.RegionIndex = c.program.RegionIndex
		subs[i] = &programCaller{
			runner:  c.runner,
			program: program,
			work:    c.work,
			rng:     rand.New(rand.NewPCG(c.rng.Uint64(), 2)),
		}
		go func() { failures <- subs[i].run(ctx, c.id) }()
	}
	var firstErr error
	for range subs {
		if err := <-failures; err != nil && firstErr == nil {
			firstErr = err
		}
	}
	for _, sub := range subs {
		c.turns = append(c.turns, sub.turns...)
		c.refused += sub.refused
	}
	return firstErr
}

// runTurn runs one turn, followed by its tool call and its pause.
func (c *programCaller) runTurn(ctx context.Context, turnIndex int) error {
	turn := c.program.Turns[turnIndex]
	message := structs.Message{Role: "user", Content: turn.Content}
	request := structs.TurnRequest{
		Program:   c.id,
		Turn:      turnIndex + 1,
		Messages:  []structs.Message{message},
		Model:     c.runner.profile.Model,
		MaxTokens: maxTokensFactor * turn.OutputTokens,
	}
	var answer caller.Answer
	requestedAt := time.Now()
	var timeToFirstToken time.Duration
	err := c.sendWithRetries(ctx, func() error {
		retryDelay := time.Since(requestedAt)
		request.DeadlineMS = remainingDeadlineMS(ctx, c.work)
		var err error
		answer, err = c.client().Turn(ctx, request)
		timeToFirstToken = retryDelay + answer.FirstEvent
		return err
	})
	sample := TurnSample{
		RequestedAt:      requestedAt.Sub(c.runner.startedAt),
		TimeToFirstToken: timeToFirstToken,
		NewTokens:        turn.PromptTokens,
		PrefillTime:      c.runner.profile.prefillTime(turn.PromptTokens),
		OutputTokens:     turn.OutputTokens,
	}
	if err != nil {
		c.turns = append(c.turns, sample)
		return err
	}
	c.recordTurn(sample, message, answer)
	if err := c.callTool(ctx, turnIndex, turn); err != nil {
		return err
	}
	waitUntil(ctx, time.Now().Add(turn.Pause))
	return nil
}

// remainingDeadlineMS returns the time left until the deadline of ctx in
// milliseconds, at least 1, or 0 for work without a latency limit.
func remainingDeadlineMS(ctx context.Context, work Work) int {
	deadline, ok := ctx.Deadline()
	if !ok || work.InTime == 0 {
		return 0
	}
	return max(int(time.Until(deadline).Milliseconds()), 1)
}

// recordTurn records a completed turn and checks its answer.
func (c *programCaller) recordTurn(sample TurnSample, message structs.Message, answer caller.Answer) {
	sample.EndedAt = time.Since(c.runner.startedAt)
	sample.HistoryTokens = c.historyTokens
	if answer.Last.Usage != nil {
		sample.Usage = *answer.Last.Usage
	}
	c.turns = append(c.turns, sample)
	c.historyTokens = sample.Usage.PromptTokens + sample.Usage.OutputTokens
	c.history = append(c.history, message)
	want, _ := engine.Answer(c.history, len(answer.Text)/engine.BytesPerToken)
	if answer.Text != want {
		c.runner.mu.Lock()
		c.runner.wrongAnswers++
		c.runner.mu.Unlock()
	}
	c.history = append(c.history, structs.Message{Role: "assistant", Content: answer.Text})
}

// callTool makes the tool call of a turn. A call whose outcome stays unknown is
// no error: the caller continues with the next turn.
func (c *programCaller) callTool(ctx context.Context, turnIndex int, turn Turn) error {
	if !turn.ToolCall || c.runner.profile.Fleet.Service == "" {
		return nil
	}
	request := structs.CallRequest{
		Program: c.id,
		Turn:    turnIndex + 1,
		Key:     fmt.Sprintf("order-%d", turnIndex+1),
		Service: c.runner.profile.Fleet.Service,
		Path:    "/orders",
		Body:    []byte("order"),
	}
	err := c.sendWithRetries(ctx, func() error {
		_, err := c.client().Call(ctx, request)
		return err
	})
	if verdict.Is(err, verdict.MayHaveRun) && ctx.Err() == nil {
		return nil
	}
	return err
}

// sendWithRetries sends a request. It retries transient refusals until ctx is
// done, and unknown outcomes up to maxUnknownOutcomeRetries times.
func (c *programCaller) sendWithRetries(ctx context.Context, send func() error) error {
	unknownOutcomes := 0
	for {
		err := send()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return verdict.Wrap(err, verdict.MayHaveRun, verdict.Canceled, "caller gave up")
		}
		failure := verdict.From(err)
		wait := max(failure.RetryAfter, minRetryDelay)
		switch {
		case failure.Verdict == verdict.NotRun && isTransient(failure.Reason):
			c.refused++
		case failure.Verdict == verdict.MayHaveRun && unknownOutcomes < maxUnknownOutcomeRetries:
			unknownOutcomes++
		default:
			return err
		}
		if !waitUntil(ctx, time.Now().Add(wait)) {
			return err
		}
	}
}

// isTransient reports whether a request refused for this reason may succeed
// later.
func isTransient(reason verdict.Reason) bool {
	switch reason {
	case verdict.QueueFull, verdict.LimitReached, verdict.DeadlinePassed, verdict.NoServer, verdict.NotHome,
		verdict.PlatformDown, verdict.CatalogueStale, verdict.Stopping, verdict.PeerLost, verdict.BackendFailed:
		return true
	}
	return false
}
