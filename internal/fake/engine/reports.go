package engine

import "time"

// reportEvery is the interval of load reports.
const reportEvery = 50 * time.Millisecond

// Load is a load report.
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

// reports keeps load reports until they are old enough to be shown.
type reports struct {
	lag  time.Duration
	kept []Load
}

func newReports(lag time.Duration) *reports { return &reports{lag: lag} }

// add keeps a report, at most one for each interval.
func (r *reports) add(load Load) {
	load.taken = time.Now()
	if n := len(r.kept); n > 0 && load.taken.Sub(r.kept[n-1].taken) < reportEvery {
		return
	}
	r.kept = append(r.kept, load)
	r.trim()
}

// trim drops the reports before the newest one that may be shown.
func (r *reports) trim() {
	for len(r.kept) > 1 && time.Since(r.kept[1].taken) >= r.lag {
		r.kept = r.kept[1:]
	}
}

// shown returns the newest report that is older than the lag, or else the
// oldest one.
func (r *reports) shown() (Load, bool) {
	r.trim()
	if len(r.kept) == 0 {
		return Load{}, false
	}
	load := r.kept[0]
	load.AgeMS = time.Since(load.taken).Milliseconds()
	return load, true
}

// Kinds of cache events.
const (
	eventStored  = "stored"
	eventEvicted = "evicted"
)

// keptEvents bounds the cache events kept.
const keptEvents = 4096

// Event is a change of the KV cache of one program.
type Event struct {
	Seq     int64  `json:"seq"`
	Program string `json:"program"`
	Kind    string `json:"kind"`
	Tokens  int    `json:"tokens"`

	at time.Time
}

// events is the log of cache events. Some are lost on purpose.
type events struct {
	lag  time.Duration
	gap  int
	seq  int64
	kept []Event
}

func newEvents(lag time.Duration, gap int) *events { return &events{lag: lag, gap: gap} }

// add appends an event; a lost one takes a number but is never shown.
func (l *events) add(program, kind string, tokens int) {
	l.seq++
	if l.gap > 0 && l.seq%int64(l.gap) == 0 {
		return
	}
	l.kept = append(l.kept, Event{Seq: l.seq, Program: program, Kind: kind, Tokens: tokens, at: time.Now()})
	if len(l.kept) > keptEvents {
		l.kept = l.kept[len(l.kept)-keptEvents:]
	}
}

// after returns the events beyond a number that are older than the lag.
func (l *events) after(seq int64) []Event {
	found := []Event{}
	for _, event := range l.kept {
		if event.Seq > seq && time.Since(event.at) >= l.lag {
			found = append(found, event)
		}
	}
	return found
}
