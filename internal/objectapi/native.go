package objectapi

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Native is the object API protocol specified in docs/BACKENDS.md.
type Native struct{}

var _ Protocol = Native{}

func (Native) Get(key string) Request {
	return Request{Method: http.MethodGet, Path: objectPath(key)}
}

func (Native) Put(key string, value []byte, expected int64) Request {
	return Request{Method: http.MethodPut, Path: objectPath(key), Query: expectedQuery(expected), Body: value}
}

func (Native) Delete(key string, expected int64) Request {
	return Request{Method: http.MethodDelete, Path: objectPath(key), Query: expectedQuery(expected)}
}

// List requests the objects under prefix. The server returns them in one page.
func (Native) List(prefix, _ string) Request {
	return Request{Method: http.MethodGet, Path: "/v1/objects", Query: url.Values{"prefix": {prefix}}}
}

// Watch requests the changes after a revision. The server sets the maximum wait
// itself, so the wait argument is not sent.
func (Native) Watch(prefix string, after int64, _ time.Duration) Request {
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatInt(after, 10)}}
	return Request{Method: http.MethodGet, Path: "/v1/watch", Query: query}
}

func (Native) Outcome(status int) error { return StatusError(status) }

func (Native) DecodeObject(body []byte) (Object, error) {
	var object Object
	err := json.Unmarshal(body, &object)
	return object, err
}

func (Native) DecodePut(body []byte) (int64, error) {
	var reply PutReply
	err := json.Unmarshal(body, &reply)
	return reply.Version, err
}

func (Native) DecodePage(_ string, body []byte) (Page, error) {
	var reply ListReply
	err := json.Unmarshal(body, &reply)
	return Page{Objects: reply.Objects, Revision: reply.Revision}, err
}

func (Native) DecodeEvents(_ string, body []byte) (Changes, error) {
	var reply WatchReply
	err := json.Unmarshal(body, &reply)
	return Changes{Events: reply.Events, Revision: reply.Revision}, err
}

// objectPath returns the URL path of an object.
func objectPath(key string) string {
	return "/v1/objects/" + EscapeKey(key)
}

// EscapeKey escapes a key for use in a URL path. Slashes are not escaped.
func EscapeKey(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return strings.Join(parts, "/")
}

// expectedQuery returns the query with the expected version of a write.
func expectedQuery(expected int64) url.Values {
	return url.Values{"expected": {strconv.FormatInt(expected, 10)}}
}

// StatusError maps the HTTP statuses that object APIs commonly use to errors of
// Store. Any other status is ErrUnknown.
func StatusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusGone:
		return ErrCompacted
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	default:
		return errors.Wrapf(ErrUnknown, "status %d", status)
	}
}
