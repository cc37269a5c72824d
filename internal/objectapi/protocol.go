package objectapi

import (
	"net/url"
	"time"
)

// Request is a call as it goes over the wire.
type Request struct {
	Method string
	Path   string
	Query  url.Values
	Body   []byte
	// ContentType is sent when it is not empty.
	ContentType string
}

// Page is a part of a listing. Next is the name after which the listing goes on;
// empty at the end.
type Page struct {
	Objects  []Object
	Revision int64
	Next     string
}

// Protocol says how the calls of a Store look on the wire of an object API. It
// translates only: time limits, retries and outcomes are the Client's. Decoding
// errors mean that the outcome is not known.
type Protocol interface {
	Get(key string) Request
	Put(key string, value []byte, expected int64) Request
	Delete(key string, expected int64) Request
	// List asks for the objects under prefix, from the name after on.
	List(prefix, after string) Request
	// Watch asks for the changes under prefix after a revision. The server
	// answers without any after wait, if it knows how to.
	Watch(prefix string, after int64, wait time.Duration) Request

	// Outcome maps a status to nil or to an error of Store.
	Outcome(status int) error
	DecodeObject(body []byte) (Object, error)
	// DecodePut returns the version of the object that a Put has written.
	DecodePut(body []byte) (int64, error)
	DecodePage(prefix string, body []byte) (Page, error)
	DecodeEvents(prefix string, body []byte) ([]Event, int64, error)
}
