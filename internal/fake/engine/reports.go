package engine

import "time"

// reportInterval is the minimum interval between two load reports.
const reportInterval = 50 * time.Millisecond

// Load is a load report, as GET /v1/load returns it. DecodeMS is the time per
// output token in milliseconds, AgeMS the age of the report.
type Load struct {
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	KVUsed   int      `json:"kv_used_tokens"`
	KVTotal  int      `json:"kv_total_tokens"`
	DecodeMS float64  `json:"decode_ms"`
	AgeMS    int64    `json:"age_ms"`
	Leaving  bool     `json:"leaving"`
	Models   []string `json:"models"`

	taken time.Time
}

// reports holds load reports back until they are lag old.
type reports struct {
	lag     time.Duration
	pending []Load
}

func newReports(lag time.Duration) *reports { return &reports{lag: lag} }

// add records a report, at most one per reportInterval.
func (r *reports) add(load Load) {
	load.taken = time.Now()
	if n := len(r.pending); n > 0 && load.taken.Sub(r.pending[n-1].taken) < reportInterval {
		return
	}
	r.pending = append(r.pending, load)
	r.dropSuperseded()
}

// dropSuperseded drops the reports before the newest visible one.
func (r *reports) dropSuperseded() {
	for len(r.pending) > 1 && time.Since(r.pending[1].taken) >= r.lag {
		r.pending = r.pending[1:]
	}
}

// visible returns the newest report that is at least lag old, or the oldest one
// when there is none. It returns false when nothing was recorded yet.
func (r *reports) visible() (Load, bool) {
	r.dropSuperseded()
	if len(r.pending) == 0 {
		return Load{}, false
	}
	load := r.pending[0]
	load.AgeMS = time.Since(load.taken).Milliseconds()
	return load, true
}

// Kinds of cache events.
const (
	eventStored  = "stored"
	eventEvicted = "evicted"
)

// maxEvents bounds the number of cache events in memory.
const maxEvents = 4096

// Event is a change of the KV cache of one program.
type Event struct {
	Seq     int64  `json:"seq"`
	Program string `json:"program"`
	Kind    string `json:"kind"`
	Tokens  int    `json:"tokens"`

	at time.Time
}

// events is the log of cache events. It loses each lossInterval-th event and
// delays the others by lag.
type events struct {
	lag          time.Duration
	lossInterval int
	seq          int64
	recorded     []Event
}

func newEvents(lag time.Duration, lossInterval int) *events {
	return &events{lag: lag, lossInterval: lossInterval}
}

// add appends an event. A lost event uses up a sequence number but is not recorded.
func (e *events) add(program, kind string, tokens int) {
	e.seq++
	if e.lossInterval > 0 && e.seq%int64(e.lossInterval) == 0 {
		return
	}
	e.recorded = append(e.recorded, Event{Seq: e.seq, Program: program, Kind: kind, Tokens: tokens, at: time.Now()})
	if len(e.recorded) > maxEvents {
		e.recorded = e.recorded[len(e.recorded)-maxEvents:]
	}
}

// after returns the events with a higher sequence number that are at least lag old.
func (e *events) after(seq int64) []Event {
	found := []Event{}
	for _, event := range e.recorded {
		if event.Seq > seq && time.Since(event.at) >= e.lag {
			found = append(found, event)
		}
	}
	return found
}
