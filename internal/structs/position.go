package structs

import (
	"hash/crc64"
	"strconv"
	"strings"
)

// Position is a position in an answer: the number of events and of bytes of text up
// to it, and a checksum of that text. Two runs of a turn may split the same text into
// different events, so the position is given in bytes too, and the checksum detects
// whether the text before it has changed.
type Position struct {
	Seq      int    `msgpack:"s"`
	Bytes    int    `msgpack:"b"`
	Checksum uint64 `msgpack:"h"`
}

// crcTable is the table of the checksum. A CRC can be continued from its value alone,
// so another daemon can continue from a Position.
var crcTable = crc64.MakeTable(crc64.ECMA)

// startSum is the checksum of the empty text. It is not 0, because 0 marks a position
// without a checksum; see HasChecksum.
const startSum uint64 = 1

// StartPosition returns the position before the first event.
func StartPosition() Position { return Position{Checksum: startSum} }

// Advance moves the position past text without counting an event.
func (p *Position) Advance(text string) {
	p.Checksum = crc64.Update(p.Checksum, crcTable, []byte(text))
	p.Bytes += len(text)
}

// String returns "<seq>-<bytes>-<sum>" with sum in hexadecimal, the format of the
// identifier of a server-sent event.
func (p Position) String() string {
	return strconv.Itoa(p.Seq) + "-" + strconv.Itoa(p.Bytes) + "-" + strconv.FormatUint(p.Checksum, 16)
}

// SeqString returns the number of events alone, the format of a position without a
// checksum.
func (p Position) SeqString() string { return strconv.Itoa(p.Seq) }

// ParsePosition parses the formats of String and of SeqString. For the latter,
// HasChecksum is false. It returns false for a malformed text.
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
	return Position{Seq: seq, Bytes: size, Checksum: sum}, true
}

// HasChecksum reports whether the position has a checksum of the text and not only a
// number of events.
func (p Position) HasChecksum() bool { return p.Checksum != 0 }
