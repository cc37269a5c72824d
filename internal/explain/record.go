// Package explain tells the story of one request from the logs of a fleet.
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

// text returns a field that holds a text, or "".
func (r Record) text(name string) string {
	value, _ := r.Fields[name].(string)
	return value
}

// milliseconds returns a field that holds a span.
func (r Record) milliseconds(name string) time.Duration {
	value, _ := r.Fields[name].(float64)
	return time.Duration(value) * time.Millisecond
}

// list returns the texts of a field that holds several.
func (r Record) list(name string) []string {
	values, _ := r.Fields[name].([]any)
	var texts []string
	for _, value := range values {
		if text, ok := value.(string); ok {
			texts = append(texts, text)
		}
	}
	return texts
}

// maxLineBytes bounds a line of a log; longer ones are no records of a daemon.
const maxLineBytes = 1 << 20

// Read calls take for every record of a log. Lines that hold none are skipped and
// counted; what a collector wrote before a record is ignored.
func Read(r io.Reader, take func(Record)) (skipped int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		record, ok := parse(lines.Bytes())
		if !ok {
			skipped++
			continue
		}
		take(record)
	}
	if err := lines.Err(); err != nil {
		return skipped, errors.Wrap(err, "read log")
	}
	return skipped, nil
}

// parse decodes a line.
func parse(line []byte) (Record, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return Record{}, false
	}
	var read struct {
		Fields    map[string]any `json:"fields"`
		Level     string         `json:"level"`
		Timestamp time.Time      `json:"timestamp"`
		Message   string         `json:"message"`
	}
	if json.Unmarshal(line[start:], &read) != nil || read.Message == "" {
		return Record{}, false
	}
	record := Record{Time: read.Timestamp, Level: read.Level, Message: read.Message, Fields: read.Fields}
	record.Instance = record.text("instance")
	return record, true
}
