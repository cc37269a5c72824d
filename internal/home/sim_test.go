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

// TestPromisesUnderRandomSchedules runs callers against homes that are killed, paused,
// isolated and replaced, over a platform that fails. It checks the order of turns,
// history, budget, whole answers, at-most-once calls, correct refusals and the release
// of the KV cache.
func TestPromisesUnderRandomSchedules(t *testing.T) {
	setFlag(t, "rapid.checks", strconv.Itoa(*schedules))
	setFlag(t, "rapid.seed", strconv.FormatUint(*seed, 10))
	setFlag(t, "rapid.nofailfile", "true")
	total := &scheduleTotals{}
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

// scheduleTotals counts what the schedules exercised, to show that they do real work. A
// step is an event of a schedule or a request of a caller to a home.
type scheduleTotals struct {
	Turns, Calls, Sends, MayHaveRun, NotRun, Gaps, Claims, Ended, Adopted, Imports, Steps int
}

// sim is one run of a schedule.
type sim struct {
	*cluster
	plan  schedule
	total *scheduleTotals

	mu            sync.Mutex
	processes     map[string]*process
	violation     string
	notRun        []string
	prompts       map[string][]string // permitted prompts, by turnID
	calls         map[string]*callOutcomes
	ended         map[string]time.Time
	lastGenerated map[string]time.Time // end of the last generation or import, by program
	outage        bool
	generateFault int
	sendFault     int
	forgetFaults  int // number of release orders that will fail
	answers       map[string]string
}

// outageStep is the unit of the length of an outage, which lasts one to three of them.
const outageStep = 1200 * time.Millisecond

// releaseTimeout is the time after the last fault within which all releases must be
// confirmed.
const releaseTimeout = 10 * time.Second

const (
	simBudgetTokens = 5000
	simBudgetCalls  = 6
	// minTightBudgetTokens is the smallest of the budgets that programs use up.
	minTightBudgetTokens = 600
)

// budget returns the budget of each program in tokens. In half of the schedules the
// programs use it up.
func (p schedule) budget() int {
	if p.seed%2 == 0 {
		return simBudgetTokens
	}
	return minTightBudgetTokens + int(uint64(p.seed)%8)*200
}

// newSim returns the cluster of a schedule, without homes.
func newSim(plan schedule, total *scheduleTotals) *sim {
	cl := newCluster()
	cl.cfg.CommitInterval = 10 * time.Millisecond
	cl.cfg.UpkeepInterval = time.Second
	cl.cfg.GrantTokens = 300
	cl.cfg.GrantCalls = 1
	cl.cfg.Journal.TailBytes = 600
	cl.cfg.Journal.MaxBlocks = 2
	cl.entries.put(structs.Entry{Name: "desk", Owner: "weavers", Share: 1, BudgetTokens: plan.budget(), BudgetCalls: simBudgetCalls})
	cl.membership.servers = engines
	s := &sim{
		cluster:       cl,
		plan:          plan,
		total:         total,
		processes:     map[string]*process{},
		prompts:       map[string][]string{},
		calls:         map[string]*callOutcomes{},
		ended:         map[string]time.Time{},
		lastGenerated: map[string]time.Time{},
		answers:       map[string]string{},
	}
	cl.backends.lookup = plan.seed%3 == 0
	cl.backends.pieceInterval = time.Duration(uint64(plan.seed)%4) * 20 * time.Millisecond
	cl.backends.checkPrompt = s.checkPrompt
	cl.backends.onSend = s.faultSend
	cl.backends.onForget = s.faultForget
	cl.backends.rotateEngines = true
	cl.backends.onGenerate = s.faultGenerate
	cl.backends.onImport = s.recordImport
	cl.reportViolation = s.reportViolation
	return s
}

// runSchedule runs a schedule and returns the first violation, or "".
func runSchedule(plan schedule, total *scheduleTotals) string {
	s := newSim(plan, total)
	for _, name := range homeNames[:2] {
		s.launch(name)
	}
	watching := make(chan struct{})
	go s.recordOutages(watching)
	var callers sync.WaitGroup
	for i := range plan.callers {
		c := newCaller(s, programID(fmt.Sprintf("p%d", i)), "", plan.seed+int64(i))
		callers.Go(c.run)
	}
	for _, o := range plan.ops {
		time.Sleep(o.wait)
		s.apply(o)
	}
	time.Sleep(time.Second)
	s.heal()
	callers.Wait()
	time.Sleep(releaseTimeout)
	close(watching)
	s.countClaims()
	s.checkEnd()
	s.finish()
	return s.violation
}

// countClaims counts how often the shard changed its holder.
func (s *sim) countClaims() {
	head, err := journal.Read(context.Background(), s.objects, structs.ShardID(testRegion+".0"))
	if err == nil {
		s.total.Claims += int(head.State.Epoch)
	}
}

// reportViolation records the first violation.
func (s *sim) reportViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// Open implements peer.Dialer. A dead process is unreachable, and a paused one does not
// answer.
func (s *sim) Open(ctx context.Context, name, method string) (peer.Stream, error) {
	p := s.process(name)
	if p == nil || p.isDead() {
		return nil, verdict.Refuse(verdict.PeerLost, "%s is not reachable", name)
	}
	if p.isPaused() {
		<-ctx.Done()
		return nil, verdict.New(verdict.MayHaveRun, verdict.PeerLost, "%s does not answer", name)
	}
	return s.cluster.Open(ctx, name, method)
}

// launch starts a process with the given name unless one is running.
func (s *sim) launch(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.processes[name]; ok {
		if !old.isDead() {
			return
		}
		s.reap(name)
	}
	p := newProcess(s.cluster, name)
	s.processes[name] = p
	s.startWith(name, func(d *Deps) {
		d.Store = &faultyStore{Store: s.objects, process: p}
		d.Router = &faultyBackends{backends: s.backends, process: p}
		d.Sender = d.Router.(*faultyBackends)
		d.Dialer = s
	})
}

// reap stops the goroutines of a dead process.
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

// finish stops all processes.
func (s *sim) finish() {
	close(s.backends.closing)
	for _, name := range homeNames {
		s.mu.Lock()
		s.reap(name)
		s.mu.Unlock()
	}
	// Delayed writes of the store must finish before the synctest bubble does.
	time.Sleep(time.Minute)
}

// recordImport records that an engine imported KV cache for a program.
func (s *sim) recordImport(program string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastGenerated[program] = time.Now()
	s.total.Imports++
}

// maxAttempts bounds the attempts of one request, attemptTimeout the duration of one
// attempt.
const (
	maxAttempts    = 150
	attemptTimeout = 1500 * time.Millisecond
	turnsPerCaller = 4
)
