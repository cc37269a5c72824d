package explain

import (
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// messageEnded is the message of the one line that a gateway writes for each request.
const messageEnded = "request ended"

const (
	// contextBefore and contextAfter are the spans around a request of which the
	// story tells what its gateway came to know: a lost dependency is noticed some
	// probes before or after a request fails for it.
	contextBefore = 3 * time.Second
	contextAfter  = time.Second
	// maxContext bounds the lines of context, the nearest ones to the request.
	maxContext = 20
)

// ErrUnknownRequest is returned when no log has a line about a request.
var ErrUnknownRequest = errors.New("no line about this request; a gateway that was killed has written none")

// Logs collects the records that a story may need. Lines about other requests are
// dropped as they are read.
type Logs struct {
	request string
	about   []Record
	states  []Record
}

// NewLogs returns an empty collection for one request.
func NewLogs(request string) *Logs { return &Logs{request: request} }

// Add takes a record.
func (l *Logs) Add(r Record) {
	switch r.text("request") {
	case l.request:
		l.about = append(l.about, r)
	case "":
		l.states = append(l.states, r)
	}
}

// Line is one line of a story.
type Line struct {
	Record
	// At is the time since the request's arrival on its gateway's clock, and Skew
	// what was added to the clock of another daemon.
	At   time.Duration `json:"at_ns"`
	Skew time.Duration `json:"skew_ns"`
}

// Story is what the logs say of a request.
type Story struct {
	Request string `json:"request"`
	Program string `json:"program,omitempty"`
	Gateway string `json:"gateway"`
	// Lines are the lines about the request and its gateway's context, in order.
	Lines []Line `json:"lines"`
	Cause string `json:"cause"`
}

// Story puts the records in order.
func (l *Logs) Story() (Story, error) {
	ended := slices.IndexFunc(l.about, func(r Record) bool { return r.Message == messageEnded })
	if ended < 0 {
		return Story{}, errors.Wrap(ErrUnknownRequest, l.request)
	}
	end := l.about[ended]
	begin := end.Time.Add(-end.milliseconds("took_ms"))
	story := Story{Request: l.request, Program: end.text("program"), Gateway: end.Instance, Cause: causeOf(end)}
	for _, r := range l.about {
		story.Lines = append(story.Lines, placed(r, end, begin))
	}
	for _, r := range l.context(end, begin) {
		story.Lines = append(story.Lines, Line{Record: r, At: r.Time.Sub(begin)})
	}
	slices.SortStableFunc(story.Lines, func(a, b Line) int { return int(a.At - b.At) })
	return story, nil
}

// placed puts a line about the request on the clock of its gateway. What another
// daemon did for the request, it did between arrival and end; if its clock says
// otherwise, the clock is off by at least the difference.
func placed(r, end Record, begin time.Time) Line {
	at := r.Time
	if r.Instance != end.Instance {
		if at.Before(begin) {
			at = begin
		}
		if at.After(end.Time) {
			at = end.Time
		}
	}
	return Line{Record: r, At: at.Sub(begin), Skew: at.Sub(r.Time)}
}

// context returns what the request's gateway came to know around the request.
func (l *Logs) context(end Record, begin time.Time) []Record {
	servers := serversOf(end)
	var near []Record
	for _, r := range l.states {
		if r.Instance != end.Instance || r.Time.Before(begin.Add(-contextBefore)) || r.Time.After(end.Time.Add(contextAfter)) {
			continue
		}
		if server := r.text("server"); server != "" && !slices.Contains(servers, server) {
			continue
		}
		near = append(near, r)
	}
	slices.SortStableFunc(near, func(a, b Record) int {
		return int(distance(a.Time, begin, end.Time) - distance(b.Time, begin, end.Time))
	})
	return near[:min(len(near), maxContext)]
}

// distance is how far a time lies outside a span.
func distance(at, begin, end time.Time) time.Duration {
	return max(begin.Sub(at), at.Sub(end), 0)
}

// serversOf returns the names of the backend servers that a request was sent to. A
// send is logged as SERVER:OUTCOME.
func serversOf(end Record) []string {
	var names []string
	for _, send := range end.list("sends") {
		name, _, _ := strings.Cut(send, ":")
		names = append(names, name)
	}
	return names
}
