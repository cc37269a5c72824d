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

// decodeBody decodes the JSON body of r, of at most limit bytes, into request. Its
// errors are refusals that name the invalid field.
func decodeBody(w http.ResponseWriter, r *http.Request, limit int64, request any) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return bodyReadError(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(request); err != nil {
		return bodySyntaxError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return verdict.Refuse(verdict.BadRequest, "body: more than one JSON value")
	}
	return nil
}

// bodyReadError refuses a body that is too large or was not received in full.
func bodyReadError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return verdict.Refuse(verdict.BodyTooLarge, "body: larger than %d bytes", tooLarge.Limit)
	}
	return verdict.Refuse(verdict.BadRequest, "body: not received whole")
}

// bodySyntaxError refuses a body that is not valid JSON for the request.
func bodySyntaxError(err error) error {
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

// missingField refuses a request without a required field.
func missingField(field string) error {
	return verdict.Refuse(verdict.BadRequest, "%s: missing", field)
}

// belowMinimum refuses a number that is smaller than minimum.
func belowMinimum(field string, value, minimum int) error {
	return verdict.Refuse(verdict.BadRequest, "%s: %d, must be at least %d", field, value, minimum)
}

// checkOpen validates the fields of an OpenRequest.
func checkOpen(r structs.OpenRequest) error {
	if r.Entry == "" {
		return missingField("entry")
	}
	return nil
}

// messageRoles are the valid roles of a message.
var messageRoles = map[string]bool{"system": true, "user": true, "assistant": true, "tool": true}

// checkTurn validates the fields of a TurnRequest.
func checkTurn(r structs.TurnRequest) error {
	switch {
	case r.Turn < 1:
		return belowMinimum("turn", r.Turn, 1)
	case r.Model == "":
		return missingField("model")
	case len(r.Messages) == 0:
		return missingField("messages")
	case r.MaxTokens < 1:
		return belowMinimum("max_tokens", r.MaxTokens, 1)
	case r.DeadlineMS < 0:
		return belowMinimum("deadline_ms", r.DeadlineMS, 0)
	case r.ResendFrom < 0:
		return belowMinimum("resend_from", r.ResendFrom, 0)
	}
	for i, message := range r.Messages {
		if !messageRoles[message.Role] {
			return verdict.Refuse(verdict.BadRequest,
				"messages[%d].role: %q, must be system, user, assistant or tool", i, message.Role)
		}
	}
	return nil
}

// checkCall validates the fields of a CallRequest.
func checkCall(r structs.CallRequest) error {
	switch {
	case r.Turn < 0:
		return belowMinimum("turn", r.Turn, 0)
	case r.Service == "":
		return missingField("service")
	case !strings.HasPrefix(r.Path, "/"):
		return verdict.Refuse(verdict.BadRequest, "path: %q, must begin with /", r.Path)
	case r.TimeoutMS < 0:
		return belowMinimum("timeout_ms", r.TimeoutMS, 0)
	}
	return nil
}
