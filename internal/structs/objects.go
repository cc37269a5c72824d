package structs

import "time"

// Key prefixes of the objects kept in the platform's object API.
const (
	CataloguePrefix  = "catalogue/"
	InstancePrefix   = "instances/"
	ServerPrefix     = "servers/"
	ShardPrefix      = "shards/"
	SegmentPrefix    = "segments/"
	QuarantinePrefix = "quarantine/"
	OrderPrefix      = "orders/"
)

// Entry is a catalogue entry: an owner, a class of work and the limits.
// A limit of 0 means unlimited, except for Share, which must be positive.
type Entry struct {
	Name  string `json:"name" msgpack:"n"`
	Owner string `json:"owner" msgpack:"o"`
	Class string `json:"class" msgpack:"c"`
	// Share is the entry's weight in the fair queue.
	Share float64 `json:"share" msgpack:"s"`
	// MaxConcurrent bounds requests under way in the whole fleet.
	MaxConcurrent int `json:"max_concurrent,omitempty" msgpack:"m,omitempty"`
	// MaxQueued bounds requests waiting in the whole fleet.
	MaxQueued int `json:"max_queued,omitempty" msgpack:"q,omitempty"`
	// RatePerSecond bounds requests started a second in the whole fleet.
	RatePerSecond float64 `json:"rate_per_second,omitempty" msgpack:"r,omitempty"`
	// BudgetTokens, BudgetTurns and BudgetCalls bound one program together
	// with its sub-agents.
	BudgetTokens int `json:"budget_tokens,omitempty" msgpack:"bt,omitempty"`
	BudgetTurns  int `json:"budget_turns,omitempty" msgpack:"bn,omitempty"`
	BudgetCalls  int `json:"budget_calls,omitempty" msgpack:"bc,omitempty"`
	// IdleSeconds ends a program that made no request for so long.
	IdleSeconds int  `json:"idle_seconds,omitempty" msgpack:"i,omitempty"`
	Retired     bool `json:"retired,omitempty" msgpack:"x,omitempty"`
	// Author, Reason and ChangedAt describe the last edit.
	Author    string    `json:"author,omitempty" msgpack:"a,omitempty"`
	Reason    string    `json:"reason,omitempty" msgpack:"w,omitempty"`
	ChangedAt time.Time `json:"changed_at,omitzero" msgpack:"t,omitempty"`
	// Baseline is set while a limit is above what it was before a raise.
	Baseline *Baseline `json:"baseline,omitempty" msgpack:"l,omitempty"`
	// Version is the platform's version of the object; it is not stored in it.
	Version int64 `json:"-" msgpack:"v"`
}

// EntryLimits is the part of an Entry that raising and lowering change.
type EntryLimits struct {
	Share         float64 `json:"share" msgpack:"s"`
	MaxConcurrent int     `json:"max_concurrent" msgpack:"m"`
	MaxQueued     int     `json:"max_queued" msgpack:"q"`
	RatePerSecond float64 `json:"rate_per_second" msgpack:"r"`
}

// Baseline holds the limits before the first raise that was not lowered again,
// and says when and why that raise was made.
type Baseline struct {
	EntryLimits
	RaisedAt time.Time `json:"raised_at,omitzero" msgpack:"t,omitempty"`
	RaisedBy string    `json:"raised_by,omitempty" msgpack:"a,omitempty"`
	Reason   string    `json:"reason,omitempty" msgpack:"w,omitempty"`
}

// Limits returns the limits of the entry.
func (e Entry) Limits() EntryLimits {
	return EntryLimits{
		Share:         e.Share,
		MaxConcurrent: e.MaxConcurrent,
		MaxQueued:     e.MaxQueued,
		RatePerSecond: e.RatePerSecond,
	}
}

// State of an instance or backend server in the platform's list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
	// StateVanished is that of a backend server which the platform has ceased to
	// list without a word, a moment ago. It may still serve.
	StateVanished = "vanished"
)

// Instance is one daemon as the platform's list and its own settings name it.
type Instance struct {
	Name       string `json:"name" msgpack:"n"`
	Region     string `json:"region" msgpack:"r"`
	DataCentre string `json:"data_centre" msgpack:"d"`
	// PeerAddr and HTTPAddr are IP:port.
	PeerAddr string `json:"peer_addr" msgpack:"p"`
	HTTPAddr string `json:"http_addr" msgpack:"h"`
	State    string `json:"state" msgpack:"s"`
	// Incarnation rises with each start of the daemon.
	Incarnation uint64 `json:"incarnation,omitempty" msgpack:"i,omitempty"`
	// Duty is what the daemon does; empty for one that serves programs.
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

// Server is a backend server as the platform describes it.
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
	// Slots bounds calls under way at a plain service; 0 means unlimited.
	Slots int `json:"slots,omitempty" msgpack:"l,omitempty"`
	// Started is the time of the server's start in Unix milliseconds; 0 when it
	// is not known. A server that starts again has nothing of before.
	Started int64 `json:"started,omitempty" msgpack:"b,omitempty"`
	// Fences says whether the server refuses orders with an old fencing number.
	Fences bool `json:"fences,omitempty" msgpack:"f,omitempty"`
	// Lookup says whether a plain service answers look-ups of a call by key.
	Lookup bool `json:"lookup,omitempty" msgpack:"u,omitempty"`
	// KVTransfer says whether an engine imports KV cache from other engines and
	// exports it to them.
	KVTransfer bool `json:"kv_transfer,omitempty" msgpack:"x,omitempty"`
	// KVTransferRate is the rate of an import in tokens a second; 0 means that
	// it is not known.
	KVTransferRate float64 `json:"kv_transfer_rate,omitempty" msgpack:"y,omitempty"`
}
