// Package verdict defines the error type for requests that a layer forwards. The
// error states whether the request may have run, so that a caller can decide on a
// retry without interpreting a status code.
package verdict

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Verdict states whether a request ran at a backend server.
type Verdict uint8

const (
	// MayHaveRun is the zero value, so that an unclassified error is never treated
	// as proof that the request did not run.
	MayHaveRun Verdict = iota
	// NotRun means that no byte of the request was handed to a connection of a
	// backend server, and none will be.
	NotRun
	// Ran means that a backend server executed the request.
	Ran
)

// String returns the form used in headers, bodies and logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "may_have_run"
	}
}

// MarshalText returns the form of String.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText parses the form of String. An unknown text becomes MayHaveRun.
func (v *Verdict) UnmarshalText(text []byte) error {
	switch string(text) {
	case "not_run":
		*v = NotRun
	case "ran":
		*v = Ran
	default:
		*v = MayHaveRun
	}
	return nil
}

// Reason is a stable, machine-readable code for the cause of a refusal or failure.
type Reason string

// Reasons that are returned to callers.
const (
	BadRequest Reason = "bad_request"
	// BodyTooLarge, UnknownRoute and MethodNotAllowed are refusals of the
	// HTTP layer.
	BodyTooLarge     Reason = "body_too_large"
	UnknownRoute     Reason = "unknown_route"
	MethodNotAllowed Reason = "method_not_allowed"
	UnknownEntry     Reason = "unknown_entry"
	EntryRetired     Reason = "entry_retired"
	UnknownProgram   Reason = "unknown_program"
	ProgramEnded     Reason = "program_ended"
	TurnOutOfOrder   Reason = "turn_out_of_order"
	TurnConflict     Reason = "turn_conflict"
	HistoryGap       Reason = "history_gap"
	// UnknownTurn and HistoryUnavailable are refusals of a turn whose previous turn does not exist,
	// or cannot be read, or that could not be stored, now.
	UnknownTurn        Reason = "unknown_turn"
	HistoryUnavailable Reason = "history_unavailable"
	BudgetSpent        Reason = "budget_spent"
	// BudgetInDoubt refuses a turn while it is not known whether the budget holds it.
	BudgetInDoubt Reason = "budget_in_doubt"
	// UnknownKey refuses a request without the key of a team, KeyUnproven one whose key cannot be checked
	// now, and QuotaReached one beyond the quota of its team.
	UnknownKey     Reason = "unknown_key"
	KeyUnproven    Reason = "key_unproven"
	QuotaReached   Reason = "quota_reached"
	QueueFull      Reason = "queue_full"
	LimitReached   Reason = "limit_reached"
	DeadlinePassed Reason = "deadline_passed"
	Quarantined    Reason = "quarantined"
	// NoMemory refuses a request for which the daemon has no memory now.
	NoMemory       Reason = "no_memory"
	NoServer       Reason = "no_server"
	NotHome        Reason = "not_home"
	PlatformDown   Reason = "platform_down"
	CatalogueStale Reason = "catalogue_stale"
	Stopping       Reason = "stopping"
	PeerLost       Reason = "peer_lost"
	BackendFailed  Reason = "backend_failed"
	BackendTimeout Reason = "backend_timeout"
	Canceled       Reason = "canceled"
	// AnswerRestarted means that the turn runs again at another home and its text
	// differs from the text already delivered. The caller must discard that text and
	// fetch the turn.
	AnswerRestarted Reason = "answer_restarted"
	Internal        Reason = "internal"
)

// Error is the error of a failed or refused request, with its verdict. It is
// encoded for other daemons and for callers, without Cause.
type Error struct {
	Verdict    Verdict       `msgpack:"v" json:"verdict"`
	Reason     Reason        `msgpack:"r" json:"reason"`
	Message    string        `msgpack:"m" json:"message"`
	RetryAfter time.Duration `msgpack:"a,omitempty" json:"-"`
	// Turn is the turn to resend from if Reason is HistoryGap, and the next expected
	// turn if Reason is TurnOutOfOrder.
	Turn  int   `msgpack:"t,omitempty" json:"turn,omitempty"`
	Cause error `msgpack:"-" json:"-"`
}

// New returns an Error with a formatted message.
func New(v Verdict, reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// Refuse returns an Error whose verdict is NotRun.
func Refuse(reason Reason, format string, args ...any) *Error {
	return New(NotRun, reason, format, args...)
}

// Wrap returns an Error that keeps cause for errors.Is and errors.As.
func Wrap(cause error, v Verdict, reason Reason, message string) *Error {
	return &Error{Verdict: v, Reason: reason, Message: message, Cause: cause}
}

// RetryIn sets RetryAfter and returns e.
func (e *Error) RetryIn(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error returns the reason, the verdict, the message and the cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Message)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// From returns the *Error that err is or wraps. Any other error is wrapped as
// MayHaveRun with reason Internal. From(nil) is nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, MayHaveRun, Internal, "unclassified error")
}

// Is reports whether err carries the given verdict.
func Is(err error, v Verdict) bool {
	return err != nil && From(err).Verdict == v
}

// HasReason reports whether err carries the given reason.
func HasReason(err error, reason Reason) bool {
	return err != nil && From(err).Reason == reason
}
