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

// caller is one program's client. It keeps the history as it was told.
type caller struct {
	sim     *sim
	rng     *rand.Rand
	id      string
	parent  string
	history []journal.Turn
	next    int
	over    bool
}

func newCaller(s *sim, id, parent string, seed int64) *caller {
	return &caller{sim: s, id: id, parent: parent, rng: rand.New(rand.NewPCG(uint64(seed), 7))}
}

// run drives the program from its opening to its end.
func (c *caller) run() {
	if err := c.open(); err != nil {
		return
	}
	var children sync.WaitGroup
	for turn := 1; turn <= callerTurn && !c.over; turn++ {
		c.turn(turn)
		if turn == 1 && c.parent == "" {
			child := newCaller(c.sim, c.id+"c", c.id, c.rng.Int64())
			children.Go(child.run)
		}
		if !c.over && c.rng.IntN(10) < 7 {
			c.call(fmt.Sprintf("k%d", turn))
		}
		time.Sleep(c.sim.plan.pace)
	}
	children.Wait()
	c.end()
}

// pick returns the home of the program's shard, or now and then any home.
func (c *caller) pick() *daemon {
	names := c.sim.live.all()
	if len(names) == 0 {
		return nil
	}
	if c.rng.IntN(6) == 0 {
		return c.sim.daemon(names[c.rng.IntN(len(names))])
	}
	return c.sim.daemon(c.sim.live.home(c.id))
}

// at asks one home. Its death and the caller's patience cut the answer off.
func (c *caller) at(d *daemon, ask func(ctx context.Context) error) error {
	p := c.sim.process(d.name)
	ctx, cancel := context.WithTimeout(context.Background(), attemptFor)
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

// requestID names one attempt.
func (c *caller) requestID() string {
	c.next++
	return fmt.Sprintf("%s/%d/%d", c.id, c.next, c.rng.Int64())
}

// attempt asks some home once and notes refusals.
func (c *caller) attempt(ask func(ctx context.Context, d *daemon, id string) error) error {
	d := c.pick()
	if d == nil {
		return errKilled
	}
	id := c.requestID()
	err := c.at(d, func(ctx context.Context) error { return ask(ctx, d, id) })
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
	for range patience {
		err = c.attempt(func(ctx context.Context, d *daemon, _ string) error {
			_, err := d.Open(ctx, structs.OpenRequest{Entry: "desk", Program: c.id, Parent: c.parent})
			return err
		})
		if err == nil || verdict.HasReason(err, verdict.ProgramEnded) {
			return err
		}
		c.backoff()
	}
	c.sim.violate("program %s could not be opened: %v", c.id, err)
	return err
}

// turnOf builds the request of a turn with the digest of the history.
func (c *caller) turnOf(turn int) structs.TurnRequest {
	r := turnRequest(c.id, turn)
	if len(c.history) > 0 {
		r.Digest = hex.EncodeToString(c.history[len(c.history)-1].Digest)
	}
	return r
}

// prompt is what an engine must be given for a request after the history.
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
	c.sim.expectPrompt(turnID(c.id, turn), c.prompt(c.turnOf(turn)))
	resendFrom, conflicts := 0, 0
	var last error
	for range patience {
		r := c.turnOf(turn)
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
			c.sim.noteGap(c.id, turn)
		case verdict.HasReason(err, verdict.BudgetSpent), verdict.HasReason(err, verdict.ProgramEnded):
			c.over = true
			return
		case verdict.HasReason(err, verdict.TurnConflict):
			conflicts++
			if conflicts == 20 && c.adopt(turn-1) {
				c.sim.expectPrompt(turnID(c.id, turn), c.prompt(c.turnOf(turn)))
			}
		}
		c.backoff()
	}
	c.over = true
	c.sim.violate("program %s turn %d never ended: %v", c.id, turn, last)
}

// twin sends the same turn once more at the same time.
func (c *caller) twin(r structs.TurnRequest) {
	other := newCaller(c.sim, c.id, c.parent, c.rng.Int64())
	go func() {
		got, err := other.askOnce(r, -1)
		if err == nil {
			other.checkWhole(r.Turn, got)
		}
	}()
}

