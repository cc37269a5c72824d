package platform_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/objectapi"
	"ibisline/platform/platformtest"
)

const (
	// crashLimit is the number of crashes under a request after which it is refused, and
	// refusalDelay the time within which all gateways refuse it.
	crashLimit   = 3
	refusalDelay = 3 * time.Second
	// maxLateRetries is the number of retries that may reach servers after refusalDelay.
	maxLateRetries = 3
	// crashDowntime is the time from a crash to the next run of the server, and entryLapse
	// that to the removal of the entry of the run that has ended.
	crashDowntime = 1200 * time.Millisecond
	entryLapse    = 3600 * time.Millisecond
	// returnPause is the pause of the caller of a crashing request after an attempt.
	returnPause = 300 * time.Millisecond
)

// crashingBody is the body of the request that crashes servers.
const crashingBody = "body that crashes servers"

// mortalServer is a backend server that crashes when it runs a request with crashingBody, and
// comes back at its address as another instance.
type mortalServer struct {
	fleet    *testFleet
	location int
	addr     string

	mu       sync.Mutex
	run      int
	listener net.Listener
	server   *platformtest.Server
	crashes  []crash
	// limit is the requests a second that it names, 0 for none. receipts holds what it got.
	limit    float64
	receipts []receipt
	former   []*platformtest.Server
}

// crash is the end of a run under an attempt.
type crash struct {
	at      time.Time
	attempt string
}

// receipt is a request that a server got while it named a limit, 0 for none.
type receipt struct {
	at      time.Time
	attempt string
	limit   float64
	run     int
}

// addMortalServers starts backend servers of the tills in addition to the existing ones.
func (f *testFleet) addMortalServers(count int) []*mortalServer {
	var all []*mortalServer
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(f.t, err)
		m := &mortalServer{fleet: f, location: i % len(locations), addr: listener.Addr().String()}
		m.start(fmt.Sprintf("mortal-%d", i), listener)
		f.t.Cleanup(m.stop)
		all = append(all, m)
	}
	f.mortal = append(f.mortal, all...)
	return all
}

// start serves a listener as a new instance.
func (m *mortalServer) start(base string, listener net.Listener) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.run++
	name := fmt.Sprintf("%s-run-%d", base, m.run)
	server := platformtest.NewServer(name)
	number := m.run
	server.Script(func(run platformtest.Run) platformtest.Reply {
		header := m.receive(run, number)
		if reply, inTrouble := replyInTrouble(run); inTrouble {
			return reply
		}
		if run.Body != crashingBody {
			return platformtest.Reply{Body: "done " + run.ID, Header: header}
		}
		go m.crash(base, number, run.ID)
		return platformtest.Reply{Silent: true}
	})
	server.AnswerEarly(answerEarlyInTrouble)
	m.server, m.listener = server, listener
	m.former = append(m.former, server)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.Serve(conn)
		}
	}()
	go m.fleet.retry("register "+name, func() error {
		return m.fleet.tryPut("servers/"+name, serverEntry(tills, m.location, m.addr, "ready"))
	})
}

// receive records a request that a run has got, and returns the header of the response.
func (m *mortalServer) receive(run platformtest.Run, number int) http.Header {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.receipts = append(m.receipts, receipt{at: run.At, attempt: run.ID, limit: m.limit, run: number})
	if m.limit == 0 {
		return nil
	}
	return http.Header{platformtest.HeaderLimit: {strconv.FormatFloat(m.limit, 'f', -1, 64)}}
}

// crash ends a run under an attempt, unless that has ended already. The next one starts after
// crashDowntime, and the entry of the former one lapses after entryLapse.
func (m *mortalServer) crash(base string, number int, attempt string) {
	m.mu.Lock()
	if m.run != number || len(m.crashes) == number {
		m.mu.Unlock()
		return
	}
	name := m.server.Name
	m.crashes = append(m.crashes, crash{at: time.Now(), attempt: attempt})
	m.listener.Close()
	server := m.server
	m.mu.Unlock()
	// The server calls its script, which locks mu, with a lock of its own.
	server.Crash()
	time.AfterFunc(entryLapse, func() {
		m.fleet.retry("remove "+name, func() error { return m.fleet.tryRemove("servers/" + name) })
	})
	time.AfterFunc(crashDowntime, func() {
		listener, err := net.Listen("tcp", m.addr)
		if err != nil {
			m.fleet.t.Errorf("%s does not start again: %v", name, err)
			return
		}
		m.start(base, listener)
	})
}

func (m *mortalServer) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listener.Close()
}

// removeEntry removes an object from the platform's store.
func (f *testFleet) removeEntry(key string) { require.NoError(f.t, f.tryRemove(key)) }

// tryRemove is removeEntry that fails while the store is unavailable.
func (f *testFleet) tryRemove(key string) error {
	ctx := context.Background()
	old, err := f.store.Get(ctx, key)
	if err == nil {
		err = f.store.Delete(ctx, key, old.Version)
	}
	if errors.Is(err, objectapi.ErrNotFound) {
		return nil
	}
	return err
}

// retry repeats a write of a server to the store until the store is available.
func (f *testFleet) retry(what string, write func() error) {
	err := write()
	for end := time.Now().Add(conditionTimeout); err != nil && time.Now().Before(end); err = write() {
		time.Sleep(pollInterval)
	}
	if err != nil {
		f.t.Errorf("%s: %v", what, err)
	}
}

