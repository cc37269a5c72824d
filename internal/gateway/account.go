package gateway

import (
	"strconv"
	"time"

	"github.com/apex/log"

	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// account is what the log says of a request at its end.
type account struct {
	// sends are the servers that it was sent to, each with the outcome.
	sends []string
	// status is that of the answer, 0 if the connection was broken off.
	status  int
	failure *verdict.Error
	events  int
	// reserved, confirmed and begun are the times from the arrival until the budget
	// was decided about, the grant was written down, and the answer began.
	reserved  time.Duration
	confirmed time.Duration
	begun     time.Duration
	// queued is the time until the first send that a server took.
	queued time.Duration
}

// addTaken notes that a server takes the request, which was sent at the given time.
func (j *job) addTaken(at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.account.queued == 0 {
		j.account.queued = at.Sub(j.Arrived)
	}
}

// addSend notes the outcome of one send.
func (j *job) addSend(server structs.Server, outcome string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.account.sends = append(j.account.sends, server.Name+":"+outcome)
}

// sendOutcome names what came of a send in the log.
func sendOutcome(status int, err error, notRun bool) string {
	switch {
	case err != nil && verdict.Is(err, verdict.NotRun):
		return "not sent"
	case err != nil && verdict.From(err).Reason == verdict.BackendTimeout:
		return "no answer in time"
	case err != nil && verdict.From(err).Reason == verdict.Canceled:
		return "caller left"
	case err != nil:
		return "broken"
	case notRun:
		return "not run " + strconv.Itoa(status)
	default:
		return strconv.Itoa(status)
	}
}

// noteEnd measures a request and writes the one line about it.
func (g *Gateway) noteEnd(j *job, configuration int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	g.measures.ended(j)
	a := &j.account
	fields := log.Fields{
		"request":  j.ID,
		"status":   a.status,
		"took_ms":  time.Since(j.Arrived).Milliseconds(),
		"begun_ms": a.begun.Milliseconds(),
		"sends":    a.sends,
		"version":  configuration,
	}
	if j.route != nil {
		fields["route"] = j.route.Name
		fields["left_ms"] = time.Until(j.deadline).Milliseconds()
	}
	if j.Program != "" {
		fields["program"] = j.Program
	}
	if j.route != nil && j.route.Kind == structs.Stream {
		fields["events"] = a.events
	}
	if j.IsTurn() {
		fields["reserved_ms"] = a.reserved.Milliseconds()
		fields["confirmed_ms"] = a.confirmed.Milliseconds()
	}
	if a.failure != nil {
		fields["verdict"] = a.failure.Verdict
		fields["reason"] = a.failure.Reason
		fields["error"] = a.failure.Error()
	}
	g.Log.WithFields(fields).Info("request ended")
}
