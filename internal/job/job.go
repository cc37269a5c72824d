// Package job runs a small end-to-end workload against one or more daemons: a program
// of three turns with one non-repeatable tool call, each answer checked against the
// complete history.
package job

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"ibisline/internal/caller"
	"ibisline/internal/fake/engine"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// Config selects the daemons, entry, model and service of a run.
type Config struct {
	// Daemons are the HTTP addresses of the daemons as IP:port. Requests are sent to
	// them round-robin.
	Daemons []string
	Entry   string
	Model   string
	// Service is the plain service that receives the tool call.
	Service string
}

const (
	turns = 3
	// callAfter is the number of the turn after which the tool call is made.
	callAfter = 2
	maxTokens = 64
)

// job is the state of a run.
type job struct {
	config       Config
	out          io.Writer
	clients      []*caller.Client
	requestsSent int
	program      string
	history      []structs.Message
}

// Run runs the workload and writes the answers, verdicts and the daemons, engines and
// servers involved to out. It returns an error if a request fails or an answer does not
// match the complete history.
func Run(ctx context.Context, config Config, out io.Writer) error {
	if len(config.Daemons) == 0 {
		return errors.New("no daemons given")
	}
	transport := caller.NewTransport()
	defer transport.CloseIdleConnections()
	j := &job{config: config, out: out, clients: clientsOf(config.Daemons, transport)}
	if err := j.open(ctx); err != nil {
		return err
	}
	for turn := 1; turn <= turns; turn++ {
		if err := j.turn(ctx, turn); err != nil {
			return errors.Wrapf(err, "turn %d", turn)
		}
		if turn != callAfter {
			continue
		}
		if err := j.call(ctx, turn); err != nil {
			return errors.Wrap(err, "tool call")
		}
	}
	return j.end(ctx)
}

func clientsOf(daemons []string, transport http.RoundTripper) []*caller.Client {
	var clients []*caller.Client
	for _, addr := range daemons {
		clients = append(clients, caller.New(addr, transport))
	}
	return clients
}

// next returns the client for the next request and the address of its daemon.
func (j *job) next() (*caller.Client, string) {
	i := j.requestsSent % len(j.clients)
	j.requestsSent++
	return j.clients[i], j.config.Daemons[i]
}

func (j *job) open(ctx context.Context) error {
	client, via := j.next()
	program, err := client.Open(ctx, structs.OpenRequest{Entry: j.config.Entry})
	if err != nil {
		return errors.Wrap(err, "open program")
	}
	j.program = program
	fmt.Fprintf(j.out, "program %s under entry %s, opened via %s\n", program, j.config.Entry, via)
	return nil
}

// turn runs one turn and checks its answer against the history.
func (j *job) turn(ctx context.Context, turn int) error {
	client, via := j.next()
	prompt := structs.Message{Role: "user", Content: fmt.Sprintf("Step %d of the order. [out=%d]", turn, 16+turn)}
	j.history = append(j.history, prompt)
	answer, err := client.Turn(ctx, structs.TurnRequest{
		Program:   j.program,
		Turn:      turn,
		Messages:  []structs.Message{prompt},
		Model:     j.config.Model,
		MaxTokens: maxTokens,
	})
	if err != nil {
		return err
	}
	want, _ := engine.Answer(j.history, maxTokens)
	if answer.Text != want {
		return errors.Errorf("answer %q, want %q", answer.Text, want)
	}
	j.history = append(j.history, structs.Message{Role: "assistant", Content: answer.Text})
	fmt.Fprintf(j.out, "turn %d: %s, via %s, home %s, engine %s, %d+%d tokens (%d cached)\n  %s\n",
		turn, answer.Verdict, via, answer.Last.Home, answer.Last.Engine, answer.Last.Usage.PromptTokens,
		answer.Last.Usage.OutputTokens, answer.Last.Usage.CachedTokens, answer.Text)
	return nil
}

// call makes the tool call and repeats it at the next daemon. The second reply must be
// the stored outcome of the first.
func (j *job) call(ctx context.Context, turn int) error {
	request := structs.CallRequest{
		Program: j.program,
		Turn:    turn,
		Key:     "loom-order",
		Service: j.config.Service,
		Path:    "/orders",
		Body:    []byte(`{"labels":1200}`),
	}
	first, err := j.callOnce(ctx, request)
	if err != nil {
		return err
	}
	second, err := j.callOnce(ctx, request)
	if err != nil {
		return err
	}
	if first.Verdict != verdict.Ran || !second.Replayed || string(first.Body) != string(second.Body) {
		return errors.Errorf("repeated call did not return the stored outcome: first reply %+v, second reply %+v",
			first, second)
	}
	return nil
}

func (j *job) callOnce(ctx context.Context, request structs.CallRequest) (structs.CallReply, error) {
	client, via := j.next()
	reply, err := client.Call(ctx, request)
	if err != nil {
		return reply, err
	}
	fmt.Fprintf(j.out, "call %s: %s, via %s, home %s, service %s, status %d, replayed %t\n  %s\n",
		request.Key, reply.Verdict, via, reply.Home, reply.Server, reply.Status, reply.Replayed, reply.Body)
	return reply, nil
}

// end checks the turn count, ends the program and prints its token usage.
func (j *job) end(ctx context.Context) error {
	client, _ := j.next()
	state, err := client.State(ctx, j.program)
	if err != nil {
		return errors.Wrap(err, "read program state")
	}
	if state.NextTurn != turns+1 {
		return errors.Errorf("next turn is %d, want %d", state.NextTurn, turns+1)
	}
	if err := client.End(ctx, j.program); err != nil {
		return errors.Wrap(err, "end program")
	}
	fmt.Fprintf(j.out, "ended after %d tokens; all %d answers whole\n", state.SpentTokens, turns)
	return nil
}
