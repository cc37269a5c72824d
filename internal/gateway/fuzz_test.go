package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/verdict"
	"ibisline/platform"
	"ibisline/platform/platformtest"
)

// Guards against bytes of a server that crash the decoding of events, that it drops or repeats, and
// against a stream that counts as complete though it ends inside an event.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	f.Add([]byte("id:9\r\ndata:\r\n\r\n: comment\n\n\n"))
	f.Add([]byte("id: 99999999999999999999\ndata: a\n\nid"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		events := bufio.NewScanner(bytes.NewReader(sent))
		events.Buffer(nil, len(sent)+1)
		events.Split(splitEvents)
		var relayed, output []byte
		for events.Scan() {
			relayed = append(relayed, events.Bytes()...)
			if id, known := eventID(events.Bytes()); known {
				require.True(t, isPartOfStream(events.Bytes()), id)
			}
			output = appendEventData(output, events.Bytes())
		}
		require.True(t, bytes.HasPrefix(sent, relayed))
		require.Equal(t, len(relayed) < len(sent), errors.Is(events.Err(), errInsideEvent))
		require.LessOrEqual(t, len(output), len(sent))
	})
}

// Guards against heads and bodies of callers that crash a gateway, that make it hold more than the limit of
// a body, or that it passes on with a key or the caller's own name of a team.
func FuzzRequest(f *testing.F) {
	const head = "POST /turn/1 HTTP/1.1\r\nHost: a.example\r\n" + platformtest.HeaderAttempt + ": r1\r\n"
	f.Add([]byte(head + "Content-Length: 4\r\nAuthorization: Bearer k\r\n\r\nbody"))
	f.Add([]byte(head + "Transfer-Encoding: chunked\r\nTenant: x\r\n\r\n4;x=y\r\nbody\r\n0\r\nT: u\r\n\r\n"))
	f.Add([]byte(head + "Prompt-Prefix: a:1,b:2\r\n" + platformtest.HeaderTokens + ": 3,4\r\nDeadline-Ms: 1e3\r\nCookie: Affinity-Key=\"o\"\r\n\r\n"))
	f.Add([]byte(head + "Authorization: Bearer k\r\nauthorization: Basic l\r\nConnection: Tenant, close\r\n\r\n"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(sent)))
		if err != nil {
			return
		}
		const limit = 256
		decoded, err := platform.Adapter{}.DecodeRequest(r, time.Time{})
		require.NotNil(t, decoded)
		if err != nil {
			require.True(t, verdict.Is(err, verdict.NotRun), "a request that cannot be decoded has not run")
			return
		}
		decoded.ChecksKeys, decoded.Team = true, "weavers"
		header := platform.Adapter{}.ForwardHeader(decoded, "server-1", 1, 0)
		require.NotContains(t, header, "Authorization")
		require.Equal(t, []string{"weavers"}, header["Tenant"])
		for name := range header {
			require.False(t, strings.EqualFold(name, "Transfer-Encoding") || strings.EqualFold(name, "Connection"), name)
		}
		body, err := readBody(httptest.NewRecorder(), r, limit, time.Now().Add(time.Minute))
		require.LessOrEqual(t, len(body), limit)
		if err != nil {
			require.True(t, verdict.Is(err, verdict.NotRun))
		}
	})
}
