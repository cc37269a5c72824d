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
	// status is that of the status line, 0 before that was read, and http10 is set if its version is HTTP/1.0.
	status int
	http10 bool
	// hasEncoding and hasLength are set if the head has fields for the transfer encoding and the length,
	// and hasBody if one of them announces a body.
	hasEncoding, hasLength, hasBody bool
	// partial is the start of a line whose end has not arrived.
	partial []byte
}

// begin starts a new head.
func (s *headScanner) begin() { *s = headScanner{active: true} }

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
	case s.status == 0:
		status, err := parseStatusLine(line)
		s.status, s.http10 = status, bytes.HasPrefix(line, []byte("HTTP/1.0 "))
		return err
	case len(line) > 0:
		return s.scanField(line)
	}
	if err := s.checkLength(); err != nil {
		return err
	}
	// Releases partial, as connections stay idle for long.
	*s = headScanner{active: s.status < firstFinalStatus}
	return nil
}

// checkLength checks at the end of a head that it leaves no doubt about the length of the body. net/http ignores
// the encoding in HTTP/1.0, the length beside an encoding, and both where there is no body: what the server
// sends all the same would then be read as the next response.
func (s *headScanner) checkLength() error {
	switch {
	case s.hasEncoding && s.http10:
		return errors.Wrap(ErrMalformed, "transfer encoding in HTTP/1.0")
	case s.hasEncoding && s.hasLength:
		return errors.Wrap(ErrMalformed, "length and transfer encoding")
	case s.hasBody && (s.status < firstFinalStatus || s.status == http.StatusNoContent):
		return errors.Wrapf(ErrMalformed, "body of a response with status %d", s.status)
	}
	return nil
}

// scanField checks a line of a field. One that begins with a blank would continue the value before it, which
// servers must not send: net/http could take the length of the body for a part of another field.
func (s *headScanner) scanField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) || !httpguts.ValidHeaderFieldValue(string(value)) {
		return errors.Wrapf(ErrMalformed, "field %.80q", line)
	}
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.hasEncoding, s.hasBody = true, true
	case bytes.EqualFold(name, []byte("Content-Length")):
		s.hasLength = true
		s.hasBody = s.hasBody || len(bytes.Trim(value, " \t0")) > 0
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
