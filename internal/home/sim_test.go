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

func (s *sim) process(name string) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[name]
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

// noteImport notes that an engine took memory for a program.
func (s *sim) noteImport(program string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generated[program] = time.Now()
	s.total.Imports++
}

// patience bounds the attempts of one request, attemptFor the time of one.
const (
	patience   = 150
	attemptFor = 1500 * time.Millisecond
	callerTurn = 4
)
