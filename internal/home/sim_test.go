package home

import (
	"context"
	"encoding/hex"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"ibisline/internal/fake/objects"
	"ibisline/internal/journal"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

var (
	schedules = flag.Int("schedules", defaultSchedules, "number of random schedules")
	seed      = flag.Uint64("seed", 1, "seed of the random schedules")
)

// TestPromisesUnderRandomSchedules runs callers against homes that are killed,
// paused, cut off and replaced, over a platform that fails, and checks order,
// history, budget, whole answers, at most once, true refusals and the release
// of engine memory.
func TestPromisesUnderRandomSchedules(t *testing.T) {
	setFlag(t, "rapid.checks", strconv.Itoa(*schedules))
	setFlag(t, "rapid.seed", strconv.FormatUint(*seed, 10))
	setFlag(t, "rapid.nofailfile", "true")
	total := &tally{}
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawSchedule(rt)
		var violation string
		synctest.Test(t, func(*testing.T) { violation = runSchedule(plan, total) })
		if violation != "" {
			rt.Fatalf("%s", violation)
		}
	})
	t.Logf("schedules %d, seed %d: %+v", *schedules, *seed, *total)
}

func setFlag(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}

// tally counts what the schedules reached, to show that they are not idle. A
// step is an event of a schedule or a request of a caller to a home.
type tally struct {
	Turns, Calls, Sends, MayHaveRun, NotRun, Gaps, Claims, Ended, Adopted, Steps int
}

// sim is one run of a schedule.
type sim struct {
	*world
	plan  schedule
	total *tally

	mu        sync.Mutex
	processes map[string]*process
	violation string
	notRun    []string
	prompts   map[string][]string // expected prompts by turn
	calls     map[string]*callFacts
	ended     map[string]time.Time
	generated map[string]time.Time // end of a program's last generation
	outage    bool
	failures  int
	sendFault int
	forgets   int // release orders that are going to fail
	answers   map[string]string
}

// callFacts is what callers learned of one key.
type callFacts struct {
	attempts int
	notRun   int
	ran      int
	// twins is set when two requests with the key were under way at once.
	twins bool
}

// outageStep is the least length of an outage, times up to three.
const outageStep = 1200 * time.Millisecond

// settleFor is the time in which releases must be confirmed after all faults.
const settleFor = 10 * time.Second

const (
	simBudgetTokens = 5000
	simBudgetCalls  = 6
	// tightTokens is the least of the budgets that programs use up.
	tightTokens = 600
)

// budget is the budget of each program in tokens. Half of the schedules have
// one that is used up.
func (p schedule) budget() int {
	if p.seed%2 == 0 {
		return simBudgetTokens
	}
	return tightTokens + int(uint64(p.seed)%8)*200
}

func runSchedule(plan schedule, total *tally) string {
	w := newWorld()
	w.cfg.CommitInterval = 10 * time.Millisecond
	w.cfg.Tick = time.Second
	w.cfg.GrantTokens = 300
	w.cfg.GrantCalls = 1
	w.cfg.Journal.TailBytes = 600
	w.cfg.Journal.MaxBlocks = 2
	w.entries.put(structs.Entry{Name: "desk", Owner: "weavers", Share: 1, BudgetTokens: plan.budget(), BudgetCalls: simBudgetCalls})
	w.live.servers = engines
	s := &sim{
		world:     w,
		plan:      plan,
		total:     total,
		processes: map[string]*process{},
		prompts:   map[string][]string{},
		calls:     map[string]*callFacts{},
		ended:     map[string]time.Time{},
		generated: map[string]time.Time{},
		answers:   map[string]string{},
	}
	w.backends.lookup = plan.seed%3 == 0
	w.backends.tokenTime = time.Duration(uint64(plan.seed)%4) * 20 * time.Millisecond
	w.backends.check = s.checkPrompt
	w.backends.onSend = s.faultSend
	w.backends.onForget = s.faultForget
	w.backends.pickEngine = true
	w.backends.onGenerate = s.faultGenerate
	w.violate = s.violate
	for _, name := range homeNames[:2] {
		s.launch(name)
	}
	var callers sync.WaitGroup
	for i := range plan.callers {
		c := newCaller(s, programID(fmt.Sprintf("p%d", i)), "", plan.seed+int64(i))
		callers.Go(c.run)
	}
	for _, o := range plan.ops {
		time.Sleep(o.wait)
		s.play(o)
	}
	time.Sleep(time.Second)
	s.heal()
	callers.Wait()
	time.Sleep(settleFor)
	s.countClaims()
	s.checkEnd()
	s.finish()
	return s.violation
}

