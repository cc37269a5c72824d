package api

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// decode reads a JSON body into request. Its errors refuse the request and name
// the field that is wrong.
func decode(w http.ResponseWriter, r *http.Request, limit int64, request any) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return unreadable(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(request); err != nil {
		return malformed(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return verdict.Refuse(verdict.BadRequest, "body: more than one JSON value")
	}
	return nil
}

// unreadable refuses a body that is too large or did not arrive whole.
func unreadable(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return verdict.Refuse(verdict.BodyTooLarge, "body: larger than %d bytes", tooLarge.Limit)
	}
	return verdict.Refuse(verdict.BadRequest, "body: not received whole")
}

// malformed refuses a body that is not the JSON that is expected.
func malformed(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		field := wrongType.Field
		if field == "" {
			field = "body"
		}
		return verdict.Refuse(verdict.BadRequest, "%s: %s where %s is expected", field, wrongType.Value, wrongType.Type)
	}
	if errors.Is(err, io.EOF) {
		return verdict.Refuse(verdict.BadRequest, "body: empty")
	}
	message := strings.TrimPrefix(err.Error(), "json: ")
	return verdict.Refuse(verdict.BadRequest, "body: %s", message)
}

// missing refuses a request without a field that it needs.
func missing(field string) error {
	return verdict.Refuse(verdict.BadRequest, "%s: missing", field)
}

// outOfRange refuses a number that is too small.
func outOfRange(field string, value, least int) error {
	return verdict.Refuse(verdict.BadRequest, "%s: %d, must be at least %d", field, value, least)
}

// checkOpen checks the fields of an OpenRequest.
func checkOpen(r structs.OpenRequest) error {
	if r.Entry == "" {
		return missing("entry")
	}
	return nil
}

// roles are the roles that a message may have.
var roles = map[string]bool{"system": true, "user": true, "assistant": true, "tool": true}

// checkTurn checks the fields of a TurnRequest.
func checkTurn(r structs.TurnRequest) error {
	switch {
	case r.Turn < 1:
		return outOfRange("turn", r.Turn, 1)
	case r.Model == "":
		return missing("model")
	case len(r.Messages) == 0:
		return missing("messages")
	case r.MaxTokens < 1:
		return outOfRange("max_tokens", r.MaxTokens, 1)
	case r.DeadlineMS < 0:
		return outOfRange("deadline_ms", r.DeadlineMS, 0)
	case r.ResendFrom < 0:
		return outOfRange("resend_from", r.ResendFrom, 0)
	}
	for i, message := range r.Messages {
		if !roles[message.Role] {
			return verdict.Refuse(verdict.BadRequest,
				"messages[%d].role: %q, must be system, user, assistant or tool", i, message.Role)
		}
	}
	return nil
}

// checkCall checks the fields of a CallRequest.
func checkCall(r structs.CallRequest) error {
	switch {
	case r.Turn < 0:
		return outOfRange("turn", r.Turn, 0)
	case r.Service == "":
		return missing("service")
	case !strings.HasPrefix(r.Path, "/"):
		return verdict.Refuse(verdict.BadRequest, "path: %q, must begin with /", r.Path)
	case r.TimeoutMS < 0:
		return outOfRange("timeout_ms", r.TimeoutMS, 0)
	}
	return nil
}
