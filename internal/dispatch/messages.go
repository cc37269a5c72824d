package dispatch

import (
	"time"

	"ibisline/internal/structs"
)

// Methods under which a dispatcher is served to peers.
const (
	methodGenerate = "dispatch.generate"
	methodSlot     = "dispatch.slot"
	methodStatus   = "dispatch.status"
)

// generateOrder asks the dispatcher of an engine to run a model call there.
type generateOrder struct {
	Engine  string                  `msgpack:"e"`
	Request structs.GenerateRequest `msgpack:"r"`
	Wait    wait                    `msgpack:"w"`
}

// wait is the time left until a deadline. It crosses the wire in place of the
// deadline, because the clocks of daemons may differ.
type wait struct {
	Bounded bool          `msgpack:"b"`
	Left    time.Duration `msgpack:"l"`
}

func waitUntil(deadline time.Time) wait {
	return wait{Bounded: !deadline.IsZero(), Left: time.Until(deadline)}
}

// deadline is the time by the local clock.
func (w wait) deadline() time.Time {
	if !w.Bounded {
		return time.Time{}
	}
	return time.Now().Add(w.Left)
}

// generateFrame is a part of the answer: a piece of text, or at the end the
// result. Status comes with the first and the last frame.
type generateFrame struct {
	Text   string             `msgpack:"t,omitempty"`
	Result *structs.Generated `msgpack:"g,omitempty"`
	Status *EngineStatus      `msgpack:"s,omitempty"`
}

// slotOrder asks the dispatcher of a plain service for a slot. The slot is held
// for as long as the stream stays open.
type slotOrder struct {
	Server  string              `msgpack:"e"`
	Request structs.SlotRequest `msgpack:"r"`
	Wait    wait                `msgpack:"w"`
}

// slotGranted answers slotOrder when the slot was granted.
type slotGranted struct {
	Slot structs.Slot `msgpack:"s"`
}

// statusRequest asks for the state of the servers that a dispatcher owns.
type statusRequest struct{}

// statusReply answers statusRequest.
type statusReply struct {
	Engines []EngineStatus `msgpack:"e"`
}

// EngineStatus is what the dispatcher of a backend server tells routers.
type EngineStatus struct {
	Engine  string `msgpack:"e" json:"engine"`
	Window  int    `msgpack:"w" json:"window"`
	Running int    `msgpack:"r" json:"running"`
	Waiting int    `msgpack:"q" json:"waiting"`
	// WaitingCost is the estimated cost of the waiting requests in tokens.
	WaitingCost float64 `msgpack:"c" json:"waiting_cost"`
	// Gap is the mean time between the tokens of one stream.
	Gap time.Duration `msgpack:"g" json:"gap_ns"`
	// DecodeGap is the same beside no prompt that is being computed.
	DecodeGap time.Duration `msgpack:"b" json:"decode_gap_ns"`
	// Service is the mean time that a request is under way.
	Service time.Duration `msgpack:"t" json:"service_ns"`
	// Prefilling is the number of admitted prompt tokens still to be computed.
	Prefilling int `msgpack:"p" json:"prefilling"`
	// PrefillRate is in prompt tokens a second.
	PrefillRate float64 `msgpack:"f" json:"prefill_rate"`
	// KVFree is the unused KV memory of the last load report, in tokens.
	KVFree int `msgpack:"k" json:"kv_free"`
	// CacheAge is the mean time from the last use of a cached prefix to its
	// eviction, 0 when none was evicted.
	CacheAge time.Duration `msgpack:"a" json:"cache_age_ns"`
	// TransferRate is the rate of its imports of KV cache in tokens a second, 0
	// when there were none lately.
	TransferRate float64 `msgpack:"x,omitempty" json:"transfer_rate,omitempty"`
	// TransferAvoid are engines from which imports failed lately.
	TransferAvoid []string `msgpack:"y,omitempty" json:"transfer_avoid,omitempty"`
	// Leaving is set when the server takes no new work.
	Leaving bool `msgpack:"l,omitempty" json:"leaving,omitempty"`
	// Down is set when the server cannot be reached.
	Down bool `msgpack:"d,omitempty" json:"down,omitempty"`
	// Slow is set when the engine is slower than its peers of the same model.
	Slow bool `msgpack:"s,omitempty" json:"slow,omitempty"`
}

// Share is what an entry was granted and received at this daemon's dispatcher.
type Share struct {
	Entry          string  `json:"entry"`
	Owner          string  `json:"owner"`
	Granted        float64 `json:"granted"`
	ReceivedTokens int64   `json:"received_tokens"`
	Waiting        int     `json:"waiting"`
}
