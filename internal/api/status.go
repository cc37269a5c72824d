package api

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// Headers of every answer.
const (
	HeaderVerdict   = "Ibis-Verdict"
	HeaderRequestID = "Ibis-Request-Id"
	headerRetry     = "Retry-After"
	headerType      = "Content-Type"
	typeJSON        = "application/json; charset=utf-8"
)

// statusClientGone is the usual status for a caller that left before the answer.
const statusClientGone = 499

// statuses gives the HTTP status of each reason when the request did not run.
var statuses = map[verdict.Reason]int{
	verdict.BadRequest:       http.StatusBadRequest,
	verdict.BodyTooLarge:     http.StatusRequestEntityTooLarge,
	verdict.UnknownRoute:     http.StatusNotFound,
	verdict.MethodNotAllowed: http.StatusMethodNotAllowed,
	verdict.UnknownEntry:     http.StatusNotFound,
	verdict.EntryRetired:     http.StatusForbidden,
	verdict.UnknownProgram:   http.StatusNotFound,
	verdict.ProgramEnded:     http.StatusGone,
	verdict.TurnOutOfOrder:   http.StatusConflict,
	verdict.TurnConflict:     http.StatusConflict,
	verdict.HistoryGap:       http.StatusConflict,
	verdict.AnswerRestarted:  http.StatusConflict,
	verdict.BudgetSpent:      http.StatusForbidden,
	verdict.QueueFull:        http.StatusTooManyRequests,
	verdict.LimitReached:     http.StatusTooManyRequests,
	verdict.DeadlinePassed:   http.StatusServiceUnavailable,
	verdict.Quarantined:      http.StatusUnprocessableEntity,
	verdict.NoServer:         http.StatusServiceUnavailable,
	verdict.NotHome:          http.StatusServiceUnavailable,
	verdict.PlatformDown:     http.StatusServiceUnavailable,
	verdict.CatalogueStale:   http.StatusServiceUnavailable,
	verdict.Stopping:         http.StatusServiceUnavailable,
	verdict.PeerLost:         http.StatusServiceUnavailable,
	verdict.BackendFailed:    http.StatusBadGateway,
	verdict.BackendTimeout:   http.StatusGatewayTimeout,
	verdict.Canceled:         statusClientGone,
	verdict.Internal:         http.StatusInternalServerError,
}

// statusOf returns the HTTP status of a failure. A status that invites the
// caller to repeat the request is kept for requests that did not run.
func statusOf(failure *verdict.Error) int {
	status, ok := statuses[failure.Reason]
	if !ok {
		return http.StatusInternalServerError
	}
	if failure.Verdict == verdict.NotRun {
		return status
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		return http.StatusBadGateway
	}
	return status
}

// defaultRetryAfter is given with refusals that pass by themselves when the
// service named no time.
const defaultRetryAfter = time.Second

// retryAfter returns the whole seconds after which the request may be sent
// again, and 0 when another attempt would not help.
func retryAfter(failure *verdict.Error, status int) int {
	wait := failure.RetryAfter
	temporary := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	if wait <= 0 && temporary {
		wait = defaultRetryAfter
	}
	return int((wait + time.Second - 1) / time.Second)
}

// failureBody is the JSON body of a failed request.
type failureBody struct {
	*verdict.Error
	RequestID string `json:"request_id"`
	// RetryAfterMS is the wait before another attempt, in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// writeFailure answers a request that failed before anything was written.
func writeFailure(w http.ResponseWriter, requestID string, err error) {
	failure := verdict.From(err)
	status := statusOf(failure)
	w.Header().Set(HeaderRequestID, requestID)
	w.Header().Set(HeaderVerdict, failure.Verdict.String())
	if wait := retryAfter(failure, status); wait > 0 {
		w.Header().Set(headerRetry, strconv.Itoa(wait))
	}
	body := failureBody{Error: failure, RequestID: requestID, RetryAfterMS: failure.RetryAfter.Milliseconds()}
	writeJSON(w, status, body)
}

// writeReply answers a request that succeeded.
func writeReply(w http.ResponseWriter, v verdict.Verdict, reply any) {
	w.Header().Set(HeaderVerdict, v.String())
	writeJSON(w, http.StatusOK, reply)
}

// writeJSON writes a body. Its types always encode; a failed write means that
// the caller is gone.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set(headerType, typeJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ended answers the end of a program.
type ended struct {
	Program string `json:"program"`
	Ended   bool   `json:"ended"`
}

// callReply is a CallReply with its request identifier.
type callReply struct {
	structs.CallReply
	RequestID string `json:"request_id"`
}
