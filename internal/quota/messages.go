package quota

import "time"

const (
	methodReport  = "quota.report"
	methodTake    = "quota.take"
	methodJoin    = "quota.join"
	methodConfirm = "quota.confirm"
)

// usage is the number of requests of a team that a gateway has admitted since its last report. Term is the
// term that the gateway has joined in the slot of the team, 0 for none.
type usage struct {
	Team string `msgpack:"t"`
	Used int    `msgpack:"u,omitempty"`
	Term uint64 `msgpack:"e,omitempty"`
}

// reportRequest tells an issuer what a gateway has admitted, and how many gateways it has seen.
type reportRequest struct {
	From   string  `msgpack:"f"`
	Usages []usage `msgpack:"u"`
	Known  int     `msgpack:"k,omitempty"`
}

// standing is what an issuer says of the quota of a team. NotIssuer is set by a gateway that does not
// issue it, or cannot yet.
type standing struct {
	NotIssuer bool `msgpack:"n,omitempty"`
	// Term is the term in which the quota is issued.
	Term     uint64  `msgpack:"e,omitempty"`
	Tight    bool    `msgpack:"t,omitempty"`
	Fraction float64 `msgpack:"f,omitempty"`
	// RoomIn is the time until programs may begin, 0 if they may now.
	RoomIn time.Duration `msgpack:"w,omitempty"`
	// Left is the number of requests that are left at once, of Burst. PerSecond is the rate at which they come back, or
	// that of the team's requests if it is higher.
	Left      float64 `msgpack:"l,omitempty"`
	Burst     int     `msgpack:"b,omitempty"`
	PerSecond float64 `msgpack:"r,omitempty"`
}

// reportReply holds the standings of the teams of a report, in its order.
type reportReply struct {
	Standings []standing `msgpack:"s"`
}

// takeRequest asks an issuer for a permit, for which the request may wait.
type takeRequest struct {
	From    string        `msgpack:"f"`
	Team    string        `msgpack:"t"`
	Term    uint64        `msgpack:"e,omitempty"`
	Program Program       `msgpack:"p"`
	MaxWait time.Duration `msgpack:"m,omitempty"`
}

// takeReply answers a takeRequest. After is the time after which a granted request may be sent, and one
// that is not may be tried again.
type takeReply struct {
	Standing standing      `msgpack:"s"`
	Granted  bool          `msgpack:"g,omitempty"`
	After    time.Duration `msgpack:"a,omitempty"`
}

// joinRequest asks a gateway to join a term, and what it has admitted lately of the teams of its slot.
type joinRequest struct {
	Slot int    `msgpack:"s"`
	Term uint64 `msgpack:"e"`
}

// joinReply lists what a gateway has admitted in the last steps of recentStep, as many as its process is old, at
// most recentSteps. Teams that it did not have are left out.
type joinReply struct {
	Steps int         `msgpack:"n"`
	Teams []teamUsage `msgpack:"t,omitempty"`
}

// teamUsage is what a gateway knows of the use of a team's quota.
type teamUsage struct {
	Team string `msgpack:"t"`
	// Counts holds the admitted requests of each step, the newest first.
	Counts []int `msgpack:"c,omitempty"`
	// Heard is set if an issuer has told the gateway that Left, a part of the burst, was left HeardAgo.
	Heard    bool          `msgpack:"h,omitempty"`
	Left     float64       `msgpack:"l,omitempty"`
	HeardAgo time.Duration `msgpack:"a,omitempty"`
}

// confirmRequest asks a gateway which term it has joined last in a slot.
type confirmRequest struct {
	Slot int `msgpack:"s"`
}

// confirmReply holds that term, 0 for none.
type confirmReply struct {
	Term uint64 `msgpack:"e,omitempty"`
}
