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
	// leastRetryWait is the shortest wait before a refused request is repeated.
	leastRetryWait = 100 * time.Millisecond
	// unclearTries bounds the repeats of a turn whose outcome is not known.
	unclearTries = 5
	// maxTokensSlack is by how much callers ask for more tokens than they get:
	// nobody knows the length of an answer in advance.
	maxTokensSlack = 2
)

// Targets are the daemons' addresses, IP:port, for each region of the profile.
type Targets [][]string

// Sample is what was seen of one program, sub-agents included.
type Sample struct {
	Work  int
	Start time.Duration
	// Latency counts from the intended start to the end, or to the end of the
	// run for a program that did not end.
	Latency time.Duration
	OK      bool
	Ended   bool
	Reason  verdict.Reason
	Refused int
	Turns   []TurnSample
}

// TurnSample is what was seen of one turn.
type TurnSample struct {
	// Asked and At are the times of its first request and of its end since the
	// start of the run. A turn that has no end was cut off.
	Asked time.Duration
	At    time.Duration
	// New and Output are the tokens that it had to compute with a whole cache.
	New    int
	Output int
	// Prefill is the time that an engine takes to compute New.
	Prefill time.Duration
	// First is the wait for the first token, refusals included.
	First time.Duration
	// History are the tokens of the prompt that the program had before.
	History int
	Usage   structs.Usage
}

// runner drives one run.
type runner struct {
	profile   Profile
	targets   Targets
	transport http.RoundTripper
	begin     time.Time

	mu      sync.Mutex
	samples []Sample
	wrong   int
}

// Run plays a schedule and returns what was seen of each program.
func Run(ctx context.Context, p Profile, schedule Schedule, targets Targets) ([]Sample, error) {
	transport := caller.NewTransport()
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, p.Start.Std()+p.Drain.Std())
	defer cancel()
	r := &runner{profile: p, targets: targets, transport: transport, begin: time.Now()}
	var wg sync.WaitGroup
	for i, program := range schedule {
		if !waitUntil(ctx, r.begin.Add(program.Start)) {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.play(ctx, program, uint64(i))
		}()
	}
	wg.Wait()
	if r.wrong > 0 {
		return r.samples, fmt.Errorf("%d answers were not the ones to their history", r.wrong)
	}
	return r.samples, nil
}

// waitUntil waits for a point in time. It returns false when ctx ended first.
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

// player is the caller of one program or sub-agent.
type player struct {
	r       *runner
	program Program
	work    Work
	rng     *rand.Rand
	id      string
	history []structs.Message
	held    int
	turns   []TurnSample
	refused int
}

// play runs one program and records it.
func (r *runner) play(ctx context.Context, program Program, seed uint64) {
	work := r.profile.Work[program.Work]
	whole := ctx
	if work.InTime > 0 {
		var cancel context.CancelFunc
		whole, cancel = context.WithDeadline(ctx, r.begin.Add(program.Start+work.InTime.Std()))
		defer cancel()
	}
	p := &player{r: r, program: program, work: work, rng: rand.New(rand.NewPCG(seed, 1))}
	err := p.run(whole, "")
	sample := Sample{
		Work:    program.Work,
		Start:   program.Start,
		Latency: time.Since(r.begin) - program.Start,
		OK:      err == nil,
		Ended:   ctx.Err() == nil,
		Refused: p.refused,
		Turns:   p.turns,
	}
	if err != nil {
		sample.Reason = verdict.From(err).Reason
	}
	r.mu.Lock()
	r.samples = append(r.samples, sample)
	r.mu.Unlock()
	p.release(ctx)
}

// release ends the program, also when its caller gave up.
func (p *player) release(ctx context.Context) {
	if p.id != "" {
		_ = p.client().End(ctx, p.id)
	}
}

// client returns a daemon of the program's region, as a balancer would.
func (p *player) client() *caller.Client {
	daemons := p.r.targets[p.program.Region]
	return caller.New(daemons[p.rng.IntN(len(daemons))], p.r.transport)
}

// run opens the program and plays its turns and sub-agents.
func (p *player) run(ctx context.Context, parent string) error {
	err := p.persist(ctx, func() error {
		var err error
		p.id, err = p.client().Open(ctx, structs.OpenRequest{Entry: p.work.Entry, Parent: parent})
		return err
	})
	if err != nil {
		return err
	}
	for i := range p.program.Turns {
		if err := p.turn(ctx, i); err != nil {
			return err
		}
		if i > 0 {
			continue
		}
		if err := p.subAgents(ctx); err != nil {
			return err
		}
	}
	return nil
}

