package limits

import (
	"time"

	"ibisline/internal/structs"
)

// Peer methods of the limits.
const (
	methodLease    = "limits.lease"
	methodHandover = "limits.handover"
)

// version orders the limits of an entry.
type version = int64

// holderID names one process of a daemon.
type holderID struct {
	Daemon      string `msgpack:"d"`
	Incarnation string `msgpack:"i"`
}

// leaseRequest reports what a home holds of an entry and asks for more.
type leaseRequest struct {
	Home holderID `msgpack:"h"`
	// Seq counts the requests of one home for one entry; a request with a
	// lower number than an earlier one is out of date.
	Seq     uint64              `msgpack:"s"`
	Entry   string              `msgpack:"e"`
	Version version             `msgpack:"v"`
	Limits  structs.EntryLimits `msgpack:"l"`
	// Holding is the number of requests that the home has under way or may
	// start without a reply to this request.
	Holding int `msgpack:"g"`
	InUse   int `msgpack:"u"`
	// Starts is the number of unused start rights that the home has.
	Starts  int `msgpack:"r"`
	Waiting int `msgpack:"w"`
}

// leaseReply answers a leaseRequest. When Moved is set another daemon is the
// limiter and nothing else holds.
type leaseReply struct {
	Moved   bool    `msgpack:"m,omitempty"`
	Version version `msgpack:"v"`
	// Allowed is the number of requests that the home may have under way.
	Allowed int `msgpack:"a"`
	// Starts is the number of further start rights, for entries with a rate.
	Starts int `msgpack:"r"`
	// Queued is the number of waiting requests that the home may keep beyond
	// those it can start now; negative means any number.
	Queued int `msgpack:"q"`
	// Recall asks to return idle permits at once: other homes wait for them.
	Recall bool `msgpack:"c"`
	// RetryAfter estimates when a start right will be free.
	RetryAfter time.Duration `msgpack:"t,omitempty"`
}

// handoverRequest asks the previous limiter for its books on an entry, which it
// gives up to the daemon By.
type handoverRequest struct {
	Entry string `msgpack:"e"`
	By    string `msgpack:"b"`
}

// handoverReply carries the books. They may lack holders when Complete is false.
// Refused is set when the predecessor does not know the successor yet, so that
// homes may still ask the predecessor, which goes on as limiter.
type handoverReply struct {
	Refused  bool     `msgpack:"r,omitempty"`
	Complete bool     `msgpack:"c"`
	Holders  []holder `msgpack:"h,omitempty"`
}
