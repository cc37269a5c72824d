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

// usualTokens is the max_tokens of turns.
const usualTokens = 256

// open is "open PROGRAM ENTRY DAEMON [parent=PROGRAM] [want=VERDICT:REASON]".
func open(_ *testscript.TestScript, w *world, raw []string) error {
	a := parse(raw)
	request := structs.OpenRequest{Entry: a.word(1)}
	if name, ok := a.options["parent"]; ok {
		parent, err := w.program(name)
		if err != nil {
			return err
		}
		request.Parent = parent.id
	}
	id, err := w.clients(a.word(2)).Open(w.ctx, request)
	if err := wanted(a, err); err != nil || a.options["want"] != "" {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.programs[a.word(0)] = &program{id: id}
	return nil
}

// wanted compares an outcome with want=VERDICT:REASON. Without the option it
// passes the error on.
func wanted(a args, err error) error {
	want := a.options["want"]
	if want == "" {
		return err
	}
	if err == nil {
		return errors.Errorf("succeeded, want %s", want)
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
// turn and checks the answer against the whole history. With "retry" the caller
// sends it again after errors; with bg it runs until "join NAME".
func turn(_ *testscript.TestScript, w *world, raw []string) error {
	a := parse(raw)
	p, err := w.program(a.word(0))
	if err != nil {
		return err
	}
	request, err := p.next(a)
	if err != nil {
		return err
	}
	send := func() error {
		return bounded(a, func() error { return w.send(a, p, request) })
	}
	return w.maybeBackground(a, send)
}

// maybeBackground runs work now, or in the background when bg is given.
func (w *world) maybeBackground(a args, work func() error) error {
	name, ok := a.options["bg"]
	if !ok {
		return work()
	}
	done := make(chan error, 1)
	w.jobs[name] = done
	go func() { done <- work() }()
	return nil
}

// join is "join NAME": waits for background work.
func join(_ *testscript.TestScript, w *world, raw []string) error {
	name := parse(raw).word(0)
	done, ok := w.jobs[name]
	if !ok {
		return errors.Errorf("no background work %q", name)
	}
	select {
	case err := <-done:
		return err
	case <-time.After(patience):
		return errors.Errorf("%s still runs after %s", name, patience)
	}
}

// bounded checks that work ends within the time of the option "within".
func bounded(a args, work func() error) error {
	text, ok := a.options["within"]
	if !ok {
		return work()
	}
	limit, err := time.ParseDuration(text)
	if err != nil {
		return errors.Wrap(err, "within")
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

// next returns the request for the program's next turn.
func (p *program) next(a args) (structs.TurnRequest, error) {
	out, err := a.number("out", 8)
	if err != nil {
		return structs.TurnRequest{}, err
	}
	tokens, err := a.number("tokens", usualTokens)
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

// send sends a turn and checks its outcome.
func (w *world) send(a args, p *program, request structs.TurnRequest) error {
	client := w.clients(a.word(1))
	answer, err := client.Turn(w.ctx, request)
	if a.word(2) == "retry" {
		answer, err = w.retry(client, request, answer, err)
	}
	if err := wanted(a, err); err != nil || a.options["want"] != "" {
		return err
	}
	return p.check(request, answer)
}

// retry sends a turn again until it succeeds, as a caller may do with any turn.
func (w *world) retry(c *caller.Client, request structs.TurnRequest, answer caller.Answer, err error) (caller.Answer, error) {
	if err == nil {
		return answer, nil
	}
	err = w.wait(func() error {
		answer, err = c.Turn(w.ctx, request)
		return err
	})
	return answer, err
}

// check compares an answer with the one to the program's whole history.
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
// [bg=NAME]". With "retry" the caller sends it again as long as it did not run.
func call(_ *testscript.TestScript, w *world, raw []string) error {
	a := parse(raw)
	p, err := w.program(a.word(0))
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
		return bounded(a, func() error { return w.sendCall(a, request) })
	}
	return w.maybeBackground(a, send)
}

func (w *world) sendCall(a args, request structs.CallRequest) error {
	reply, err := w.callUntilRun(a, request)
	if a.options["want"] != "ran" {
		return wanted(a, err)
	}
	if err != nil {
		return err
	}
	return checkCall(a, request, reply)
}

// callUntilRun sends a call, and with "retry" again after "not run".
func (w *world) callUntilRun(a args, request structs.CallRequest) (reply structs.CallReply, err error) {
	client := w.clients(a.word(1))
	if a.word(4) != "retry" {
		return client.Call(w.ctx, request)
	}
	refusal := w.wait(func() error {
		reply, err = client.Call(w.ctx, request)
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

// checkCall checks the answer to a call that ran.
func checkCall(a args, request structs.CallRequest, reply structs.CallReply) error {
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
		return errors.Errorf("another call's answer: %s", reply.Body)
	}
	if text, ok := a.options["replayed"]; ok && text != fmt.Sprint(reply.Replayed) {
		return errors.Errorf("replayed is %t, want %s", reply.Replayed, text)
	}
	return nil
}

// end is "end PROGRAM DAEMON".
func end(_ *testscript.TestScript, w *world, raw []string) error {
	a := parse(raw)
	p, err := w.program(a.word(0))
	if err != nil {
		return err
	}
	return w.wait(func() error { return w.clients(a.word(1)).End(w.ctx, p.id) })
}

// homeOf is "home PROGRAM DAEMON VARIABLE": it asks a daemon for the program's
// home, sets VARIABLE to it and VARIABLE_OTHER to another daemon that runs.
func homeOf(ts *testscript.TestScript, w *world, raw []string) error {
	a := parse(raw)
	p, err := w.program(a.word(0))
	if err != nil {
		return err
	}
	state, err := w.clients(a.word(1)).State(w.ctx, p.id)
	if err != nil {
		return err
	}
	ts.Setenv(a.word(2), state.Home)
	for _, name := range w.fleet.Daemons() {
		if name != state.Home {
			ts.Setenv(a.word(2)+"_OTHER", name)
			break
		}
	}
	return nil
}