// countClaims notes how often the shard changed its holder.
func (s *sim) countClaims() {
	head, err := journal.Read(context.Background(), s.objects, structs.ShardID(testRegion+".0"))
	if err == nil {
		s.total.Claims += int(head.State.Epoch)
	}
}

// violate notes the first violation.
func (s *sim) violate(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// Open implements peer.Dialer: the dead do not answer, and the paused not yet.
func (s *sim) Open(ctx context.Context, name, method string) (peer.Stream, error) {
	p := s.process(name)
	if p == nil || p.isDead() {
		return nil, verdict.Refuse(verdict.PeerLost, "%s is not reachable", name)
	}
	if p.isPaused() {
		<-ctx.Done()
		return nil, verdict.New(verdict.MayHaveRun, verdict.PeerLost, "%s does not answer", name)
	}
	return s.world.Open(ctx, name, method)
}

// launch starts a process of the given name unless one runs.
func (s *sim) launch(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.processes[name]; ok {
		if !old.isDead() {
			return
		}
		s.reap(name)
	}
	p := newProcess(s.world, name)
	s.processes[name] = p
	s.startWith(name, func(d *Deps) {
		d.Store = &faultyStore{Store: s.objects, process: p}
		d.Router = &faultyBackends{backends: s.backends, process: p}
		d.Sender = d.Router.(*faultyBackends)
		d.Dialer = s
	})
}

// reap ends the goroutines of a dead process.
func (s *sim) reap(name string) {
	d := s.daemon(name)
	if d == nil {
		return
	}
	s.processes[name].kill()
	d.stop()
	s.dropDaemon(name)
}

func (p *process) isDead() bool {
	select {
	case <-p.dead:
		return true
	default:
		return false
	}
}

func (s *sim) process(name string) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[name]
}

// play makes one event happen.
func (s *sim) play(o op) {
	s.setFaults(func() { s.total.Steps++ })
	p := s.process(o.home)
	if p == nil && o.kind != opStart {
		return
	}
	switch o.kind {
	case opCrash:
		p.kill()
		s.live.remove(o.home)
	case opStart:
		s.launch(o.home)
	case opPause:
		p.pause()
		s.live.remove(o.home)
	case opResume:
		p.resume()
		if !p.isDead() {
			s.live.add(o.home)
		}
	case opDrain:
		s.drain(o.home)
	case opAlone:
		if d := s.daemon(o.home); d != nil {
			d.view.setAlone(o.n > 1)
		}
	case opCrashAtPut, opCrashAfterPut, opCrashAtSend, opCrashAfterSend, opCrashAtGenerate:
		p.arm(point(o.kind - opCrashAtPut))
	case opFailGenerate:
		s.setFaults(func() { s.failures = o.n })
	case opFailForget:
		s.setFaults(func() { s.forgets = 3 * o.n })
	case opFailSend:
		s.setFaults(func() { s.sendFault = o.n })
	default:
		s.playStore(o)
	}
}

func (s *sim) setFaults(set func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set()
}

// playStore makes a fault of the platform happen.
func (s *sim) playStore(o op) {
	f := s.objects.Faults()
	switch o.kind {
	case opOutage:
		f.Outage = true
		s.setFaults(func() { s.outage = true })
		s.objects.SetFaults(f)
		time.Sleep(time.Duration(o.n) * outageStep)
	case opSlow:
		f.Slow = time.Duration(o.n) * 200 * time.Millisecond
		if o.n > 1 {
			// Together with lost replies this lasts as long as an outage.
			s.setFaults(func() { s.outage = true })
		}
	case opLoseReplies:
		f.LoseReplies = o.n
	case opLateWrites:
		f.LateWrites = o.n
		f.LateBy = time.Duration(o.n*o.n) * 50 * time.Millisecond
	case opHeal:
		f = objects.Faults{}
	}
	s.objects.SetFaults(f)
}

