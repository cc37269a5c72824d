package api

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// HTTP headers of responses.
const (
	HeaderVerdict     = "Ibis-Verdict"
	HeaderRequestID   = "Ibis-Request-Id"
	headerRetryAfter  = "Retry-After"
	headerContentType = "Content-Type"
	contentTypeJSON   = "application/json; charset=utf-8"
)

// statusClientClosedRequest is the conventional non-standard status for a caller
// that disconnected before the response.
const statusClientClosedRequest = 499

// statusByReason maps each reason to the HTTP status of a request that was not run.
var statusByReason = map[verdict.Reason]int{
	verdict.BadRequest:         http.StatusBadRequest,
	verdict.BodyTooLarge:       http.StatusRequestEntityTooLarge,
	verdict.UnknownRoute:       http.StatusNotFound,
	verdict.MethodNotAllowed:   http.StatusMethodNotAllowed,
	verdict.UnknownEntry:       http.StatusNotFound,
	verdict.EntryRetired:       http.StatusForbidden,
	verdict.UnknownProgram:     http.StatusNotFound,
	verdict.ProgramEnded:       http.StatusGone,
	verdict.TurnOutOfOrder:     http.StatusConflict,
	verdict.TurnConflict:       http.StatusConflict,
	verdict.HistoryGap:         http.StatusConflict,
	verdict.UnknownTurn:        http.StatusNotFound,
	verdict.HistoryUnavailable: http.StatusServiceUnavailable,
	verdict.AnswerRestarted:    http.StatusConflict,
	verdict.BudgetSpent:        http.StatusForbidden,
	verdict.UnknownKey:         http.StatusUnauthorized,
	verdict.KeyUnproven:        http.StatusServiceUnavailable,
	verdict.QuotaReached:       http.StatusTooManyRequests,
	verdict.QueueFull:          http.StatusTooManyRequests,
	verdict.LimitReached:       http.StatusTooManyRequests,
	verdict.BudgetInDoubt:      http.StatusServiceUnavailable,
	verdict.DeadlinePassed:     http.StatusServiceUnavailable,
	verdict.NoMemory:           http.StatusServiceUnavailable,
	verdict.Quarantined:        http.StatusUnprocessableEntity,
	verdict.NoServer:           http.StatusServiceUnavailable,
	verdict.NotHome:            http.StatusServiceUnavailable,
	verdict.PlatformDown:       http.StatusServiceUnavailable,
	verdict.CatalogueStale:     http.StatusServiceUnavailable,
	verdict.Stopping:           http.StatusServiceUnavailable,
	verdict.PeerLost:           http.StatusServiceUnavailable,
	verdict.BackendFailed:      http.StatusBadGateway,
	verdict.BackendTimeout:     http.StatusGatewayTimeout,
	verdict.Canceled:           statusClientClosedRequest,
	verdict.Internal:           http.StatusInternalServerError,
}

// statusOf returns the HTTP status of a failure. Statuses that callers usually
// retry on, 503 and 429, are returned only for requests that were not run.
func statusOf(failure *verdict.Error) int {
	status, ok := statusByReason[failure.Reason]
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

// defaultRetryAfter is the Retry-After of a temporary refusal for which the
// service gave no delay.
const defaultRetryAfter = time.Second

// retryAfter returns the delay before a retry in seconds, rounded up, or 0 if a
// retry would not help.
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
	// RetryAfterMS is the delay before a retry, in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// writeFailure writes the response to a request that failed before any part of a
// response was written.
func writeFailure(w http.ResponseWriter, requestID string, err error) {
	failure := verdict.From(err)
	status := statusOf(failure)
	w.Header().Set(HeaderRequestID, requestID)
	w.Header().Set(HeaderVerdict, failure.Verdict.String())
	if wait := retryAfter(failure, status); wait > 0 {
		w.Header().Set(headerRetryAfter, strconv.Itoa(wait))
	}
	body := failureBody{Error: failure, RequestID: requestID, RetryAfterMS: failure.RetryAfter.Milliseconds()}
	writeJSON(w, status, body)
}

// writeReply writes the response to a request that succeeded.
func writeReply(w http.ResponseWriter, v verdict.Verdict, reply any) {
	w.Header().Set(HeaderVerdict, v.String())
	writeJSON(w, http.StatusOK, reply)
}

// writeJSON writes a response with a JSON body. The body types always encode; a
// write error means that the caller has disconnected.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set(headerContentType, contentTypeJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// endReply is the JSON body of the response that ends a program.
type endReply struct {
	Program string `json:"program"`
	Ended   bool   `json:"ended"`
}

// callReply is the JSON body of the response to a tool call.
type callReply struct {
	structs.CallReply
	RequestID string `json:"request_id"`
}
