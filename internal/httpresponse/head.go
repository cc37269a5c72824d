package httpresponse

import (
	"bytes"
	"net/http"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is the cause of errors about bytes that are no response.
var ErrMalformed = errors.New("malformed response")

// headScanner checks the lines of a response head as they arrive. net/http accepts more than HTTP allows, and
// what it accepts it may take for something else.
type headScanner struct {
	// active is set from the start of a head to its end.
	active bool
	// statusLineSeen and interim are set once the status line was read, and if its status is that of an
	// interim response.
	statusLineSeen bool
	interim        bool
	// partial is the start of a line whose end has not arrived.
	partial []byte
}

// begin starts a new head.
func (s *headScanner) begin() { *s = headScanner{active: true, partial: s.partial[:0]} }

// scan checks the next bytes of a connection, which may contain the start of a body. A head that follows that of
// an interim response is checked too.
func (s *headScanner) scan(read []byte) error {
	for s.active {
		end := bytes.IndexByte(read, '\n')
		if end < 0 {
			s.partial = append(s.partial, read...)
			return nil
		}
		line := read[:end]
		if len(s.partial) > 0 {
			s.partial = append(s.partial, line...)
			line = s.partial
		}
		err := s.scanLine(bytes.TrimSuffix(line, []byte("\r")))
		if err != nil {
			return err
		}
		s.partial, read = s.partial[:0], read[end+1:]
	}
	return nil
}

// scanLine checks one line without its end.
func (s *headScanner) scanLine(line []byte) error {
	switch {
	case !s.statusLineSeen:
		status, err := parseStatusLine(line)
		s.statusLineSeen, s.interim = true, status < firstFinalStatus
		return err
	case len(line) == 0 && s.interim:
		s.begin()
	case len(line) == 0:
		s.active = false
	default:
		return checkField(line)
	}
	return nil
}

// checkField checks a line of a field. One that begins with a blank would continue the value before it, which
// servers must not send: net/http could take the length of the body for a part of another field.
func checkField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) || !httpguts.ValidHeaderFieldValue(string(value)) {
		return errors.Wrapf(ErrMalformed, "field %.80q", line)
	}
	return nil
}

// checkTrailer checks the fields after a body in chunks. net/http accepts blanks in their names, and
// checks the rest.
func checkTrailer(trailer http.Header) error {
	for name := range trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformed, "trailer field %.80q", name)
		}
	}
	return nil
}

// Statuses of responses, see RFC 9110, section 15.
const (
	firstStatus        = 100
	switchingProtocols = 101
	firstFinalStatus   = 200
	lastStatus         = 599
	statusDigits       = 3
)

// parseStatusLine returns the status in the first line of a head.
func parseStatusLine(line []byte) (int, error) {
	version, rest, found := bytes.Cut(line, []byte(" "))
	minor, isHTTP1 := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !found || !isHTTP1 || len(minor) != 1 || !isDigit(minor[0]) || !httpguts.ValidHeaderFieldValue(string(rest)) {
		return 0, errors.Wrapf(ErrMalformed, "status line %.80q", line)
	}
	digits, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status := 0
	for _, c := range digits {
		if !isDigit(c) || len(digits) != statusDigits {
			return 0, errors.Wrapf(ErrMalformed, "status line %.80q", line)
		}
		status = 10*status + int(c-'0')
	}
	// No request asks for another protocol.
	if status < firstStatus || status > lastStatus || status == switchingProtocols {
		return 0, errors.Wrapf(ErrMalformed, "status %.80q", digits)
	}
	return status, nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
