package platform_test

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/platform/platformtest"
)

// The crowd of callers that stay outside the limits, and what a gateway may use meanwhile. The memory is
// lowered from that of the smallest machine, 112 MB, so that a small crowd is enough; the
// descriptors are half of those of the machine.
const (
	hostileMemoryMB    = 64
	hostileDescriptors = 2048
	hostileCallers     = 80
	silentConnections  = 3000
	// hostileTime is the time for which the crowd holds on to its connections, hostileBytes what one
	// connection sends at most where the caller sends without end.
	hostileTime  = 4 * time.Second
	hostileBytes = 4 << 20
	// legalHeadBytes is the largest head within the limits.
	legalHeadBytes = 16 << 10
)

// hostile is set to run TestCallersOutsideTheLimitsDoNotEndAGateway.
var hostile = flag.Bool("hostile", false, "run the test of callers outside the limits, apart from other load")

// TestCallersOutsideTheLimitsDoNotEndAGateway guards against callers that end a gateway, or keep it from
// answering others, by what they make it hold: memory or descriptors.
func TestCallersOutsideTheLimitsDoNotEndAGateway(t *testing.T) {
	if !*hostile {
		t.Skip("runs apart from other load, by its flag")
	}
	f := newTestFleetWith(t, 1, func(f *testFleet) {
		f.gatewayMemoryMB, f.maxBodyBytes = hostileMemoryMB, maxHostileBody
	})
	gateway := gatewayName(0)
	addr := f.daemons[gateway].listenAddr
	for name, attack := range map[string]func(t *testing.T, i int, conn net.Conn){
		"legal heads of many short lines": func(_ *testing.T, i int, conn net.Conn) {
			sendAndHold(conn, shortLinesHead(i, func(line int) string { return "h" + strconv.Itoa(line) + ":" }))
		},
		"legal heads of one repeated line": func(_ *testing.T, i int, conn net.Conn) {
			sendAndHold(conn, shortLinesHead(i, func(int) string { return "a:" }))
		},
		"legal heads on connections that were used well": func(t *testing.T, i int, conn net.Conn) {
			good := "GET /nowhere/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: good-" + strconv.Itoa(i) + "\r\n\r\n"
			_, _ = io.WriteString(conn, good)
			_, _ = conn.Read(make([]byte, 4<<10))
			sendAndHold(conn, shortLinesHead(i, func(line int) string { return "h" + strconv.Itoa(line) + ":" }))
		},
		"heads without end": func(_ *testing.T, _ int, conn net.Conn) {
			_, _ = io.WriteString(conn, "GET /look/1 HTTP/1.1\r\nHost: a.example\r\n")
			sendWithoutEnd(conn, func(n int) string { return "h" + strconv.Itoa(n) + ":\r\n" })
		},
		"one header line without end": func(_ *testing.T, _ int, conn net.Conn) {
			_, _ = io.WriteString(conn, "GET /look/1 HTTP/1.1\r\nHost: a.example\r\nLong: ")
			sendWithoutEnd(conn, func(int) string { return strings.Repeat("x", 1<<10) })
		},
		"empty lines without end": func(_ *testing.T, _ int, conn net.Conn) {
			sendWithoutEnd(conn, func(int) string { return strings.Repeat("\r\n", 512) })
		},
		"bodies in chunks of one byte": func(_ *testing.T, i int, conn net.Conn) {
			_, _ = io.WriteString(conn, requestHead(i, "Transfer-Encoding: chunked\r\n"))
			sendWithoutEnd(conn, func(int) string { return strings.Repeat("1\r\nx\r\n", 256) })
		},
		"chunk extensions without end": func(_ *testing.T, i int, conn net.Conn) {
			_, _ = io.WriteString(conn, requestHead(i, "Transfer-Encoding: chunked\r\n")+"1;e=")
			sendWithoutEnd(conn, func(int) string { return strings.Repeat("x", 1<<10) })
		},
		"trailers without end": func(_ *testing.T, i int, conn net.Conn) {
			_, _ = io.WriteString(conn, requestHead(i, "Transfer-Encoding: chunked\r\n")+"1\r\nx\r\n0\r\n")
			sendWithoutEnd(conn, func(n int) string { return "t" + strconv.Itoa(n) + ":\r\n" })
		},
		"bodies of the largest legal size": func(_ *testing.T, i int, conn net.Conn) {
			size := maxHostileBody
			body := bytes.Repeat([]byte("b"), size-1)
			_, _ = io.WriteString(conn, requestHead(i, "Content-Length: "+strconv.Itoa(size)+"\r\n"))
			// The last byte is never sent.
			sendAndHold(conn, string(body))
		},
		"bodies of the largest legal size, one after the other": func(_ *testing.T, i int, conn net.Conn) {
			head, body := requestHead(i, "Content-Length: "+strconv.Itoa(maxHostileBody)+"\r\n"), bytes.Repeat([]byte("b"), maxHostileBody)
			responses := bufio.NewReader(conn)
			for end := time.Now().Add(hostileTime); time.Now().Before(end); {
				if _, err := conn.Write(append([]byte(head), body...)); err != nil {
					return
				}
				response, err := http.ReadResponse(responses, nil)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
		},
		"responses that are not read": func(_ *testing.T, i int, conn net.Conn) {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetReadBuffer(4 << 10)
			}
			_, _ = io.WriteString(conn, requestHead(i, "Large: 1\r\nContent-Length: 0\r\n"))
			time.Sleep(hostileTime)
		},
		"one byte a second": func(_ *testing.T, i int, conn net.Conn) {
			for _, b := range []byte(requestHead(i, ""))[:hostileTime/time.Second] {
				_, _ = conn.Write([]byte{b})
				time.Sleep(time.Second)
			}
		},
		"identifiers of the greatest length": func(_ *testing.T, i int, conn net.Conn) {
			for turn := range 40 {
				id := fmt.Sprintf("%04d-%04d-", i, turn) + strings.Repeat("i", legalHeadBytes/4)
				_, err := io.WriteString(conn, "POST /turn/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\nAttempt-Id: "+id+
					"\r\nProgram-Id: "+id+"\r\nToken-Budget: 1000\r\nToken-Usage: 10,10\r\n\r\n")
				if err != nil {
					return
				}
				if _, err := conn.Read(make([]byte, 16<<10)); err != nil {
					return
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) { f.attack(t, gateway, addr, hostileCallers, attack) })
	}
	silent := func(_ *testing.T, _ int, _ net.Conn) { time.Sleep(hostileTime) }
	t.Run("silent connections", func(t *testing.T) { f.attack(t, gateway, addr, silentConnections, silent) })

	// The listener for operators also answers the readiness check, and the one for other daemons is known
	// to anybody on the network.
	for name, addr := range map[string]string{
		"operators": f.daemons[gateway].httpAddr, "daemons": f.daemons[gateway].peerAddr,
	} {
		t.Run("silent connections to "+name, func(t *testing.T) { f.attack(t, gateway, addr, silentConnections, silent) })
		for attack, send := range map[string]func(conn net.Conn){
			"heads without end": func(conn net.Conn) {
				_, _ = io.WriteString(conn, "GET /v1/status HTTP/1.1\r\nHost: a.example\r\n")
				sendWithoutEnd(conn, func(n int) string { return "h" + strconv.Itoa(n) + ":\r\n" })
			},
			"bodies without end": func(conn net.Conn) {
				_, _ = io.WriteString(conn, "GET /v1/dump HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n")
				sendWithoutEnd(conn, func(int) string { return strings.Repeat("1\r\nx\r\n", 256) })
			},
			"answers that are not read": func(conn net.Conn) {
				if tcp, ok := conn.(*net.TCPConn); ok {
					_ = tcp.SetReadBuffer(4 << 10)
				}
				sendAndHold(conn, strings.Repeat("GET /metrics HTTP/1.1\r\nHost: a.example\r\n\r\n", 50))
			},
			"zeros without end": func(conn net.Conn) {
				sendWithoutEnd(conn, func(int) string { return strings.Repeat("\x00", 1<<10) })
			},
			"frames of the greatest length": func(conn net.Conn) {
				sendWithoutEnd(conn, func(int) string { return strings.Repeat("\xff", 1<<10) })
			},
		} {
			t.Run(attack+" to "+name, func(t *testing.T) {
				f.attack(t, gateway, addr, hostileCallers, func(_ *testing.T, _ int, conn net.Conn) { send(conn) })
			})
		}
	}
}

// maxHostileBody is the limit on bodies in the configuration of the test, below the default of 4 MB.
const maxHostileBody = 1 << 20

// attack runs a crowd against a gateway that was just started, and checks what must hold.
func (f *testFleet) attack(t *testing.T, gateway, addr string, callers int, attack func(*testing.T, int, net.Conn)) {
	f.restart(gateway)
	f.scriptEngines()
	for name, server := range f.servers {
		if strings.HasPrefix(name, "till") {
			server.Script(func(run platformtest.Run) platformtest.Reply {
				if run.Header.Get("Large") != "" {
					return platformtest.Reply{Body: strings.Repeat("r", 900<<10)}
				}
				return platformtest.Reply{Body: "ok", Delay: hostileTime / 2}
			})
		}
	}
	pid := f.process(gateway).PID()
	var crowd sync.WaitGroup
	for i := range callers {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			continue // refused
		}
		_ = conn.SetDeadline(time.Now().Add(2 * hostileTime))
		crowd.Go(func() {
			defer conn.Close()
			attack(t, i, conn)
		})
	}
	descriptors, readyAnswers := 0, 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		crowd.Wait()
	}()
	for ended := false; !ended; {
		select {
		case <-done:
			ended = true
		case <-time.After(100 * time.Millisecond):
		}
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
			descriptors = max(descriptors, len(open))
		}
		if f.isReady(gateway) {
			readyAnswers++
		}
	}
	select {
	case <-f.process(gateway).Done():
		require.Fail(t, "the gateway has ended")
	default:
	}
	peak := peakMemoryMB(t, pid)
	t.Logf("peak memory %d MB, %d descriptors, %d answers to readiness checks", peak, descriptors, readyAnswers)
	for _, server := range f.allServers() {
		server.Always(platformtest.Reply{Body: "ok"})
	}
	f.waitUntil("an ordinary request is answered", func() bool {
		return f.call(gateway, http.MethodGet, "/look/1").status == http.StatusOK
	})
	require.LessOrEqual(t, peak, hostileMemoryMB)
	require.LessOrEqual(t, descriptors, hostileDescriptors)
	require.NotZero(t, readyAnswers, "the readiness check is answered meanwhile")
}

