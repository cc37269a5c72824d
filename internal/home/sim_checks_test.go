package home

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"ibisline/internal/journal"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// callOutcomes counts the results that callers received for one key.
type callOutcomes struct {
	attempts int
	notRun   int
	ran      int
	// concurrent is set if two requests with the key were in progress at once.
	concurrent bool
}

// expectPrompt adds a permitted prompt for a turn.
func (s *sim) expectPrompt(id, prompt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prompts[id] = append(s.prompts[id], prompt)
}

// checkPrompt checks the prompt of a generation; the engine calls it.
func (s *sim) checkPrompt(r structs.GenerateRequest, prompt string) {
	id := turnID(r.Program, r.Turn)
	s.mu.Lock()
	known := slices.Contains(s.prompts[id], prompt)
	s.mu.Unlock()
	if !known {
		s.reportViolation("history: %s ran with prompt %q, its caller has %q", id, prompt, s.prompts[id])
	}
}

// checkDurable checks that a turn whose final event was delivered is in the shard
// object, unless there was an outage.
func (s *sim) checkDurable(program string, turn int) {
	s.checkOutage()
	head, err := journal.Read(context.Background(), s.objects, structs.ShardID(testRegion+".0"))
	s.mu.Lock()
	outage := s.outage
	s.mu.Unlock()
	if outage || err != nil {
		return
	}
	if p := head.State.Programs[program]; p == nil || p.Turns < turn {
		s.reportViolation("history: %s turn %d got its final event before it was stored", program, turn)
	}
}

// checkAnswer checks that all readers of a turn receive the same answer. Two answers
// can exist only if the first was delivered during an outage and the turn was sent
// again before the first answer was stored or resent.
func (s *sim) checkAnswer(program string, turn int, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := turnID(program, turn)
	previous, ok := s.answers[id]
	s.answers[id] = text
	if ok && previous != text && !s.outage && s.violation == "" {
		s.violation = fmt.Sprintf("whole answers: %s was answered %q and %q", id, previous, text)
	}
}

// checkEnd checks the conditions that must hold over the whole run.
func (s *sim) checkEnd() {
	b := s.backends
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, n := range b.sent {
		s.total.Sends += n
		if n > 1 {
			s.reportViolation("at most once: call %s was sent %d times", key, n)
		}
	}
	for _, id := range s.notRun {
		if b.executed[id] {
			s.reportViolation("true refusal: request %s was answered not_run and ran", id)
		}
	}
	for key, outcomes := range s.calls {
		if outcomes.attempts == outcomes.notRun && b.sent[key] > 0 {
			s.reportViolation("true refusal: call %s was only ever refused and ran", key)
		}
		if outcomes.ran > 0 && b.sent[key] != 1 {
			s.reportViolation("at most once: call %s was answered and sent %d times", key, b.sent[key])
		}
	}
	for root, used := range b.usedTokens {
		if used > s.plan.budget() {
			s.reportViolation("budget: program %s used %d of %d tokens", root, used, s.plan.budget())
		}
	}
	for root, n := range b.callsByRoot {
		if n > simBudgetCalls {
			s.reportViolation("budget: program %s made %d of %d calls", root, n, simBudgetCalls)
		}
	}
	for held := range b.held {
		_, program, _ := strings.Cut(held, "/")
		acknowledged, ended := s.ended[program]
		if ended && s.lastGenerated[program].Before(acknowledged) {
			s.reportViolation("engine memory: program %s ended and its memory is still held: %s", program, held)
		}
	}
}

// recordGap counts a history gap and checks that it follows an outage.
func (s *sim) recordGap(program string, turn int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total.Gaps++
	if !s.outage && s.violation == "" {
		s.violation = fmt.Sprintf("history: %s turn %d met a gap without an outage", program, turn)
	}
}

// outcomesOf returns the outcomes of a key. The caller holds mu.
func (s *sim) outcomesOf(key string) *callOutcomes {
	known := s.calls[key]
	if known == nil {
		known = &callOutcomes{}
		s.calls[key] = known
	}
	return known
}

// checkWithdrawn checks that no intent exists for a key whose requests were all
// answered not_run. The caller holds mu.
func (s *sim) checkWithdrawn(key string, outcomes *callOutcomes, err error) {
	stored := verdict.Is(err, verdict.MayHaveRun) && strings.Contains(err.Error(), "was sent and its outcome is not known")
	if !stored || outcomes.concurrent || outcomes.attempts == 0 || outcomes.attempts != outcomes.notRun {
		return
	}
	if s.violation == "" {
		s.violation = fmt.Sprintf("true refusal: call %s was only ever refused and reads may_have_run", key)
	}
}
