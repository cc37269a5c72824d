package crashguard_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ibisline/internal/crashguard"
	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/testbed"
)

func TestMain(m *testing.M) { testbed.Main(m, testbed.DefaultSchedules) }

// scheduleDaemons is the number of daemons in random schedules.
const scheduleDaemons = 6

// stepKind is the action of a step of a schedule.
type stepKind string

const (
	crash          stepKind = "crash"
	completion     stepKind = "completion"
	restartOne     stepKind = "restart of a daemon"
	restartEvery   stepKind = "restart of all daemons"
	silenceOne     stepKind = "daemon cut off from the others"
	reconnect      stepKind = "daemons reconnected"
	platformOut    stepKind = "outage of the platform"
	platformBack   stepKind = "end of the outage"
	loseReply      stepKind = "lost reply of the platform"
	lateWrite      stepKind = "late write of the platform"
	compactHistory stepKind = "history compacted"
)

// step is one action, followed by a wait.
type step struct {
	Kind    stepKind
	Daemon  int
	Request crashguard.Fingerprint
	WaitMS  int
}

var stepGen = rapid.Custom(func(t *rapid.T) step {
	return step{
		Kind: rapid.SampledFrom([]stepKind{
			crash, crash, crash, crash, crash, completion, restartOne, restartOne, restartEvery, silenceOne, reconnect,
			platformOut, platformBack, loseReply, lateWrite, compactHistory,
		}).Draw(t, "kind"),
		Daemon:  rapid.IntRange(0, scheduleDaemons-1).Draw(t, "daemon"),
		Request: rapid.SampledFrom([]crashguard.Fingerprint{1, 2}).Draw(t, "request"),
		WaitMS:  rapid.SampledFrom([]int{0, 100, 1500, 4000}).Draw(t, "wait"),
	}
})

// schedule is the state of a random schedule.
type schedule struct {
	*fleet
	crashes map[crashguard.Fingerprint]int
	// silent is the daemon that is cut off, "" if none is.
	silent string
	server int
}

// Guards against a crash that a daemon has seen and that some daemon does not count in the end,
// whatever is lost meanwhile: one memory of the crash always remains, in a daemon or at the platform.
func TestNoCrashIsForgotten(t *testing.T) {
	testbed.Schedules[step]{Shards: 4, Steps: stepGen, MaxSteps: 14, Run: runSchedule}.Check(t)
}

// runSchedule runs the steps and returns the first violation, "" if there is none.
func runSchedule(_ *testing.T, steps []step, _ int64) string {
	s := &schedule{fleet: newFleet(scheduleDaemons), crashes: map[crashguard.Fingerprint]int{}}
	defer s.stop()
	s.exchangeMarks(1)
	for _, next := range steps {
		s.runStep(next)
	}
	s.reconnect()
	s.store.SetFaults(objects.Faults{})
	s.exchangeMarks(4)
	for request, crashes := range s.crashes {
		refusing, expected := s.refusing(request), 0
		if crashes >= 3 {
			expected = scheduleDaemons
		}
		if refusing != expected {
			return fmt.Sprintf("%d of %d daemons refuse request %d after %d crashes", refusing, scheduleDaemons, request, crashes)
		}
	}
	return ""
}

// runStep runs one step. Daemons lose their memory only while the platform works or others that
// they reach remember.
func (s *schedule) runStep(next step) {
	faults := s.store.Faults()
	name := s.names[next.Daemon]
	switch next.Kind {
	case crash:
		s.server++
		s.crashes[next.Request]++
		s.breakConnection(name, next.Request, engine(s.server).Name, 1)
	case completion:
		s.settle()
		if s.silent == "" {
			s.crashes[next.Request] = 0
			s.guards[name].RecordCompletion(next.Request)
			time.Sleep(completionLifetime)
			s.settle()
		}
	case restartOne:
		s.settle()
		if !faults.Outage || s.silent == "" {
			s.start(name)
		}
	case restartEvery:
		s.settle()
		if !faults.Outage {
			s.restartAll()
		}
	case silenceOne:
		if s.silent == "" {
			s.silence(name)
			s.silent = name
		}
	case reconnect:
		s.reconnect()
	case platformOut, platformBack:
		faults.Outage = next.Kind == platformOut
		s.store.SetFaults(faults)
	case loseReply, lateWrite:
		faults.LateBy = 700 * time.Millisecond
		if next.Kind == loseReply {
			faults.LoseReplies++
		} else {
			faults.LateWrites++
		}
		s.store.SetFaults(faults)
	case compactHistory:
		s.store.Compact()
	}
	time.Sleep(time.Duration(next.WaitMS) * time.Millisecond)
}

// settle gives the fleet the time in which a crash reaches the others or the platform.
func (s *schedule) settle() { s.exchangeMarks(3) }

// reconnect ends the cut of a daemon.
func (s *schedule) reconnect() {
	if s.silent == "" {
		return
	}
	for _, other := range s.names {
		s.network.Cut(s.silent, other, false)
		s.network.Cut(other, s.silent, false)
	}
	s.silent = ""
}