// crashesOf returns all crashes of the servers, in order.
func crashesOf(servers []*mortalServer) []crash {
	var all []crash
	for _, m := range servers {
		m.mu.Lock()
		all = append(all, m.crashes...)
		m.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b crash) int { return a.at.Compare(b.at) })
	return all
}

// crashingCaller sends the request that crashes servers again and again, at one gateway after
// the other.
type crashingCaller struct {
	fleet   *testFleet
	servers []*mortalServer
	next    int
	// changing makes each attempt that of another program.
	changing bool
}

// send sends the request once and returns the status; 0 means no answer.
func (c *crashingCaller) send() int {
	gateway := gateways[c.next%len(gateways)]
	c.next++
	program := "program"
	if c.changing {
		program = fmt.Sprintf("program-%d", c.next)
	}
	got := c.fleet.call(gateway, http.MethodPost, "/redeem/1", withBody(crashingBody), func(r *http.Request) {
		r.Header.Set("Program-Id", program)
		r.Header.Set("Session-Id", program)
	})
	time.Sleep(returnPause)
	return got.status
}

// sendUntilCrashes sends the request until a number of servers have crashed under it.
func (c *crashingCaller) sendUntilCrashes(count int) {
	c.fleet.waitUntil(fmt.Sprintf("%d servers have crashed", count), func() bool {
		if len(crashesOf(c.servers)) < count {
			c.send()
		}
		return len(crashesOf(c.servers)) >= count
	})
}

// withBody replaces the body of a request.
func withBody(body string) func(*http.Request) {
	return func(r *http.Request) {
		replaced, err := http.NewRequest(r.Method, r.URL.String(), strings.NewReader(body))
		if err != nil {
			return
		}
		r.Body, r.ContentLength, r.GetBody = replaced.Body, replaced.ContentLength, replaced.GetBody
	}
}

// newCrashingFleet starts a fleet whose tills all crash under the request of the caller.
func newCrashingFleet(t *testing.T) (*testFleet, *crashingCaller) {
	f := newTestFleet(t)
	for name := range f.servers {
		if strings.HasPrefix(name, "till") {
			f.removeEntry("servers/" + name)
		}
	}
	c := &crashingCaller{fleet: f, servers: f.addMortalServers(6)}
	f.waitUntil("the gateways use the servers", func() bool {
		for _, gateway := range gateways {
			if f.call(gateway, http.MethodPost, "/redeem/1").status != http.StatusOK {
				return false
			}
		}
		return true
	})
	return f, c
}

// requireRefused sends the request on for a while after refusalDelay and requires that hardly any
// attempt reaches a server.
func (c *crashingCaller) requireRefused() {
	third := crashesOf(c.servers)[crashLimit-1].at
	for time.Since(third) < refusalDelay {
		c.send()
	}
	before := len(crashesOf(c.servers))
	for range 12 {
		c.send()
	}
	crashes := crashesOf(c.servers)
	c.fleet.t.Logf("crashes: %d, of which %d late", len(crashes), len(crashes)-before)
	require.LessOrEqual(c.fleet.t, len(crashes)-before, maxLateRetries)
}

// Guards against taking each return of a request for another request because its caller sends it
// as a new program.
func TestRequestOfChangingProgramsIsRefused(t *testing.T) {
	_, c := newCrashingFleet(t)
	c.changing = true
	c.sendUntilCrashes(crashLimit)
	c.requireRefused()
}

// Guards against losing the crashes counted so far when every gateway is restarted in turn.
func TestCrashesOutlastRestartOfEveryGateway(t *testing.T) {
	f, c := newCrashingFleet(t)
	c.sendUntilCrashes(crashLimit - 1)
	for _, gateway := range gateways {
		f.restart(gateway)
	}
	c.sendUntilCrashes(crashLimit)
	c.requireRefused()
}

// Guards against losing the refusal of a request when all gateways are killed at the same time.
func TestRefusalOutlastsLossOfAllGateways(t *testing.T) {
	f, c := newCrashingFleet(t)
	c.requireRefusalAfterLossOf(f, gateways)
}

// Guards against losing the refusal of a request when all daemons are killed at the same time.
func TestRefusalOutlastsLossOfAllDaemons(t *testing.T) {
	f, c := newCrashingFleet(t)
	c.requireRefusalAfterLossOf(f, slices.Collect(maps.Keys(f.daemons)))
}

// requireRefusalAfterLossOf kills daemons at the same time, twice, after the request was refused, and
// requires that it reaches no server refusalDelay after they are back.
func (c *crashingCaller) requireRefusalAfterLossOf(f *testFleet, names []string) {
	c.sendUntilCrashes(crashLimit)
	f.waitUntil("all gateways refuse the request", func() bool {
		for range gateways {
			if c.send() != http.StatusServiceUnavailable {
				return false
			}
		}
		return true
	})
	for range 2 {
		before := len(crashesOf(c.servers))
		for _, name := range names {
			f.kill(name)
		}
		for _, name := range names {
			f.start(name)
		}
		for _, name := range names {
			f.waitReady(name)
		}
		time.Sleep(refusalDelay)
		for range 6 {
			c.send()
		}
		require.Len(f.t, crashesOf(c.servers), before, "no server crashes after the loss")
	}
}