// drain hands a home's shards over and ends it, as a planned stop does.
func (s *sim) drain(name string) {
	d, p := s.daemon(name), s.process(name)
	if d == nil || p.isDead() {
		return
	}
	s.live.leave(name)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		_ = d.Drain(ctx)
		p.kill()
		s.live.remove(name)
	}()
}

// heal ends all faults and leaves at least two live homes.
func (s *sim) heal() {
	s.objects.SetFaults(objects.Faults{})
	s.setFaults(func() { s.failures, s.sendFault = 0, 0 })
	for _, name := range homeNames {
		if p := s.process(name); p != nil {
			s.mu.Lock()
			p.mu.Lock()
			clear(p.armed)
			p.mu.Unlock()
			s.mu.Unlock()
			p.resume()
		}
		s.launch(name)
		if d := s.daemon(name); d != nil {
			d.view.setAlone(false)
			s.live.add(name)
		}
	}
}

// finish ends all processes.
func (s *sim) finish() {
	close(s.backends.closing)
	for _, name := range homeNames {
		s.mu.Lock()
		s.reap(name)
		s.mu.Unlock()
	}
	// Late timers of the store end before the bubble does.
	time.Sleep(time.Minute)
}

// expectPrompt allows a prompt for a turn.
func (s *sim) expectPrompt(id, prompt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prompts[id] = append(s.prompts[id], prompt)
}

// checkPrompt is called by the engine for each generation.
func (s *sim) checkPrompt(r structs.GenerateRequest, prompt string) {
	id := turnID(r.Program, r.Turn)
	s.mu.Lock()
	known := slices.Contains(s.prompts[id], prompt)
	s.mu.Unlock()
	if !known {
		s.violate("history: %s ran with prompt %q, its caller has %q", id, prompt, s.prompts[id])
	}
}

// faultGenerate plays failures of an engine.
func (s *sim) faultGenerate(r structs.GenerateRequest, begun bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !begun {
		if s.failures == 1 {
			s.failures = 0
			return verdict.Refuse(verdict.NoServer, "no engine")
		}
		return nil
	}
	s.generated[r.Program] = time.Now()
	if s.failures > 1 {
		s.failures = 0
		return verdict.New(verdict.MayHaveRun, verdict.BackendFailed, "engine failed")
	}
	return nil
}

// faultSend plays failures of a plain service.
func (s *sim) faultSend(_ structs.CallRequest, executed bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !executed && s.sendFault == 1:
		s.sendFault = 0
		return verdict.Refuse(verdict.BackendFailed, "connection refused")
	case !executed && s.sendFault == 2:
		s.sendFault = 0
		return verdict.New(verdict.MayHaveRun, verdict.BackendTimeout, "no answer")
	case executed && s.sendFault == 3:
		s.sendFault = 0
		return verdict.New(verdict.MayHaveRun, verdict.BackendTimeout, "answer lost")
	}
	return nil
}

// faultForget plays failures of release orders.
func (s *sim) faultForget() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.forgets == 0 {
		return nil
	}
	s.forgets--
	return verdict.New(verdict.MayHaveRun, verdict.BackendTimeout, "no answer to the release order")
}

// checkDurable checks that the turn of a final event is in the shard object. An
// outage is the only excuse.
func (s *sim) checkDurable(program string, turn int) {
	head, err := journal.Read(context.Background(), s.objects, structs.ShardID(testRegion+".0"))
	s.mu.Lock()
	outage := s.outage
	s.mu.Unlock()
	if outage || err != nil {
		return
	}
	if p := head.State.Programs[program]; p == nil || p.Turns < turn {
		s.violate("history: %s turn %d got its final event before it was stored", program, turn)
	}
}

// checkAnswer checks that all readers of a turn get the same answer. Two can
// exist only when the first was given during an outage and the turn was sent
// again before the first was stored or resent.
func (s *sim) checkAnswer(program string, turn int, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := turnID(program, turn)
	former, ok := s.answers[id]
	s.answers[id] = text
	if ok && former != text && !s.outage && s.violation == "" {
		s.violation = fmt.Sprintf("whole answers: %s was answered %q and %q", id, former, text)
	}
}

