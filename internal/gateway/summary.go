package gateway

import (
	"strconv"
	"time"

	"github.com/apex/log"

	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// summary collects what is logged when a request ends.
type summary struct {
	// sends lists the servers the request was sent to, each as "server:outcome".
	sends []string
	// status is the HTTP status sent to the caller, 0 if the connection was aborted.
	status  int
	failure *verdict.Error
	events  int
	// reserveTime, confirmTime and firstByteTime are the times from the arrival until
	// the budget reservation was decided, the grant was persisted, and the response
	// began.
	reserveTime   time.Duration
	confirmTime   time.Duration
	firstByteTime time.Duration
	// queueTime is the time from the arrival to the first send that a server accepted.
	queueTime time.Duration
	// historyTime is the time from the arrival until the turns before a turn were read, and storeTime
	// the time for which the end of its response waited until it was stored.
	historyTime time.Duration
	storeTime   time.Duration
}

// recordAccepted records that a server accepted the request, which was sent at the given
// time.
func (j *job) recordAccepted(at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.summary.queueTime == 0 {
		j.summary.queueTime = at.Sub(j.Arrived)
	}
}

// recordSendOutcome records the outcome of one send for the log.
func (j *job) recordSendOutcome(server structs.Server, outcome string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.summary.sends = append(j.summary.sends, server.Name+":"+outcome)
}

// sendOutcome returns the outcome of a send as text, for the log and for metric labels.
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

// recordEnd updates the metrics of a finished request and writes its log line.
func (g *Gateway) recordEnd(j *job, configuration int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	g.requestMetrics.recordEnd(j)
	s := &j.summary
	g.recordTeam(j.team, s)
	fields := log.Fields{
		"request":  j.ID,
		"status":   s.status,
		"took_ms":  time.Since(j.Arrived).Milliseconds(),
		"begun_ms": s.firstByteTime.Milliseconds(),
		"sends":    s.sends,
		"version":  configuration,
	}
	if j.route != nil {
		fields["route"] = j.route.Name
		fields["left_ms"] = time.Until(j.deadline).Milliseconds()
	}
	if j.Team != "" {
		fields["team"] = j.Team
	}
	if j.Program != "" {
		fields["program"] = j.Program
	}
	if j.route != nil && j.route.Kind == structs.Stream {
		fields["events"] = s.events
	}
	if j.IsTurn() {
		fields["reserved_ms"] = s.reserveTime.Milliseconds()
		fields["confirmed_ms"] = s.confirmTime.Milliseconds()
	}
	if j.route != nil && j.route.KeepsTurns {
		fields["previous_turn"] = j.PreviousTurn
		fields["history_ms"] = s.historyTime.Milliseconds()
		fields["stored_ms"] = s.storeTime.Milliseconds()
	}
	if s.failure != nil {
		fields["verdict"] = s.failure.Verdict
		fields["reason"] = s.failure.Reason
		fields["error"] = s.failure.Error()
	}
	g.Log.WithFields(fields).Info("request ended")
}
