package explain

import (
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// messageRequestEnded is the message of the single log line that a gateway writes for
// each request.
const messageRequestEnded = "request ended"

const (
	// contextBefore and contextAfter bound the time around a request within which the
	// timeline includes other log lines of its gateway: a lost dependency is detected
	// some probes before or after a request fails because of it.
	contextBefore = 3 * time.Second
	contextAfter  = time.Second
	// maxContextLines bounds the context lines; those nearest to the request are kept.
	maxContextLines = 20
)

// ErrUnknownRequest is returned when no log has the final line of a request.
var ErrUnknownRequest = errors.New("no log line for the end of this request; a gateway that was killed has not written one")

// Logs collects the records for the timeline of one request. Records of other
// requests are dropped as they are read.
type Logs struct {
	request string
	// requestRecords concern the request, and otherRecords no particular request.
	requestRecords []Record
	otherRecords   []Record
}

// NewLogs returns an empty collection for one request.
func NewLogs(request string) *Logs { return &Logs{request: request} }

// Add stores a record unless it belongs to another request.
func (l *Logs) Add(r Record) {
	switch r.stringField("request") {
	case l.request:
		l.requestRecords = append(l.requestRecords, r)
	case "":
		l.otherRecords = append(l.otherRecords, r)
	}
}

// Line is one log line of a timeline.
type Line struct {
	Record
	// At is the time since the arrival of the request on the clock of its gateway, and
	// Skew the correction that was added to the clock of another daemon.
	At   time.Duration `json:"at_ns"`
	Skew time.Duration `json:"skew_ns"`
}

// Timeline is the history of one request in the logs.
type Timeline struct {
	Request string `json:"request"`
	Program string `json:"program,omitempty"`
	Gateway string `json:"gateway"`
	// Lines are the lines of the request and the context lines of its gateway, ordered
	// by time.
	Lines []Line `json:"lines"`
	Cause string `json:"cause"`
}

// Timeline builds the timeline of the request. It returns ErrUnknownRequest when the
// final log line of the request is missing.
func (l *Logs) Timeline() (Timeline, error) {
	ended := slices.IndexFunc(l.requestRecords, func(r Record) bool { return r.Message == messageRequestEnded })
	if ended < 0 {
		return Timeline{}, errors.Wrap(ErrUnknownRequest, l.request)
	}
	end := l.requestRecords[ended]
	begin := end.Time.Add(-end.millisecondsField("took_ms"))
	timeline := Timeline{
		Request: l.request, Program: end.stringField("program"), Gateway: end.Instance, Cause: describeOutcome(end),
	}
	for _, r := range l.requestRecords {
		timeline.Lines = append(timeline.Lines, alignClock(r, end, begin))
	}
	for _, r := range l.contextLines(end, begin) {
		timeline.Lines = append(timeline.Lines, Line{Record: r, At: r.Time.Sub(begin)})
	}
	slices.SortStableFunc(timeline.Lines, func(a, b Line) int { return int(a.At - b.At) })
	return timeline, nil
}

// alignClock converts a line of the request to the clock of its gateway. Other
// daemons work on a request only between its arrival and its end. If their timestamp
// lies outside of that interval, their clock is off by at least the difference.
func alignClock(r, end Record, begin time.Time) Line {
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

// contextLines returns the records of the request's gateway around the request that
// belong to no other request and to no backend server that it was not sent to.
func (l *Logs) contextLines(end Record, begin time.Time) []Record {
	servers := serversOf(end)
	var near []Record
	for _, r := range l.otherRecords {
		if r.Instance != end.Instance ||
			r.Time.Before(begin.Add(-contextBefore)) || r.Time.After(end.Time.Add(contextAfter)) {
			continue
		}
		if server := r.stringField("server"); server != "" && !slices.Contains(servers, server) {
			continue
		}
		near = append(near, r)
	}
	slices.SortStableFunc(near, func(a, b Record) int {
		return int(distanceOutside(a.Time, begin, end.Time) - distanceOutside(b.Time, begin, end.Time))
	})
	return near[:min(len(near), maxContextLines)]
}

// distanceOutside returns how far a time lies outside of an interval, or 0 inside.
func distanceOutside(at, begin, end time.Time) time.Duration {
	return max(begin.Sub(at), at.Sub(end), 0)
}

// serversOf returns the names of the backend servers that a request was sent to. A
// send is logged as SERVER:OUTCOME.
func serversOf(end Record) []string {
	var names []string
	for _, send := range end.stringListField("sends") {
		name, _, _ := strings.Cut(send, ":")
		names = append(names, name)
	}
	return names
}
