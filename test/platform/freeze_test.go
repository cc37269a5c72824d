package platform_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/fake/stalled"
	"ibisline/platform/platformtest"
)

const (
	// orderRoute would allow three servers, were its requests not to run at most once.
	orderRoute = `{"name":"order","host":"a.example","pathPrefix":"/order/","type":"non_idempotent","service":"tills",
		"timeoutMs":4000,"targetLatencyMs":400,"maxAttempts":3}`
	// freezePhase is the time for which gateways and servers freeze and connections are reset.
	freezePhase = 5 * time.Second
	// maxFreeze limits one freeze, so that some outlast the deadline of an order and some do not.
	maxFreeze = 900 * time.Millisecond
	// orderDeadline is the time that a caller gives an order.
	orderDeadline = 600 * time.Millisecond
	// patience is the time by which every order has ended: its deadline, freezes of its gateway that come
	// in a row, and a busy machine.
	patience = 10 * time.Second
	// largeOrderBytes is the size of an order that a server does not read at once.
	largeOrderBytes = 40 << 10
)

// faultyListener accepts connections of a server that freezes, and that resets connections before it
// has read a request, while it reads one and after that.
type faultyListener struct {
	*stalled.Listener
	// faulty is set while connections are reset.
	faulty *atomic.Bool
}

func (l faultyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &faultyConn{Conn: c, faulty: l.faulty}, nil
}

type faultyConn struct {
	net.Conn
	faulty *atomic.Bool
}

var errReset = errors.New("connection reset by the test")

// Close resets the connection while faults are on.
func (c *faultyConn) Close() error {
	if linger, ok := c.Conn.(interface{ SetLinger(int) error }); ok && c.faulty.Load() {
		if err := linger.SetLinger(0); err != nil {
			return errors.Join(err, c.Conn.Close())
		}
	}
	return c.Conn.Close()
}

func (c *faultyConn) Read(p []byte) (int, error) {
	if !c.faulty.Load() {
		return c.Conn.Read(p)
	}
	switch rand.N(20) {
	case 0: // Before a request, which may be on its way.
		time.Sleep(rand.N(20 * time.Millisecond))
	case 1: // While a request is read.
		if _, err := c.Conn.Read(p[:min(len(p), 1+rand.N(400))]); err != nil {
			return 0, err
		}
	default:
		return c.Conn.Read(p)
	}
	return 0, errors.Join(errReset, c.Close())
}

// addFaultyTills replaces the tills by servers that freeze and reset connections.
func (f *testFleet) addFaultyTills(count int, faulty *atomic.Bool) []*stalled.Listener {
	for name := range f.servers {
		if strings.HasPrefix(name, "till") {
			f.removeEntry("servers/" + name)
		}
	}
	var listeners []*stalled.Listener
	for i := range count {
		listener := stalled.Listen(f.t)
		f.t.Cleanup(func() { listener.Close() })
		server := platformtest.NewServer(fmt.Sprint("faulty-till-", i))
		server.Script(func(run platformtest.Run) platformtest.Reply {
			reply := platformtest.Reply{Body: "done " + run.ID, Delay: rand.N(40 * time.Millisecond)}
			if faulty.Load() {
				// After a request was read: it is run or rejected.
				reply.Reset, reply.NotExecuted = rand.N(12) == 0, rand.N(12) == 0
			}
			return reply
		})
		go serveConns(faultyListener{listener, faulty}, server)
		f.servers[server.Name] = server
		f.registerServer(tills, server.Name, i%len(locations), listener.Addr().String(), "ready")
		listeners = append(listeners, listener)
	}
	return listeners
}

// serveConns serves the connections of a listener until it is closed.
func serveConns(listener net.Listener, server *platformtest.Server) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go server.Serve(conn)
	}
}

// withDeadline gives a request a time limit.
func withDeadline(limit time.Duration) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds())) }
}

