package home

import (
	"context"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ibisline/internal/journal"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// caller is the client of one program. It keeps the history as it received it.
type caller struct {
	sim      *sim
	rng      *rand.Rand
	id       string
	parent   string
	history  []journal.Turn
	attempts int
	ended    bool
}

func newCaller(s *sim, id, parent string, seed int64) *caller {
	return &caller{sim: s, id: id, parent: parent, rng: rand.New(rand.NewPCG(uint64(seed), 7))}
}

// run opens the program, makes its turns and calls, and ends it.
func (c *caller) run() {
	if err := c.open(); err != nil {
		return
	}
	var children sync.WaitGroup
	for turn := 1; turn <= turnsPerCaller && !c.ended; turn++ {
		c.turn(turn)
		if turn == 1 && c.parent == "" {
			child := newCaller(c.sim, c.id+"c", c.id, c.rng.Int64())
			children.Go(child.run)
		}
		if !c.ended && c.rng.IntN(10) < 7 {
			c.call(fmt.Sprintf("k%d", turn))
		}
		time.Sleep(c.sim.plan.pace)
	}
	children.Wait()
	c.end()
}

// pickHome returns the home of the program's shard, or occasionally any home.
func (c *caller) pickHome() *daemon {
	names := c.sim.membership.all()
	if len(names) == 0 {
		return nil
	}
	if c.rng.IntN(6) == 0 {
		return c.sim.daemon(names[c.rng.IntN(len(names))])
	}
	return c.sim.daemon(c.sim.membership.home(c.id))
}

// askHome sends a request to one home. The death of the home and attemptTimeout cut the
// answer off.
func (c *caller) askHome(d *daemon, ask func(ctx context.Context) error) error {
	p := c.sim.process(d.name)
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- ask(ctx) }()
	select {
	case <-p.dead:
		return errKilled
	case err := <-done:
		if p.isDead() || p.isPaused() {
			return errKilled
		}
		return err
	case <-ctx.Done():
		return errKilled
	}
}

// requestID returns a unique identifier for one attempt.
func (c *caller) requestID() string {
	c.attempts++
	return fmt.Sprintf("%s/%d/%d", c.id, c.attempts, c.rng.Int64())
}

// attempt sends a request to some home once and counts refusals.
func (c *caller) attempt(ask func(ctx context.Context, d *daemon, id string) error) error {
	d := c.pickHome()
	if d == nil {
		return errKilled
	}
	id := c.requestID()
	err := c.askHome(d, func(ctx context.Context) error { return ask(ctx, d, id) })
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	c.sim.total.Steps++
	switch {
	case verdict.Is(err, verdict.NotRun):
		c.sim.total.NotRun++
		c.sim.notRun = append(c.sim.notRun, id)
	case err != nil:
		c.sim.total.MayHaveRun++
	}
	return err
}

func (c *caller) backoff() { time.Sleep(time.Duration(50+c.rng.IntN(150)) * time.Millisecond) }

func (c *caller) open() error {
	var err error
	for range maxAttempts {
		err = c.attempt(func(ctx context.Context, d *daemon, _ string) error {
			_, err := d.Open(ctx, structs.OpenRequest{Entry: "desk", Program: c.id, Parent: c.parent})
			return err
		})
		if err == nil || verdict.HasReason(err, verdict.ProgramEnded) {
			return err
		}
		c.backoff()
	}
	c.sim.reportViolation("program %s could not be opened: %v", c.id, err)
	return err
}

// turnRequest builds the request of a turn with the digest of the history.
func (c *caller) turnRequest(turn int) structs.TurnRequest {
	r := turnRequest(c.id, turn)
	if len(c.history) > 0 {
		r.Digest = hex.EncodeToString(c.history[len(c.history)-1].Digest)
	}
	return r
}

// prompt returns the prompt that an engine must receive for a request after the
// history.
func (c *caller) prompt(r structs.TurnRequest) string {
	var b strings.Builder
	for _, turn := range c.history {
		writeMessages(&b, turn.Messages)
		writeMessages(&b, []structs.Message{{Role: "assistant", Content: turn.Answer}})
	}
	writeMessages(&b, r.Messages)
	return b.String()
}

func (c *caller) turn(turn int) {
	c.sim.expectPrompt(turnID(c.id, turn), c.prompt(c.turnRequest(turn)))
	resendFrom, conflicts := 0, 0
	var last error
	for range maxAttempts {
		r := c.turnRequest(turn)
		if resendFrom > 0 && resendFrom < turn {
			r = c.resend(r, resendFrom)
		}
		got, err := c.ask(r)
		last = err
		switch {
		case err == nil:
			c.accept(turn, got)
			return
		case verdict.HasReason(err, verdict.HistoryGap):
			resendFrom = verdict.From(err).Turn
			c.sim.recordGap(c.id, turn)
		case verdict.HasReason(err, verdict.BudgetSpent), verdict.HasReason(err, verdict.ProgramEnded):
			c.ended = true
			return
		case verdict.HasReason(err, verdict.TurnConflict):
			conflicts++
			if conflicts == 20 && c.adoptStoredAnswer(turn-1) {
				c.sim.expectPrompt(turnID(c.id, turn), c.prompt(c.turnRequest(turn)))
			}
		}
		c.backoff()
	}
	c.ended = true
	c.sim.reportViolation("program %s turn %d never ended: %v", c.id, turn, last)
}

// sendDuplicate sends the same turn a second time, concurrently.
func (c *caller) sendDuplicate(r structs.TurnRequest) {
	other := newCaller(c.sim, c.id, c.parent, c.rng.Int64())
	go func() {
		got, err := other.askOnce(r, -1)
		if err == nil {
			other.checkWhole(r.Turn, got)
		}
	}()
}

