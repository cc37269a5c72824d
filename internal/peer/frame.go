package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// frameKind is the type of a frame and determines the type of its payload.
type frameKind uint8

const (
	// frameHello carries a hello, the handshake of a connection.
	frameHello frameKind = iota + 1
	// frameOpen carries an openStream, the first frame of a stream.
	frameOpen
	// frameData carries one message.
	frameData
	// frameError carries the *verdict.Error that ends a stream.
	frameError
	// frameEnd means that the sender sends no more messages on the stream.
	frameEnd
	// frameKindEnd is one past the last valid kind.
	frameKindEnd
)

// headerBytes is the size of a frame header: one byte for the kind and four bytes
// for the payload length, big endian.
const headerBytes = 5

var (
	errFrameTooLarge  = errors.New("frame exceeds the size limit")
	errFrameKind      = errors.New("frame has an unknown kind")
	errFrameTruncated = errors.New("frame is truncated")
)

// frame is a frame as read from the wire. The payload is msgpack.
type frame struct {
	kind    frameKind
	payload []byte
}

// encodeFrame returns an encoded frame with its header, so that the caller can
// send it in a single write. maxBytes limits the payload.
func encodeFrame(kind frameKind, message any, maxBytes int) ([]byte, error) {
	var out bytes.Buffer
	out.Write(make([]byte, headerBytes))
	if message != nil {
		if err := msgpack.NewEncoder(&out).Encode(message); err != nil {
			return nil, errors.Wrap(err, "encode frame")
		}
	}
	encoded := out.Bytes()
	size := len(encoded) - headerBytes
	if size > maxBytes {
		return nil, errors.Wrapf(errFrameTooLarge, "%d bytes, limit %d", size, maxBytes)
	}
	encoded[0] = byte(kind)
	binary.BigEndian.PutUint32(encoded[1:headerBytes], uint32(size))
	return encoded, nil
}

// readFrame reads one frame with a payload of at most maxBytes. It returns io.EOF
// only when r ends between frames. It allocates memory for the bytes that arrive,
// not for the length in the header, which a faulty peer may set too high.
func readFrame(r io.Reader, maxBytes int) (frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return frame{}, errFrameTruncated
		}
		return frame{}, err
	}
	kind := frameKind(header[0])
	if kind == 0 || kind >= frameKindEnd {
		return frame{}, errors.Wrapf(errFrameKind, "kind %d", kind)
	}
	size := int64(binary.BigEndian.Uint32(header[1:]))
	if size > int64(maxBytes) {
		return frame{}, errors.Wrapf(errFrameTooLarge, "%d bytes, limit %d", size, maxBytes)
	}
	var payload bytes.Buffer
	if _, err := io.CopyN(&payload, r, size); err != nil {
		if errors.Is(err, io.EOF) {
			return frame{}, errFrameTruncated
		}
		return frame{}, err
	}
	return frame{kind: kind, payload: payload.Bytes()}, nil
}

// decode decodes the payload into message.
func (f frame) decode(message any) error {
	if err := msgpack.Unmarshal(f.payload, message); err != nil {
		return errors.Wrap(err, "decode frame")
	}
	return nil
}
