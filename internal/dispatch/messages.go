package dispatch

import (
	"time"

	"ibisline/internal/structs"
)

// Methods that a dispatcher serves to peers.
const (
	methodGenerate = "dispatch.generate"
	methodSlot     = "dispatch.slot"
	methodStatus   = "dispatch.status"
)

// generateRequest asks the dispatcher of an engine to run a model call on it.
type generateRequest struct {
	Engine   string                  `msgpack:"e"`
	Request  structs.GenerateRequest `msgpack:"r"`
	TimeLeft remainingTime           `msgpack:"w"`
}

// remainingTime is the time left until a deadline. It is sent instead of the
// deadline, because the clocks of daemons may differ.
type remainingTime struct {
	Bounded bool          `msgpack:"b"`
	Left    time.Duration `msgpack:"l"`
}

func remainingUntil(deadline time.Time) remainingTime {
	return remainingTime{Bounded: !deadline.IsZero(), Left: time.Until(deadline)}
}

// deadline returns the deadline on the local clock, or zero if there is none.
func (r remainingTime) deadline() time.Time {
	if !r.Bounded {
		return time.Time{}
	}
	return time.Now().Add(r.Left)
}

// generateFrame is one message of the answer stream: a piece of text, or the
// result in the last frame. The last frame also carries Status, including after
// an error.
type generateFrame struct {
	Text   string                  `msgpack:"t,omitempty"`
	Result *structs.GenerateResult `msgpack:"g,omitempty"`
	Status *EngineStatus           `msgpack:"s,omitempty"`
}

// slotRequest asks the dispatcher of a plain service for a slot. The slot is held
// for as long as the stream stays open.
type slotRequest struct {
	Server   string              `msgpack:"e"`
	Request  structs.SlotRequest `msgpack:"r"`
	TimeLeft remainingTime       `msgpack:"w"`
}

// slotReply answers slotRequest when the slot was granted.
type slotReply struct {
	Slot structs.Slot `msgpack:"s"`
}

// statusRequest asks a dispatcher for the status of its engines.
type statusRequest struct{}

// statusReply answers statusRequest.
type statusReply struct {
	Engines []EngineStatus `msgpack:"e"`
}

// EngineStatus is the status of an engine that its dispatcher reports to routers.
type EngineStatus struct {
	Engine  string `msgpack:"e" json:"engine"`
	Window  int    `msgpack:"w" json:"window"`
	Running int    `msgpack:"r" json:"running"`
	Waiting int    `msgpack:"q" json:"waiting"`
	// WaitingCost is the estimated cost of the waiting requests in tokens.
	WaitingCost float64 `msgpack:"c" json:"waiting_cost"`
	// Gap is the mean time between the tokens of one stream.
	Gap time.Duration `msgpack:"g" json:"gap_ns"`
	// DecodeGap is the mean time between tokens while no prompt is being
	// computed.
	DecodeGap time.Duration `msgpack:"b" json:"decode_gap_ns"`
	// Service is the mean time that a request runs.
	Service time.Duration `msgpack:"t" json:"service_ns"`
	// Prefilling is the number of admitted prompt tokens still to be computed.
	Prefilling int `msgpack:"p" json:"prefilling"`
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64 `msgpack:"f" json:"prefill_rate"`
	// KVFree is the free KV memory in the last load report, in tokens.
	KVFree int `msgpack:"k" json:"kv_free"`
	// CacheAge is the mean time from the last use of a cached prefix to its
	// eviction, or 0 before the first eviction.
	CacheAge time.Duration `msgpack:"a" json:"cache_age_ns"`
	// TransferRate is the rate of recent KV cache imports in tokens per second,
	// or 0 if there were none.
	TransferRate float64 `msgpack:"x,omitempty" json:"transfer_rate,omitempty"`
	// TransferAvoid lists the engines from which imports failed recently.
	TransferAvoid []string `msgpack:"y,omitempty" json:"transfer_avoid,omitempty"`
	// Leaving is set when the engine accepts no new work.
	Leaving bool `msgpack:"l,omitempty" json:"leaving,omitempty"`
	// Down is set when the engine cannot be reached.
	Down bool `msgpack:"d,omitempty" json:"down,omitempty"`
	// Slow is set when the engine is slower than its peers of the same model.
	Slow bool `msgpack:"s,omitempty" json:"slow,omitempty"`
}

// Share is the granted share and the usage of a catalogue entry at this daemon's
// dispatcher.
type Share struct {
	Entry          string  `json:"entry"`
	Owner          string  `json:"owner"`
	Granted        float64 `json:"granted"`
	ReceivedTokens int64   `json:"received_tokens"`
	Waiting        int     `json:"waiting"`
}
