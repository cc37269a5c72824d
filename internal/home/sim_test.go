package home

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"sync"
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
	Turns, Calls, Sends, MayHaveRun, NotRun, Gaps, Claims, Ended, Adopted, Imports, Steps int
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

// newSim returns the world of a schedule, without homes.
func newSim(plan schedule, total *tally) *sim {
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
	w.backends.onImport = s.noteImport
	w.violate = s.violate
	return s
}

// runSchedule runs a schedule and returns the first broken promise, or "".
func runSchedule(plan schedule, total *tally) string {
	s := newSim(plan, total)
	for _, name := range homeNames[:2] {
		s.launch(name)
	}
	watching := make(chan struct{})
	go s.watchOutages(watching)
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
	close(watching)
	s.countClaims()
	s.checkEnd()
	s.finish()
	return s.violation
}

// watchOutages notes when a home had no answered write for so long that it may
// give final events without a stored turn.
func (s *sim) watchOutages(end <-chan struct{}) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-end:
			return
		case <-ticker.C:
			s.noteOutage()
		}
	}
}

// watchInterval is shorter than the time that a home counts as an outage.
const watchInterval = 50 * time.Millisecond

// noteOutage looks for an outage once.
func (s *sim) noteOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if p.outage(defaultOutageGrace - watchInterval) {
			s.outage = true
		}
	}
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
	if p == nil && o.kind < opOutage && o.kind != opStart {
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
		if p != nil {
			p.arm(point(o.kind - opCrashAtPut))
		}
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
		s.objects.SetFaults(f)
		time.Sleep(time.Duration(o.n) * outageStep)
	case opSlow:
		f.Slow = time.Duration(o.n) * 200 * time.Millisecond
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

// noteImport notes that an engine took memory for a program.
func (s *sim) noteImport(program string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generated[program] = time.Now()
	s.total.Imports++
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

// patience bounds the attempts of one request, attemptFor the time of one.
const (
	patience   = 150
	attemptFor = 1500 * time.Millisecond
	callerTurn = 4
)

func (p *process) isPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused != nil
}