// Guards against orders that run twice, run although they were refused, get the answer of another one or
// neither an answer nor a close, when gateways and servers freeze and wake with orders in flight and
// servers reset connections in numbers.
func TestFreezesAndResetsNeitherDoubleNorLoseOrders(t *testing.T) {
	f := newTestFleet(t)
	var faulty atomic.Bool
	for name, server := range f.servers {
		if strings.HasPrefix(name, "till-") {
			server.Script(func(run platformtest.Run) platformtest.Reply { return platformtest.Reply{Body: "done " + run.ID} })
		}
	}
	listeners := f.addFaultyTills(2*len(locations), &faulty)
	f.putConfiguration(baseRoutes + "," + orderRoute)
	for _, gateway := range gateways {
		f.waitUntil(gateway+" takes orders", func() bool {
			return f.call(gateway, http.MethodPost, "/order/1").status == http.StatusOK
		})
	}
	faulty.Store(true)
	var answers answerLog
	var ended atomic.Bool
	var callers, freezes sync.WaitGroup
	for i := range 4 * len(gateways) {
		callers.Go(func() {
			// Every other caller leaves at its deadline, as the platform's clients do.
			client := &http.Client{Transport: &http.Transport{}, Timeout: patience}
			if i%2 == 0 {
				client.Timeout = orderDeadline
			}
			defer client.CloseIdleConnections()
			for n := i; !ended.Load(); n++ {
				started := time.Now()
				answers.add(f.callWith(client, gateways[n%len(gateways)], http.MethodPost, "/order/1", withDeadline(orderDeadline),
					func(r *http.Request) {
						if n%3 == 0 {
							withBody(strings.Repeat("x", largeOrderBytes))(r)
						}
					}))
				if time.Since(started) >= patience {
					t.Error("an order ended with neither an answer nor a close")
				}
			}
		})
	}
	// Freezes of gateways and of servers overlap.
	freeze := func(pause, resume func()) {
		freezes.Go(func() {
			for end := time.Now().Add(freezePhase); time.Now().Before(end); time.Sleep(rand.N(maxFreeze)) {
				pause()
				time.Sleep(rand.N(maxFreeze))
				resume()
			}
		})
	}
	for _, gateway := range gateways {
		p := f.process(gateway)
		freeze(func() { require.NoError(t, p.Pause()) }, func() { require.NoError(t, p.Resume()) })
	}
	for _, l := range listeners[:len(listeners)/2] {
		freeze(l.Stall, l.Resume)
	}
	freezes.Wait()
	ended.Store(true)
	callers.Wait()
	faulty.Store(false)
	f.checkOrders(answers.snapshot())
}

// checkOrders checks what callers were told of orders against what servers ran.
func (f *testFleet) checkOrders(answers []answer) {
	// An order that was refused must not run later either.
	time.Sleep(orderDeadline)
	runs, statuses := f.runsByAttempt(), map[int]int{}
	for _, a := range answers {
		statuses[a.status]++
		require.LessOrEqual(f.t, runs[a.id], 1, "%s ran more than once", a.id)
		switch a.status {
		case http.StatusOK:
			require.Equal(f.t, "done "+a.id, a.body)
			require.Equal(f.t, 1, runs[a.id])
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			require.Zero(f.t, runs[a.id], "%s was refused with %d but ran", a.id, a.status)
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
		default:
			require.Fail(f.t, "unexpected answer", "%+v", a)
		}
	}
	f.t.Logf("%d orders by status: %v", len(answers), statuses)
	require.NotZero(f.t, statuses[http.StatusBadGateway], "no connection was reset with an order in flight")
	require.Greater(f.t, statuses[http.StatusOK], len(answers)/5)
}

// Guards against a gateway that wakes and sends orders that were given up while it was frozen: the caller
// has sent the order again elsewhere, so that it would happen twice.
func TestOrdersGivenUpDuringAFreezeAreNotSent(t *testing.T) {
	f := newTestFleet(t)
	f.putConfiguration(baseRoutes + "," + orderRoute)
	var full atomic.Bool
	var rejected sync.Map // the orders that servers have rejected
	for _, server := range f.servers {
		server.Script(func(run platformtest.Run) platformtest.Reply {
			rejecting := full.Load()
			if rejecting {
				rejected.Store(run.ID, true)
			}
			return platformtest.Reply{Body: "done " + run.ID, NotExecuted: rejecting}
		})
	}
	gateway := gateways[0]
	f.waitUntil("orders are taken", func() bool { return f.call(gateway, http.MethodPost, "/order/1").status == http.StatusOK })
	const limit, orders = time.Second, 40
	for _, c := range []struct {
		name string
		// full lets the orders wait at the gateway for a server when it freezes. Otherwise they arrive while
		// it is frozen, and their callers close their connections at the deadline.
		full bool
		// begun is the number of orders whose write may begin as the gateway freezes.
		begun int
	}{{"waiting for a server", true, 1}, {"not read yet", false, 0}} {
		t.Run(c.name, func(t *testing.T) {
			p := f.process(gateway)
			client := &http.Client{Transport: &http.Transport{}, Timeout: patience}
			full.Store(c.full)
			if !c.full {
				client.Timeout = limit
				require.NoError(t, p.Pause())
			}
			var answers answerLog
			var callers sync.WaitGroup
			for range orders {
				callers.Go(func() {
					answers.add(f.callWith(client, gateway, http.MethodPost, "/order/1", withDeadline(limit)))
				})
			}
			if c.full {
				f.waitUntil("orders wait", func() bool {
					waiting := 0
					rejected.Range(func(any, any) bool { waiting++; return true })
					return waiting >= orders/2
				})
				require.NoError(t, p.Pause())
			}
			if c.full {
				time.Sleep(limit + limit/10)
				full.Store(false)
			} else {
				callers.Wait()
			}
			require.NoError(t, p.Resume())
			callers.Wait()
			f.waitUntil("the gateway serves again", func() bool { return f.call(gateway, http.MethodPost, "/order/1").status == http.StatusOK })
			runs, late := f.runsByAttempt(), 0
			for _, a := range answers.snapshot() {
				// Orders that the gateway had not read are given up only by callers that leave.
				if _, waited := rejected.Load(a.id); waited || !c.full {
					late += runs[a.id]
				}
			}
			require.LessOrEqual(t, late, c.begun, "orders were sent after their callers had given them up")
		})
	}
}
