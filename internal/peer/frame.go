package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// frameKind says how the payload of a frame is to be read.
type frameKind uint8

const (
	// frameHello opens a connection, in both directions.
	frameHello frameKind = iota + 1
	// frameOpen starts a stream and names its method.
	frameOpen
	// frameData carries one message.
	frameData
	// frameError carries the *verdict.Error that ends a stream.
	frameError
	// frameEnd says that the sender sends no more messages.
	frameEnd
	frameKindEnd
)

// headerBytes is one byte of kind and four bytes of payload length, big endian.
const headerBytes = 5

var (
	errFrameTooLarge = errors.New("frame exceeds the size limit")
	errFrameKind     = errors.New("frame has an unknown kind")
	errFrameShort    = errors.New("frame ends early")
)

// frame is a decoded header with its payload, still encoded as msgpack.
type frame struct {
	kind    frameKind
	payload []byte
}

// encodeFrame returns a whole frame, so that it is written in one call.
func encodeFrame(kind frameKind, message any, limit int) ([]byte, error) {
	var out bytes.Buffer
	out.Write(make([]byte, headerBytes))
	if message != nil {
		if err := msgpack.NewEncoder(&out).Encode(message); err != nil {
			return nil, errors.Wrap(err, "encode frame")
		}
	}
	encoded := out.Bytes()
	size := len(encoded) - headerBytes
	if size > limit {
		return nil, errors.Wrapf(errFrameTooLarge, "%d bytes, limit %d", size, limit)
	}
	encoded[0] = byte(kind)
	binary.BigEndian.PutUint32(encoded[1:headerBytes], uint32(size))
	return encoded, nil
}

// readFrame reads one frame. It returns io.EOF only between frames. Memory grows
// with the bytes that arrive, not with the length that the header announces.
func readFrame(r io.Reader, limit int) (frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return frame{}, errFrameShort
		}
		return frame{}, err
	}
	kind := frameKind(header[0])
	if kind == 0 || kind >= frameKindEnd {
		return frame{}, errors.Wrapf(errFrameKind, "kind %d", kind)
	}
	size := int64(binary.BigEndian.Uint32(header[1:]))
	if size > int64(limit) {
		return frame{}, errors.Wrapf(errFrameTooLarge, "%d bytes, limit %d", size, limit)
	}
	var payload bytes.Buffer
	if _, err := io.CopyN(&payload, r, size); err != nil {
		if errors.Is(err, io.EOF) {
			return frame{}, errFrameShort
		}
		return frame{}, err
	}
	return frame{kind: kind, payload: payload.Bytes()}, nil
}

// decode reads the payload into message.
func (f frame) decode(message any) error {
	if err := msgpack.Unmarshal(f.payload, message); err != nil {
		return errors.Wrap(err, "decode frame")
	}
	return nil
}