// ask sends a turn, leaves its answer early now and then, and resumes it.
func (c *caller) ask(r structs.TurnRequest) (*collect, error) {
	if c.rng.IntN(5) == 0 {
		c.twin(r)
	}
	leaveAfter := -1
	if c.rng.IntN(3) == 0 {
		leaveAfter = 1 + c.rng.IntN(2)
	}
	got, err := c.askOnce(r, leaveAfter)
	for range 4 {
		if got == nil || len(got.events) == 0 || got.done() {
			break
		}
		// The reader left; the answer is resumed some time later.
		time.Sleep(time.Duration(c.rng.IntN(800)) * time.Millisecond)
		var rest *collect
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
func (c *caller) askOnce(r structs.TurnRequest, leaveAfter int) (*collect, error) {
	var arrived atomic.Pointer[collect]
	err := c.attempt(func(ctx context.Context, d *daemon, id string) error {
		r := r
		r.RequestID = id
		mine := &collect{leaveAfter: leaveAfter}
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

// resume gets the rest of an answer, from any home, and returns what there is.
func (c *caller) resume(r structs.TurnRequest, got *collect) (*collect, error) {
	var arrived atomic.Pointer[collect]
	err := c.attempt(func(ctx context.Context, d *daemon, _ string) error {
		mine := &collect{leaveAfter: -1}
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
	whole := &collect{leaveAfter: -1, events: append(slices.Clone(got.events), rest.events...)}
	return whole, whole.failure()
}

// checkWhole checks the events of a finished answer and returns its text.
func (c *caller) checkWhole(turn int, got *collect) string {
	for i, e := range got.events {
		last := i == len(got.events)-1
		if e.Seq != i+1 || e.Run != got.events[0].Run || e.Done != last {
			c.sim.violate("whole answers: %s turn %d event %d is %+v of %d", c.id, turn, i, e, len(got.events))
			return ""
		}
	}
	text := got.text()
	cut := text == "" && c.sim.plan.budget() < simBudgetTokens
	if !cut && !wholeText(text, c.id, turn) {
		c.sim.violate("whole answers: %s turn %d is %q", c.id, turn, text)
	}
	c.sim.checkAnswer(c.id, turn, text)
	c.sim.checkDurable(c.id, turn)
	return text
}

// accept checks a finished answer and appends it to the history.
func (c *caller) accept(turn int, got *collect) {
	text := c.checkWhole(turn, got)
	var former []byte
	if len(c.history) > 0 {
		former = c.history[len(c.history)-1].Digest
	}
	messages := turnRequest(c.id, turn).Messages
	digest := journal.NextDigest(former, c.id, turn, messages, text)
	if last := got.events[len(got.events)-1]; last.Digest != hex.EncodeToString(digest) {
		c.sim.violate("history: %s turn %d has another digest than its caller's copy", c.id, turn)
	}
	c.history = append(c.history, journal.Turn{Number: turn, Messages: messages, Answer: text, Digest: digest})
	c.sim.setFaults(func() { c.sim.total.Turns++ })
}

// adopt replaces the caller's answer of a turn by the stored one. Two answers
// of one turn can exist only when the first was given during an outage and the
// turn was sent again before the first was stored or resent.
func (c *caller) adopt(turn int) bool {
	c.sim.mu.Lock()
	outage := c.sim.outage
	c.sim.total.Adopted++
	c.sim.mu.Unlock()
	if !outage || turn < 1 {
		c.sim.violate("history: %s turn %d differs from its caller's copy without an outage", c.id, turn)
		return false
	}
	c.history = c.history[:turn-1]
	got, err := c.ask(c.turnOf(turn))
	if err != nil {
		return false
	}
	c.accept(turn, got)
	return true
}

// resend puts the history from a turn on before the new messages.
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

// end ends the program and notes when that was acknowledged.
func (c *caller) end() {
	for range patience {
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
	c.sim.violate("program %s could not be ended", c.id)
}
