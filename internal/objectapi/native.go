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

// Native is the protocol of docs/BACKENDS.md.
type Native struct{}

var _ Protocol = Native{}

// Get implements Protocol.
func (Native) Get(key string) Request {
	return Request{Method: http.MethodGet, Path: objectPath(key)}
}

// Put implements Protocol.
func (Native) Put(key string, value []byte, expected int64) Request {
	return Request{Method: http.MethodPut, Path: objectPath(key), Query: expectedQuery(expected), Body: value}
}

// Delete implements Protocol.
func (Native) Delete(key string, expected int64) Request {
	return Request{Method: http.MethodDelete, Path: objectPath(key), Query: expectedQuery(expected)}
}

// List implements Protocol. The whole listing comes in one page.
func (Native) List(prefix, _ string) Request {
	return Request{Method: http.MethodGet, Path: "/v1/objects", Query: url.Values{"prefix": {prefix}}}
}

// Watch implements Protocol. The server itself bounds the wait.
func (Native) Watch(prefix string, after int64, _ time.Duration) Request {
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatInt(after, 10)}}
	return Request{Method: http.MethodGet, Path: "/v1/watch", Query: query}
}

// Outcome implements Protocol.
func (Native) Outcome(status int) error { return StatusError(status) }

// DecodeObject implements Protocol.
func (Native) DecodeObject(body []byte) (Object, error) {
	var object Object
	err := json.Unmarshal(body, &object)
	return object, err
}

// DecodePut implements Protocol.
func (Native) DecodePut(body []byte) (int64, error) {
	var reply PutReply
	err := json.Unmarshal(body, &reply)
	return reply.Version, err
}

// DecodePage implements Protocol.
func (Native) DecodePage(_ string, body []byte) (Page, error) {
	var reply ListReply
	err := json.Unmarshal(body, &reply)
	return Page{Objects: reply.Objects, Revision: reply.Revision}, err
}

// DecodeEvents implements Protocol.
func (Native) DecodeEvents(_ string, body []byte) ([]Event, int64, error) {
	var reply WatchReply
	err := json.Unmarshal(body, &reply)
	return reply.Events, reply.Revision, err
}

// objectPath returns the escaped path of a key; slashes stay.
func objectPath(key string) string {
	return "/v1/objects/" + EscapeKey(key)
}

// EscapeKey escapes the parts of a key for a path; slashes stay.
func EscapeKey(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return strings.Join(parts, "/")
}

// expectedQuery is the condition of a write.
func expectedQuery(expected int64) url.Values {
	return url.Values{"expected": {strconv.FormatInt(expected, 10)}}
}

// StatusError maps the statuses that object APIs commonly use to errors of Store.
// Any other status leaves the outcome unknown.
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