// ask sends a turn, occasionally disconnects before the end of the answer, and then
// resumes it.
func (c *caller) ask(r structs.TurnRequest) (*eventCollector, error) {
	if c.rng.IntN(5) == 0 {
		c.sendDuplicate(r)
	}
	disconnectAfter := -1
	if c.rng.IntN(3) == 0 {
		disconnectAfter = 1 + c.rng.IntN(2)
	}
	got, err := c.askOnce(r, disconnectAfter)
	for range 4 {
		if got == nil || len(got.events) == 0 || got.done() {
			break
		}
		// The reader disconnected; the answer is resumed some time later.
		time.Sleep(time.Duration(c.rng.IntN(800)) * time.Millisecond)
		var rest *eventCollector
		rest, err = c.resume(r, got)
		if rest != nil {
			got = rest
		}
	}
	if err != nil {
		return nil, err
	}
	return got, got.failure()
}

// askOnce sends a turn to some home.
func (c *caller) askOnce(r structs.TurnRequest, disconnectAfter int) (*eventCollector, error) {
	var arrived atomic.Pointer[eventCollector]
	err := c.attempt(func(ctx context.Context, d *daemon, id string) error {
		r := r
		r.RequestID = id
		mine := &eventCollector{disconnectAfter: disconnectAfter}
		err := d.Turn(ctx, r, mine.sink)
		arrived.Store(mine)
		return err
	})
	got := arrived.Load()
	if got != nil && len(got.events) > 0 && !got.done() {
		return got, err
	}
	if err != nil {
		return nil, err
	}
	return got, got.failure()
}

// resume requests the rest of an answer from any home, and returns all events received
// so far.
func (c *caller) resume(r structs.TurnRequest, got *eventCollector) (*eventCollector, error) {
	var arrived atomic.Pointer[eventCollector]
	err := c.attempt(func(ctx context.Context, d *daemon, _ string) error {
		mine := &eventCollector{disconnectAfter: -1}
		err := d.Resume(ctx, structs.ResumeRequest{Program: r.Program, Turn: r.Turn, After: len(got.events), Run: got.events[0].Run}, mine.sink)
		arrived.Store(mine)
		return err
	})
	if err != nil {
		return nil, err
	}
	rest := arrived.Load()
	if len(rest.events) > 0 && rest.events[0].Seq == 1 {
		return rest, rest.failure()
	}
	whole := &eventCollector{disconnectAfter: -1, events: append(slices.Clone(got.events), rest.events...)}
	return whole, whole.failure()
}

// checkWhole checks the events of a finished answer and returns its text.
func (c *caller) checkWhole(turn int, got *eventCollector) string {
	for i, e := range got.events {
		last := i == len(got.events)-1
		if e.Seq != i+1 || e.Run != got.events[0].Run || e.Done != last {
			c.sim.reportViolation("whole answers: %s turn %d event %d is %+v of %d", c.id, turn, i, e, len(got.events))
			return ""
		}
	}
	text := got.text()
	cut := text == "" && c.sim.plan.budget() < simBudgetTokens
	if !cut && !isWholeAnswer(text, c.id, turn) {
		c.sim.reportViolation("whole answers: %s turn %d is %q", c.id, turn, text)
	}
	c.sim.checkAnswer(c.id, turn, text)
	c.sim.checkDurable(c.id, turn)
	return text
}

// accept checks a finished answer and appends it to the history.
func (c *caller) accept(turn int, got *eventCollector) {
	text := c.checkWhole(turn, got)
	var previous []byte
	if len(c.history) > 0 {
		previous = c.history[len(c.history)-1].Digest
	}
	messages := turnRequest(c.id, turn).Messages
	digest := journal.NextDigest(previous, c.id, turn, messages, text)
	if last := got.events[len(got.events)-1]; last.Digest != hex.EncodeToString(digest) {
		c.sim.reportViolation("history: %s turn %d has another digest than its caller's copy", c.id, turn)
	}
	c.history = append(c.history, journal.Turn{Number: turn, Messages: messages, Answer: text, Digest: digest})
	c.sim.locked(func() { c.sim.total.Turns++ })
}

// adoptStoredAnswer replaces the caller's answer of a turn by the stored one. A turn
// can have two answers only if the first was delivered during an outage and the turn
// was sent again before the first answer was stored or resent.
func (c *caller) adoptStoredAnswer(turn int) bool {
	c.sim.mu.Lock()
	outage := c.sim.outage
	c.sim.total.Adopted++
	c.sim.mu.Unlock()
	if !outage || turn < 1 {
		c.sim.reportViolation("history: %s turn %d differs from its caller's copy without an outage", c.id, turn)
		return false
	}
	c.history = c.history[:turn-1]
	got, err := c.ask(c.turnRequest(turn))
	if err != nil {
		return false
	}
	c.accept(turn, got)
	return true
}

// resend prepends the history from a turn on to the new messages.
func (c *caller) resend(r structs.TurnRequest, from int) structs.TurnRequest {
	var messages []structs.Message
	for _, turn := range c.history[from-1:] {
		messages = append(messages, turn.Messages...)
		messages = append(messages, structs.Message{Role: "assistant", Content: turn.Answer})
	}
	r.Messages = append(messages, r.Messages...)
	r.ResendFrom = from
	return r
}

// end ends the program and records when the end was acknowledged.
func (c *caller) end() {
	for range maxAttempts {
		err := c.attempt(func(ctx context.Context, d *daemon, _ string) error { return d.End(ctx, c.id) })
		if err == nil {
			c.sim.mu.Lock()
			c.sim.ended[c.id] = time.Now()
			c.sim.total.Ended++
			c.sim.mu.Unlock()
			return
		}
		c.backoff()
	}
	c.sim.reportViolation("program %s could not be ended", c.id)
}
