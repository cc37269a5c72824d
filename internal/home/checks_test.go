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

// callFacts is what callers learned of one key.
type callFacts struct {
	attempts int
	notRun   int
	ran      int
	// twins is set when two requests with the key were under way at once.
	twins bool
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

// noteGap checks that history is missing only after an outage.
func (s *sim) noteGap(program string, turn int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total.Gaps++
	if !s.outage && s.violation == "" {
		s.violation = fmt.Sprintf("history: %s turn %d met a gap without an outage", program, turn)
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
