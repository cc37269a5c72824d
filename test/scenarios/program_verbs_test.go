package scenarios

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"ibisline/internal/caller"
	"ibisline/internal/fake/engine"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// defaultMaxTokens is the max_tokens of a turn without the option "tokens".
const defaultMaxTokens = 256

// open is "open PROGRAM ENTRY DAEMON [parent=PROGRAM] [want=VERDICT:REASON]".
func open(_ *testscript.TestScript, s *scriptEnv, raw []string) error {
	a := parse(raw)
	request := structs.OpenRequest{Entry: a.word(1)}
	if name, ok := a.options["parent"]; ok {
		parent, err := s.program(name)
		if err != nil {
			return err
		}
		request.Parent = parent.id
	}
	id, err := s.clients(a.word(2)).Open(s.ctx, request)
	if err := checkOutcome(a, err); err != nil || a.options["want"] != "" {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.programs[a.word(0)] = &program{id: id}
	return nil
}

// checkOutcome compares an error with want=VERDICT:REASON or want=VERDICT.
// Without the option it returns the error unchanged.
func checkOutcome(a args, err error) error {
	want := a.options["want"]
	if want == "" {
		return err
	}
	if err == nil {
		return errors.Errorf("request succeeded, want %s", want)
	}
	failure := verdict.From(err)
	got := fmt.Sprintf("%s:%s", failure.Verdict, failure.Reason)
	if got != want && failure.Verdict.String() != want {
		return errors.Errorf("got %s, want %s: %v", got, want, err)
	}
	return nil
}

// turn is "turn PROGRAM DAEMON [out=N] [tokens=N] [text=TEXT] [deadline=MS]
// [want=VERDICT:REASON] [within=DURATION] [retry] [bg=NAME]". It runs the next
// turn and compares the answer with the one expected for the whole history. With
// "retry" the turn is sent again after an error; with bg it runs in the background
// until "join NAME".
func turn(_ *testscript.TestScript, s *scriptEnv, raw []string) error {
	a := parse(raw)
	p, err := s.program(a.word(0))
	if err != nil {
		return err
	}
	request, err := p.nextRequest(a)
	if err != nil {
		return err
	}
	send := func() error {
		return withTimeLimit(a, func() error { return s.send(a, p, request) })
	}
	return s.runOrBackground(a, send)
}

// runOrBackground runs work, in the background if the option bg is given.
func (s *scriptEnv) runOrBackground(a args, work func() error) error {
	name, ok := a.options["bg"]
	if !ok {
		return work()
	}
	done := make(chan error, 1)
	s.jobs[name] = done
	go func() { done <- work() }()
	return nil
}

// join is "join NAME". It waits for a background turn or call and returns its error.
func join(_ *testscript.TestScript, s *scriptEnv, raw []string) error {
	name := parse(raw).word(0)
	done, ok := s.jobs[name]
	if !ok {
		return errors.Errorf("no background turn or call %q", name)
	}
	select {
	case err := <-done:
		return err
	case <-time.After(conditionTimeout):
		return errors.Errorf("%s has not finished after %s", name, conditionTimeout)
	}
}

// withTimeLimit runs work and fails if it takes longer than the option "within".
func withTimeLimit(a args, work func() error) error {
	text, ok := a.options["within"]
	if !ok {
		return work()
	}
	limit, err := time.ParseDuration(text)
	if err != nil {
		return errors.Wrap(err, "parse option within")
	}
	start := time.Now()
	if err := work(); err != nil {
		return err
	}
	if took := time.Since(start); took > limit {
		return errors.Errorf("took %s, want at most %s", took, limit)
	}
	return nil
}

// nextRequest returns the request for the program's next turn.
func (p *program) nextRequest(a args) (structs.TurnRequest, error) {
	out, err := a.number("out", 8)
	if err != nil {
		return structs.TurnRequest{}, err
	}
	tokens, err := a.number("tokens", defaultMaxTokens)
	if err != nil {
		return structs.TurnRequest{}, err
	}
	deadline, err := a.number("deadline", 0)
	if err != nil {
		return structs.TurnRequest{}, err
	}
	number := p.turn + 1
	content := fmt.Sprintf("%s step %d [out=%d]", a.options["text"], number, out)
	return structs.TurnRequest{
		Program:    p.id,
		Turn:       number,
		Messages:   []structs.Message{{Role: "user", Content: content}},
		Model:      "base",
		MaxTokens:  tokens,
		DeadlineMS: deadline,
	}, nil
}

// send sends a turn through a daemon and checks its outcome.
func (s *scriptEnv) send(a args, p *program, request structs.TurnRequest) error {
	client := s.clients(a.word(1))
	answer, err := client.Turn(s.ctx, request)
	if a.word(2) == "retry" {
		answer, err = s.retry(client, request, answer, err)
	}
	if err := checkOutcome(a, err); err != nil || a.options["want"] != "" {
		return err
	}
	return p.check(request, answer)
}

// retry sends a failed turn again until it succeeds. Turns are idempotent, so a
// caller may repeat any of them.
func (s *scriptEnv) retry(
	c *caller.Client, request structs.TurnRequest, answer caller.Answer, err error,
) (caller.Answer, error) {
	if err == nil {
		return answer, nil
	}
	err = s.wait(func() error {
		answer, err = c.Turn(s.ctx, request)
		return err
	})
	return answer, err
}

// check compares an answer with the one expected for the program's whole history,
// and appends the turn to the history.
func (p *program) check(request structs.TurnRequest, answer caller.Answer) error {
	prompt := append(append([]structs.Message{}, p.history...), request.Messages...)
	want, _ := engine.Answer(prompt, request.MaxTokens)
	if answer.Text != want {
		return errors.Errorf("turn %d answered %q, want %q", request.Turn, answer.Text, want)
	}
	p.turn = request.Turn
	p.history = append(prompt, structs.Message{Role: "assistant", Content: answer.Text})
	return nil
}

// call is "call PROGRAM DAEMON SERVICE KEY [retry] [repeatable=true] [timeout=MS]
// [want=ran|VERDICT:REASON] [status=N] [replayed=BOOL] [within=DURATION]
// [bg=NAME]". With "retry" the call is sent again as long as its verdict is not_run.
func call(_ *testscript.TestScript, s *scriptEnv, raw []string) error {
	a := parse(raw)
	p, err := s.program(a.word(0))
	if err != nil {
		return err
	}
	timeout, err := a.number("timeout", 0)
	if err != nil {
		return err
	}
	request := structs.CallRequest{
		Program:    p.id,
		Turn:       p.turn,
		Key:        a.word(3),
		Service:    a.word(2),
		Path:       "/orders",
		Body:       []byte("body of " + a.word(3)),
		Repeatable: a.options["repeatable"] == "true",
		TimeoutMS:  timeout,
	}
	send := func() error {
		return withTimeLimit(a, func() error { return s.sendCall(a, request) })
	}
	return s.runOrBackground(a, send)
}

func (s *scriptEnv) sendCall(a args, request structs.CallRequest) error {
	reply, err := s.callWithRetry(a, request)
	if a.options["want"] != "ran" {
		return checkOutcome(a, err)
	}
	if err != nil {
		return err
	}
	return checkCallReply(a, request, reply)
}

// callWithRetry sends a call; with "retry" it sends it again while the verdict is
// not_run.
func (s *scriptEnv) callWithRetry(a args, request structs.CallRequest) (reply structs.CallReply, err error) {
	client := s.clients(a.word(1))
	if a.word(4) != "retry" {
		return client.Call(s.ctx, request)
	}
	refusal := s.wait(func() error {
		reply, err = client.Call(s.ctx, request)
		if verdict.Is(err, verdict.NotRun) {
			return err
		}
		return nil
	})
	if refusal != nil {
		return reply, refusal
	}
	return reply, err
}

// checkCallReply checks the reply to a call with want=ran.
func checkCallReply(a args, request structs.CallRequest, reply structs.CallReply) error {
	if reply.Verdict != verdict.Ran {
		return errors.Errorf("verdict %s, want ran", reply.Verdict)
	}
	status, err := a.number("status", http.StatusOK)
	if err != nil {
		return err
	}
	if reply.Status != status {
		return errors.Errorf("status %d, want %d", reply.Status, status)
	}
	if status == http.StatusOK && !strings.Contains(string(reply.Body), "body of "+request.Key) {
		return errors.Errorf("reply belongs to another call: %s", reply.Body)
	}
	if text, ok := a.options["replayed"]; ok && text != fmt.Sprint(reply.Replayed) {
		return errors.Errorf("replayed is %t, want %s", reply.Replayed, text)
	}
	return nil
}

// end is "end PROGRAM DAEMON".
func end(_ *testscript.TestScript, s *scriptEnv, raw []string) error {
	a := parse(raw)
	p, err := s.program(a.word(0))
	if err != nil {
		return err
	}
	return s.wait(func() error { return s.clients(a.word(1)).End(s.ctx, p.id) })
}

// findHome is "find-home PROGRAM DAEMON VARIABLE". It asks a daemon for the
// program's home, and sets VARIABLE to the home and VARIABLE_OTHER to another
// running daemon.
func findHome(ts *testscript.TestScript, s *scriptEnv, raw []string) error {
	a := parse(raw)
	p, err := s.program(a.word(0))
	if err != nil {
		return err
	}
	state, err := s.clients(a.word(1)).State(s.ctx, p.id)
	if err != nil {
		return err
	}
	ts.Setenv(a.word(2), state.Home)
	for _, name := range s.fleet.Daemons() {
		if name != state.Home {
			ts.Setenv(a.word(2)+"_OTHER", name)
			break
		}
	}
	return nil
}
