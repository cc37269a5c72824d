// Package explain reconstructs the timeline of one request from the log files of all
// daemons.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/go-faster/errors"
)

// Record is one line of a daemon's log.
type Record struct {
	Time     time.Time      `json:"time"`
	Level    string         `json:"level"`
	Message  string         `json:"message"`
	Instance string         `json:"instance"`
	Fields   map[string]any `json:"fields"`
}

// stringField returns the value of a string field, or "".
func (r Record) stringField(name string) string {
	value, _ := r.Fields[name].(string)
	return value
}

// millisecondsField returns the value of a field that holds a duration in
// milliseconds, or 0.
func (r Record) millisecondsField(name string) time.Duration {
	value, _ := r.Fields[name].(float64)
	return time.Duration(value) * time.Millisecond
}

// stringListField returns the strings of a field that holds a list.
func (r Record) stringListField(name string) []string {
	values, _ := r.Fields[name].([]any)
	var texts []string
	for _, value := range values {
		if text, ok := value.(string); ok {
			texts = append(texts, text)
		}
	}
	return texts
}

// maxLineBytes bounds a log line. Daemons write no longer records.
const maxLineBytes = 1 << 20

// Read calls handle for every record of a log. Lines without a record are skipped and
// counted. Text that a log collector wrote in front of a record is ignored.
func Read(r io.Reader, handle func(Record)) (skipped int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		record, ok := parseLine(lines.Bytes())
		if !ok {
			skipped++
			continue
		}
		handle(record)
	}
	if err := lines.Err(); err != nil {
		return skipped, errors.Wrap(err, "read log")
	}
	return skipped, nil
}

// parseLine decodes the record of a line and reports whether it has one.
func parseLine(line []byte) (Record, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return Record{}, false
	}
	var decoded struct {
		Fields    map[string]any `json:"fields"`
		Level     string         `json:"level"`
		Timestamp time.Time      `json:"timestamp"`
		Message   string         `json:"message"`
	}
	if json.Unmarshal(line[start:], &decoded) != nil || decoded.Message == "" {
		return Record{}, false
	}
	record := Record{Time: decoded.Timestamp, Level: decoded.Level, Message: decoded.Message, Fields: decoded.Fields}
	record.Instance = record.stringField("instance")
	return record, true
}