// checkEnd checks what must hold over the whole run.
func (s *sim) checkEnd() {
	b := s.backends
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, n := range b.sent {
		s.total.Sends += n
		if n > 1 {
			s.violate("at most once: call %s was sent %d times", key, n)
		}
	}
	for _, id := range s.notRun {
		if b.seen[id] {
			s.violate("true refusal: request %s was answered not_run and ran", id)
		}
	}
	for key, facts := range s.calls {
		if facts.attempts == facts.notRun && b.sent[key] > 0 {
			s.violate("true refusal: call %s was only ever refused and ran", key)
		}
		if facts.ran > 0 && b.sent[key] != 1 {
			s.violate("at most once: call %s was answered and sent %d times", key, b.sent[key])
		}
	}
	for root, used := range b.used {
		if used > s.plan.budget() {
			s.violate("budget: program %s used %d of %d tokens", root, used, s.plan.budget())
		}
	}
	for root, n := range b.callsOf {
		if n > simBudgetCalls {
			s.violate("budget: program %s made %d of %d calls", root, n, simBudgetCalls)
		}
	}
	for held := range b.held {
		_, program, _ := strings.Cut(held, "/")
		acknowledged, ended := s.ended[program]
		if ended && s.generated[program].Before(acknowledged) {
			s.violate("engine memory: program %s ended and its memory is still held: %s", program, held)
		}
	}
}

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

// patience bounds the attempts of one request, attemptFor the time of one.
const (
	patience   = 150
	attemptFor = 1500 * time.Millisecond
	callerTurn = 4
)

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

func (p *process) isPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused != nil
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

// noteGap checks that history is missing only after an outage.
func (s *sim) noteGap(program string, turn int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total.Gaps++
	if !s.outage && s.violation == "" {
		s.violation = fmt.Sprintf("history: %s turn %d met a gap without an outage", program, turn)
	}
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

// call orders something that must not be repeated, with repeats by the caller
// and sometimes at two homes at once.
func (c *caller) call(key string) {
	twins := 1
	if c.rng.IntN(4) == 0 {
		twins = 2
		c.sim.mu.Lock()
		c.sim.facts(c.id + "/" + key).twins = true
		c.sim.mu.Unlock()
	}
	var both sync.WaitGroup
	for range twins {
		twin := newCaller(c.sim, c.id, c.parent, c.rng.Int64())
		both.Go(func() { twin.callUntilKnown(key) })
	}
	both.Wait()
}

func (c *caller) callUntilKnown(key string) {
	unsure := 0
	for range patience {
		err := c.attempt(func(ctx context.Context, d *daemon, id string) error {
			r := callRequest(c.id, key)
			r.RequestID = id
			reply, err := d.Call(ctx, r)
			if err == nil && string(reply.Body) != "done "+key {
				c.sim.violate("whole answers: call %s got %q", key, reply.Body)
			}
			return err
		})
		c.noteCall(key, err)
		switch {
		case err == nil:
			return
		case verdict.HasReason(err, verdict.BudgetSpent), verdict.HasReason(err, verdict.ProgramEnded), verdict.HasReason(err, verdict.UnknownProgram):
			return
		case !verdict.Is(err, verdict.NotRun):
			unsure++
		}
		if unsure > 12 {
			return
		}
		c.backoff()
	}
}

func (c *caller) noteCall(key string, err error) {
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	facts := c.sim.facts(c.id + "/" + key)
	c.sim.total.Calls++
	c.sim.checkWithdrawn(c.id+"/"+key, facts, err)
	facts.attempts++
	switch {
	case err == nil:
		facts.ran++
	case verdict.Is(err, verdict.NotRun):
		facts.notRun++
	}
}

// facts returns what is known of a key. The caller holds mu.
func (s *sim) facts(key string) *callFacts {
	known := s.calls[key]
	if known == nil {
		known = &callFacts{}
		s.calls[key] = known
	}
	return known
}

// checkWithdrawn checks that a key whose requests were all answered not_run is
// not found as an intent. The caller holds mu.
func (s *sim) checkWithdrawn(key string, facts *callFacts, err error) {
	stored := verdict.Is(err, verdict.MayHaveRun) && strings.Contains(err.Error(), "was sent and its outcome is not known")
	if !stored || facts.twins || facts.attempts == 0 || facts.attempts != facts.notRun {
		return
	}
	if s.violation == "" {
		s.violation = fmt.Sprintf("true refusal: call %s was only ever refused and reads may_have_run", key)
	}
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
