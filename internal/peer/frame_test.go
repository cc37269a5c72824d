package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

const testMaxBytes = 1 << 10

// encoded returns an encoded frame with the given message.
func encoded(t testing.TB, kind frameKind, message any) []byte {
	t.Helper()
	b, err := encodeFrame(kind, message, testMaxBytes)
	require.NoError(t, err)
	return b
}

func TestFrameRoundTrip(t *testing.T) {
	want := structs.Event{Seq: 7, Text: "text", Err: verdict.Refuse(verdict.QueueFull, "full")}
	in := bytes.NewReader(append(encoded(t, frameData, want), encoded(t, frameEnd, nil)...))
	first, err := readFrame(in, testMaxBytes)
	require.NoError(t, err)
	var got structs.Event
	require.NoError(t, first.decode(&got))
	require.Equal(t, want, got)
	second, err := readFrame(in, testMaxBytes)
	require.NoError(t, err)
	require.Equal(t, frameEnd, second.kind)
	_, err = readFrame(in, testMaxBytes)
	require.Equal(t, io.EOF, err)
}

func TestMalformedFramesAreRejected(t *testing.T) {
	whole := encoded(t, frameData, "text")
	tooLong := bytes.Clone(whole)
	binary.BigEndian.PutUint32(tooLong[1:], testMaxBytes+1)
	cases := map[string]struct {
		bytes []byte
		want  error
	}{
		"no kind":       {append([]byte{0}, whole[1:]...), errFrameKind},
		"unknown kind":  {append([]byte{99}, whole[1:]...), errFrameKind},
		"too large":     {tooLong, errFrameTooLarge},
		"short header":  {whole[:3], errFrameTruncated},
		"short payload": {whole[:len(whole)-1], errFrameTruncated},
		"no payload":    {whole[:headerBytes], errFrameTruncated},
	}
	for name, c := range cases {
		_, err := readFrame(bytes.NewReader(c.bytes), testMaxBytes)
		require.ErrorIs(t, err, c.want, name)
	}
	_, err := encodeFrame(frameData, make([]byte, testMaxBytes+1), testMaxBytes)
	require.ErrorIs(t, err, errFrameTooLarge)
}

// FuzzReadFrame checks that readFrame and decode do not panic or read beyond the
// frame, and that an accepted payload has the size given in its header.
func FuzzReadFrame(f *testing.F) {
	f.Add(encoded(f, frameHello, hello{Version: 1, From: "a", To: "b"}))
	f.Add(encoded(f, frameOpen, openStream{Method: "home.turn"}))
	f.Add(encoded(f, frameData, structs.TurnRequest{Program: "r.1.p", Turn: 1, Messages: []structs.Message{{Role: "user"}}}))
	f.Add(encoded(f, frameError, verdict.Refuse(verdict.QueueFull, "full")))
	f.Add(encoded(f, frameEnd, nil))
	f.Add([]byte{byte(frameData), 0xff, 0xff, 0xff, 0xff, 0x91})
	f.Add([]byte{byte(frameData), 0, 0, 0, 2, 0xdd, 0xff})
	f.Add([]byte{byte(frameError), 0, 0, 0, 5, 0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		in := bytes.NewReader(data)
		for {
			before := in.Len()
			got, err := readFrame(in, testMaxBytes)
			if err != nil {
				return
			}
			require.Equal(t, headerBytes+len(got.payload), before-in.Len())
			require.LessOrEqual(t, len(got.payload), testMaxBytes)
			for _, message := range []any{
				new(hello), new(openStream), new(structs.TurnRequest), new(structs.Event), new(verdict.Error),
			} {
				if got.decode(message) == nil {
					_, err := msgpack.Marshal(message)
					require.NoError(t, err)
				}
			}
		}
	})
}
