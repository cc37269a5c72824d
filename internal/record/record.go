// Package record frames the records of a file on disk, each with its length and a checksum,
// so that a reader finds the end of what was written whole, and syncs directories.
package record

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// HeaderBytes is the size of a record's length and checksum.
	HeaderBytes = 4 + 8
	// MaxBodyBytes limits the body of a record. A higher length is taken for a torn header.
	MaxBodyBytes = 8 << 20
)

// Append appends a record with the given body to out.
func Append(out, body []byte) []byte {
	out = binary.BigEndian.AppendUint32(out, uint32(len(body)))
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(body))
	return append(out, body...)
}

// Next returns the body of the first record of content and what follows the record. It returns
// false if content does not begin with an intact record.
func Next(content []byte) (body, rest []byte, ok bool) {
	if len(content) < HeaderBytes {
		return nil, content, false
	}
	size := binary.BigEndian.Uint32(content)
	sum := binary.BigEndian.Uint64(content[4:])
	if size > MaxBodyBytes || int(size) > len(content)-HeaderBytes {
		return nil, content, false
	}
	end := HeaderBytes + int(size)
	body = content[HeaderBytes:end]
	if xxhash.Sum64(body) != sum {
		return nil, content, false
	}
	return body, content[end:], true
}
