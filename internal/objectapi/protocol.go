package objectapi

import (
	"net/url"
	"time"
)

// Request is the HTTP request of a call.
type Request struct {
	Method string
	Path   string
	Query  url.Values
	Body   []byte
	// ContentType is the Content-Type header; none is sent if it is empty.
	ContentType string
}

// Page is one page of a listing. Next is the argument after for the next page, and
// empty on the last page. Unreadable is the number of objects that were left out because
// not even their names can be read.
type Page struct {
	Objects    []Object
	Revision   int64
	Next       string
	Unreadable int
}

// Changes are the events of a watch and the revision to continue from. Unreadable is
// the number of events that were left out.
type Changes struct {
	Events     []Event
	Revision   int64
	Unreadable int
}

// Protocol encodes the calls of a Store as HTTP requests and decodes their
// responses. Timeouts, retries and error handling are done by Client, which treats
// a decoding error as an unknown outcome.
type Protocol interface {
	Get(key string) Request
	Put(key string, value []byte, expected int64) Request
	Delete(key string, expected int64) Request
	// List requests the objects under prefix that follow the name after.
	List(prefix, after string) Request
	// Watch requests the changes under prefix after a revision. If the protocol
	// supports it, the server responds without events when wait has passed.
	Watch(prefix string, after int64, wait time.Duration) Request

	// Outcome returns nil for a success status and an error of Store otherwise.
	Outcome(status int) error
	DecodeObject(body []byte) (Object, error)
	// DecodePut returns the version that a Put has written.
	DecodePut(body []byte) (int64, error)
	DecodePage(prefix string, body []byte) (Page, error)
	DecodeEvents(prefix string, body []byte) (Changes, error)
}
