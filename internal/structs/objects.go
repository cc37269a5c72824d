package structs

import "time"

// Key prefixes of the objects stored in the platform's object API.
const (
	CataloguePrefix  = "catalogue/"
	InstancePrefix   = "instances/"
	ServerPrefix     = "servers/"
	ShardPrefix      = "shards/"
	SegmentPrefix    = "segments/"
	QuarantinePrefix = "quarantine/"
	OrderPrefix      = "orders/"
)

// Entry is a catalogue entry: an owner, a class of requests and their limits.
// A limit of 0 means unlimited, except for Share, which must be positive.
type Entry struct {
	Name  string `json:"name" msgpack:"n"`
	Owner string `json:"owner" msgpack:"o"`
	Class string `json:"class" msgpack:"c"`
	// Share is the entry's weight in the fair queue.
	Share float64 `json:"share" msgpack:"s"`
	// MaxConcurrent bounds the requests in flight in the whole fleet.
	MaxConcurrent int `json:"max_concurrent,omitempty" msgpack:"m,omitempty"`
	// MaxQueued bounds the queued requests in the whole fleet.
	MaxQueued int `json:"max_queued,omitempty" msgpack:"q,omitempty"`
	// RatePerSecond bounds the requests started per second in the whole fleet.
	RatePerSecond float64 `json:"rate_per_second,omitempty" msgpack:"r,omitempty"`
	// BudgetTokens, BudgetTurns and BudgetCalls bound one program, including
	// its sub-agents.
	BudgetTokens int `json:"budget_tokens,omitempty" msgpack:"bt,omitempty"`
	BudgetTurns  int `json:"budget_turns,omitempty" msgpack:"bn,omitempty"`
	BudgetCalls  int `json:"budget_calls,omitempty" msgpack:"bc,omitempty"`
	// IdleSeconds is the time without requests after which a program ends.
	IdleSeconds int  `json:"idle_seconds,omitempty" msgpack:"i,omitempty"`
	Retired     bool `json:"retired,omitempty" msgpack:"x,omitempty"`
	// Author, Reason and ChangedAt describe the last edit.
	Author    string    `json:"author,omitempty" msgpack:"a,omitempty"`
	Reason    string    `json:"reason,omitempty" msgpack:"w,omitempty"`
	ChangedAt time.Time `json:"changed_at,omitzero" msgpack:"t,omitempty"`
	// Baseline is set while the limits are raised.
	Baseline *Baseline `json:"baseline,omitempty" msgpack:"l,omitempty"`
	// Version is the version of the object at the platform. It is not part of the
	// stored object.
	Version int64 `json:"-" msgpack:"v"`
}

// EntryLimits are the limits of an Entry that can be raised and lowered.
type EntryLimits struct {
	Share         float64 `json:"share" msgpack:"s"`
	MaxConcurrent int     `json:"max_concurrent" msgpack:"m"`
	MaxQueued     int     `json:"max_queued" msgpack:"q"`
	RatePerSecond float64 `json:"rate_per_second" msgpack:"r"`
}

// Baseline contains the limits from before the first raise that has not been lowered
// again, and the time, author and reason of that raise.
type Baseline struct {
	EntryLimits
	RaisedAt time.Time `json:"raised_at,omitzero" msgpack:"t,omitempty"`
	RaisedBy string    `json:"raised_by,omitempty" msgpack:"a,omitempty"`
	Reason   string    `json:"reason,omitempty" msgpack:"w,omitempty"`
}

// Limits returns the limits of the entry that can be raised and lowered.
func (e Entry) Limits() EntryLimits {
	return EntryLimits{
		Share:         e.Share,
		MaxConcurrent: e.MaxConcurrent,
		MaxQueued:     e.MaxQueued,
		RatePerSecond: e.RatePerSecond,
	}
}

// States of an instance or backend server in the platform's list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
	// StateVanished is the state of a backend server that recently disappeared
	// from the platform's list without being reported as leaving. It may still
	// serve requests.
	StateVanished = "vanished"
)

// Instance describes a daemon, as in the platform's list and in its own settings.
type Instance struct {
	Name       string `json:"name" msgpack:"n"`
	Region     string `json:"region" msgpack:"r"`
	DataCentre string `json:"data_centre" msgpack:"d"`
	// PeerAddr and HTTPAddr are IP:port.
	PeerAddr string `json:"peer_addr" msgpack:"p"`
	HTTPAddr string `json:"http_addr" msgpack:"h"`
	State    string `json:"state" msgpack:"s"`
	// Incarnation increases with each start of the daemon.
	Incarnation uint64 `json:"incarnation,omitempty" msgpack:"i,omitempty"`
	// Duty is the role of the daemon; empty for one that serves programs.
	Duty string `json:"duty,omitempty" msgpack:"u,omitempty"`
}

// Duties of a daemon on a users' platform.
const (
	DutyGateway = "gateway"
	DutyKeeper  = "keeper"
)

// Kinds of backend servers.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Server describes a backend server, as in the platform's list.
type Server struct {
	Name       string `json:"name" msgpack:"n"`
	Kind       string `json:"kind" msgpack:"k"`
	Region     string `json:"region" msgpack:"r"`
	DataCentre string `json:"data_centre" msgpack:"d"`
	Addr       string `json:"addr" msgpack:"a"`
	State      string `json:"state" msgpack:"s"`
	// Models are the models that an engine serves.
	Models []string `json:"models,omitempty" msgpack:"m,omitempty"`
	// Service is the name under which callers address a plain service.
	Service string `json:"service,omitempty" msgpack:"v,omitempty"`
	// KVTokens is the capacity of an engine's KV memory in tokens.
	KVTokens int `json:"kv_tokens,omitempty" msgpack:"t,omitempty"`
	// Slots bounds the calls in flight at a plain service; 0 means unlimited.
	Slots int `json:"slots,omitempty" msgpack:"l,omitempty"`
	// StartedMS is the start time of the server in Unix milliseconds; 0 if unknown. A
	// restarted server has lost its previous state.
	StartedMS int64 `json:"started,omitempty" msgpack:"b,omitempty"`
	// Fences reports whether the server refuses orders with an outdated fencing
	// number.
	Fences bool `json:"fences,omitempty" msgpack:"f,omitempty"`
	// Lookup reports whether a plain service supports looking up a call by key.
	Lookup bool `json:"lookup,omitempty" msgpack:"u,omitempty"`
	// KVTransfer reports whether an engine can import KV cache from other engines
	// and export it to them.
	KVTransfer bool `json:"kv_transfer,omitempty" msgpack:"x,omitempty"`
	// KVTransferRate is the rate of an import in tokens per second; 0 if unknown.
	KVTransferRate float64 `json:"kv_transfer_rate,omitempty" msgpack:"y,omitempty"`
	// LeavingSince is a time before which a server in StateLeaving was not leaving; zero if none is known.
	LeavingSince time.Time `json:"-" msgpack:"-"`
}