// subAgents runs all sub-agents at the same time and waits for them.
func (p *player) subAgents(ctx context.Context) error {
	subs := make([]*player, len(p.program.Subs))
	failures := make(chan error, len(subs))
	for i, program := range p.program.Subs {
		program.Region = p.program.Region
		subs[i] = &player{r: p.r, program: program, work: p.work, rng: rand.New(rand.NewPCG(p.rng.Uint64(), 2))}
		go func() { failures <- subs[i].run(ctx, p.id) }()
	}
	var first error
	for range subs {
		if err := <-failures; err != nil && first == nil {
			first = err
		}
	}
	for _, sub := range subs {
		p.turns = append(p.turns, sub.turns...)
		p.refused += sub.refused
	}
	return first
}

// turn runs one turn, then its tool call and its pause.
func (p *player) turn(ctx context.Context, i int) error {
	planned := p.program.Turns[i]
	asked := structs.Message{Role: "user", Content: planned.Content}
	request := structs.TurnRequest{
		Program:   p.id,
		Turn:      i + 1,
		Messages:  []structs.Message{asked},
		Model:     p.r.profile.Model,
		MaxTokens: maxTokensSlack * planned.Output,
	}
	var answer caller.Answer
	wanted := time.Now()
	var first time.Duration
	err := p.persist(ctx, func() error {
		sent := time.Since(wanted)
		request.DeadlineMS = deadlineMS(ctx, p.work)
		var err error
		answer, err = p.client().Turn(ctx, request)
		first = sent + answer.FirstEvent
		return err
	})
	sample := TurnSample{
		Asked:   wanted.Sub(p.r.begin),
		First:   first,
		New:     planned.Tokens,
		Prefill: p.r.profile.prefillTime(planned.Tokens),
		Output:  planned.Output,
	}
	if err != nil {
		p.turns = append(p.turns, sample)
		return err
	}
	p.record(sample, asked, answer)
	if err := p.call(ctx, i, planned); err != nil {
		return err
	}
	waitUntil(ctx, time.Now().Add(planned.Pause))
	return nil
}

// deadlineMS is the time that is left to work with a limit, in milliseconds.
func deadlineMS(ctx context.Context, work Work) int {
	deadline, ok := ctx.Deadline()
	if !ok || work.InTime == 0 {
		return 0
	}
	return max(int(time.Until(deadline).Milliseconds()), 1)
}

// record keeps what was seen of a turn and checks its answer.
func (p *player) record(sample TurnSample, asked structs.Message, answer caller.Answer) {
	sample.At = time.Since(p.r.begin)
	sample.History = p.held
	if answer.Last.Usage != nil {
		sample.Usage = *answer.Last.Usage
	}
	p.turns = append(p.turns, sample)
	p.held = sample.Usage.PromptTokens + sample.Usage.OutputTokens
	p.history = append(p.history, asked)
	want, _ := engine.Answer(p.history, len(answer.Text)/engine.BytesPerToken)
	if answer.Text != want {
		p.r.mu.Lock()
		p.r.wrong++
		p.r.mu.Unlock()
	}
	p.history = append(p.history, structs.Message{Role: "assistant", Content: answer.Text})
}

// call makes the tool call of a turn. A call whose outcome is not known is not
// repeated: the caller goes on.
func (p *player) call(ctx context.Context, i int, planned Turn) error {
	if !planned.Call || p.r.profile.Fleet.Service == "" {
		return nil
	}
	request := structs.CallRequest{
		Program: p.id,
		Turn:    i + 1,
		Key:     fmt.Sprintf("order-%d", i+1),
		Service: p.r.profile.Fleet.Service,
		Path:    "/orders",
		Body:    []byte("order"),
	}
	err := p.persist(ctx, func() error {
		_, err := p.client().Call(ctx, request)
		return err
	})
	if verdict.Is(err, verdict.MayHaveRun) && ctx.Err() == nil {
		return nil
	}
	return err
}

// persist sends a request again after refusals, as long as its caller waits, and
// a few times after an unclear end.
func (p *player) persist(ctx context.Context, send func() error) error {
	unclear := 0
	for {
		err := send()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return verdict.Wrap(err, verdict.MayHaveRun, verdict.Canceled, "caller gave up")
		}
		failure := verdict.From(err)
		wait := max(failure.RetryAfter, leastRetryWait)
		switch {
		case failure.Verdict == verdict.NotRun && passing(failure.Reason):
			p.refused++
		case failure.Verdict == verdict.MayHaveRun && unclear < unclearTries:
			unclear++
		default:
			return err
		}
		if !waitUntil(ctx, time.Now().Add(wait)) {
			return err
		}
	}
}

// passing reports whether a refusal may end by itself.
func passing(reason verdict.Reason) bool {
	switch reason {
	case verdict.QueueFull, verdict.LimitReached, verdict.DeadlinePassed, verdict.NoServer, verdict.NotHome,
		verdict.PlatformDown, verdict.CatalogueStale, verdict.Stopping, verdict.PeerLost, verdict.BackendFailed:
		return true
	}
	return false
}