// peakMemoryMB returns the largest resident memory that a process has had.
func peakMemoryMB(t *testing.T, pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	require.True(t, found)
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(t, err)
	return kilobytes >> 10
}

// requestHead returns the head of a proper request with further header lines.
func requestHead(i int, lines string) string {
	return "POST /look/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: hostile-" + strconv.Itoa(i) + "\r\nDeadline-Ms: 4000\r\n" + lines + "\r\n"
}

// shortLinesHead returns a head of the largest legal size that consists of short lines.
func shortLinesHead(i int, line func(int) string) string {
	var lines strings.Builder
	for n := 0; lines.Len() < legalHeadBytes-256; n++ {
		lines.WriteString(line(n) + "\r\n")
	}
	return requestHead(i, "Content-Length: 0\r\n"+lines.String())
}

// sendAndHold sends a text and keeps the connection open.
func sendAndHold(conn net.Conn, text string) {
	_, _ = io.WriteString(conn, text)
	time.Sleep(hostileTime)
}

// sendWithoutEnd sends until the connection breaks or hostileBytes were sent.
func sendWithoutEnd(conn net.Conn, next func(n int) string) {
	for n, sent := 0, 0; sent < hostileBytes; n++ {
		written, err := io.WriteString(conn, next(n))
		if err != nil {
			return
		}
		sent += written
	}
	time.Sleep(time.Second)
}
