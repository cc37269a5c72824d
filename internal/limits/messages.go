package limits

import (
	"time"

	"ibisline/internal/structs"
)

// Peer methods of this package.
const (
	methodLease    = "limits.lease"
	methodHandover = "limits.handover"
)

// version orders the limits of an entry.
type version = int64

// holderID identifies one process of a daemon.
type holderID struct {
	Daemon      string `msgpack:"d"`
	Incarnation string `msgpack:"i"`
}

// leaseRequest reports the permits that a home holds for an entry and its waiting
// requests.
type leaseRequest struct {
	Home holderID `msgpack:"h"`
	// Seq is the sequence number of the report per home and entry. A report with a
	// lower number than the latest one recorded is out of date.
	Seq     uint64              `msgpack:"s"`
	Entry   string              `msgpack:"e"`
	Version version             `msgpack:"v"`
	Limits  structs.EntryLimits `msgpack:"l"`
	// Holding is the number of requests that the home has in flight or may start
	// without a reply to this report.
	Holding int `msgpack:"g"`
	InUse   int `msgpack:"u"`
	// Starts is the number of unused start tokens of the home.
	Starts  int `msgpack:"r"`
	Waiting int `msgpack:"w"`
}

// leaseReply is the reply to a leaseRequest. When Moved is set another daemon is the
// limiter and the other fields are not valid.
type leaseReply struct {
	Moved   bool    `msgpack:"m,omitempty"`
	Version version `msgpack:"v"`
	// Allowed is the number of requests that the home may have in flight.
	Allowed int `msgpack:"a"`
	// Starts is the number of start tokens granted, for entries with a rate limit.
	Starts int `msgpack:"r"`
	// Queued is the number of waiting requests that the home may keep in addition
	// to those it can start now. A negative number means no limit.
	Queued int `msgpack:"q"`
	// Recall tells the home to return idle permits at once, because other homes
	// wait for them.
	Recall bool `msgpack:"c"`
	// RetryAfter is the time until a start token will be available.
	RetryAfter time.Duration `msgpack:"t,omitempty"`
}

// handoverRequest asks the previous limiter to transfer its ledger of an entry to
// the daemon By.
type handoverRequest struct {
	Entry string `msgpack:"e"`
	By    string `msgpack:"b"`
}

// handoverReply contains the ledger. Holders may be missing when Complete is false.
// Refused is set when the successor is not in the predecessor's view yet. Homes may
// then still report to the predecessor, which remains the limiter.
type handoverReply struct {
	Refused  bool     `msgpack:"r,omitempty"`
	Complete bool     `msgpack:"c"`
	Holders  []holder `msgpack:"h,omitempty"`
}
