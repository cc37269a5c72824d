package structs

import (
	"hash/crc64"
	"strconv"
	"strings"
)

// Position is a place in an answer: the events and bytes of text up to it and a
// checksum of that text. Two runs of a turn may cut the same text into different
// events, so the place is given in bytes, and the checksum tells whether the text
// before it is still the same.
type Position struct {
	Seq   int    `msgpack:"s"`
	Bytes int    `msgpack:"b"`
	Sum   uint64 `msgpack:"h"`
}

// checksums is the table of the text's checksum. A CRC can be continued from its
// value alone, so that another daemon may go on from a Position.
var checksums = crc64.MakeTable(crc64.ECMA)

// startSum is the checksum of no text. It is not 0, which marks a position
// without text; see Whole.
const startSum uint64 = 1

// Start is the position before the first event.
func Start() Position { return Position{Sum: startSum} }

// Advance moves the position over text without counting an event.
func (p *Position) Advance(text string) {
	p.Sum = crc64.Update(p.Sum, checksums, []byte(text))
	p.Bytes += len(text)
}

// String returns "<seq>-<bytes>-<sum>", the form used as the identifier of a
// server-sent event.
func (p Position) String() string {
	return strconv.Itoa(p.Seq) + "-" + strconv.Itoa(p.Bytes) + "-" + strconv.FormatUint(p.Sum, 16)
}

// Count returns the number of events alone, for a position that is not whole.
func (p Position) Count() string { return strconv.Itoa(p.Seq) }

// ParsePosition reads the form that String returns. It also reads a bare number
// of events, which Whole then tells apart.
func ParsePosition(text string) (Position, bool) {
	parts := strings.Split(text, "-")
	seq, err := strconv.Atoi(parts[0])
	if err != nil || seq < 0 {
		return Position{}, false
	}
	if len(parts) == 1 {
		return Position{Seq: seq}, true
	}
	if len(parts) != 3 {
		return Position{}, false
	}
	size, err := strconv.Atoi(parts[1])
	if err != nil || size < 0 {
		return Position{}, false
	}
	sum, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return Position{}, false
	}
	return Position{Seq: seq, Bytes: size, Sum: sum}, true
}

// Whole is true when the position names its text and not only a count of events.
func (p Position) Whole() bool { return p.Sum != 0 }
