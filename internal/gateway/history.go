package gateway

import (
	"bytes"
	"context"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/history"
	"ibisline/internal/verdict"
)

// Histories keeps the turns of conversations.
type Histories interface {
	// CheckAvailable returns a refusal if a turn could not be stored now.
	CheckAvailable() error
	// Find returns a turn and all turns before it. Errors are refusals.
	Find(ctx context.Context, key, id string) (history.Chain, error)
	// Store returns once a turn, which continues chain, is durable, or ctx ends.
	Store(ctx context.Context, key string, chain history.Chain, turn history.Turn) error
}

// ExpirySlack is the time for which turns are kept beyond the retention of their route, as clocks
// of daemons differ.
const ExpirySlack = 20 * time.Second

// historyKey returns the key that selects where the turns of a program are stored.
func historyKey(j *job) string {
	if j.Program != "" {
		return j.scoped(j.Program)
	}
	return j.scoped(j.Session)
}

// loadHistory makes the body of a turn the whole prompt, if its route keeps turns. Errors are refusals.
func (g *Gateway) loadHistory(ctx context.Context, j *job) error {
	if !j.route.KeepsTurns {
		if j.PreviousTurn != "" {
			return verdict.Refuse(verdict.BadRequest, "turns of route %s are not kept", j.route.Name)
		}
		return nil
	}
	if j.ResumeAfter > 0 {
		// The caller has the start of the response and this daemon has not, so the turn could not be
		// kept as the caller gets it.
		return verdict.Refuse(verdict.HistoryUnavailable, "a turn that is kept must be sent again from its start")
	}
	if j.PreviousTurn == j.ID {
		return verdict.Refuse(verdict.BadRequest, "turn %s continues itself", j.ID)
	}
	if err := g.Histories.CheckAvailable(); err != nil {
		return err
	}
	j.input = j.Body
	if j.PreviousTurn == "" {
		return nil
	}
	chain, err := g.Histories.Find(ctx, historyKey(j), j.scoped(j.PreviousTurn))
	j.summary.historyTime = time.Since(j.Arrived)
	if err != nil {
		return err
	}
	if limit := bodyLimit(j.maxBodyBytes); int64(chain.Bytes()+len(j.input)) > limit {
		return verdict.Refuse(verdict.BodyTooLarge, "the conversation exceeds %d bytes", limit)
	}
	// The turns before this one and the prompt that is made of them.
	if err := reserveMemory(ctx, int64(2*chain.Bytes()+len(j.input))); err != nil {
		return err
	}
	j.chain = chain
	j.Body = chain.Prompt(j.input)
	return nil
}

// keepTurn stores a turn whose events were all relayed. Its response must not end before.
func (g *Gateway) keepTurn(ctx context.Context, j *job, output []byte) error {
	if !j.route.KeepsTurns {
		return nil
	}
	started := time.Now()
	err := g.Histories.Store(ctx, historyKey(j), j.chain, history.Turn{
		ID: j.scoped(j.ID), Previous: j.scoped(j.PreviousTurn), Input: j.input, Output: output,
		Arrived: j.Arrived.UnixMilli(),
		Expires: started.Add(j.route.Retention + ExpirySlack).UnixMilli(),
	})
	j.summary.storeTime = time.Since(started)
	if err != nil {
		return verdict.Wrap(errors.Wrap(errNotKept, err.Error()), verdict.MayHaveRun, verdict.HistoryUnavailable,
			"the response was not ended")
	}
	return nil
}

// errNotKept is returned when a response was relayed, but its turn could not be stored.
var errNotKept = errors.New("the turn is not stored")

// dataField begins a line of an event that holds data.
var dataField = []byte("data:")

// appendEventData appends the lines of an event's data to output, each with a line feed. An event
// without data adds nothing.
func appendEventData(output, event []byte) []byte {
	for line := range bytes.Lines(event) {
		data, isData := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataField)
		if !isData {
			continue
		}
		output = append(append(output, bytes.TrimPrefix(data, []byte(" "))...), '\n')
	}
	return output
}
