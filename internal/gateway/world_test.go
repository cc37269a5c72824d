package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"ibisline/internal/allowance/ledger"
	"ibisline/internal/fake/peers"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/gateway"
	"ibisline/internal/poison"
	"ibisline/internal/routes"
	"ibisline/internal/structs"
	"ibisline/internal/upstream"
	"ibisline/platform"
	"ibisline/platform/platformtest"
)

// world is a gateway between callers and stand-ins of backend servers, joined in
// memory so that it runs under virtual time.
type world struct {
	t       *testing.T
	gateway *gateway.Gateway
	server  *gateway.Server
	network *platformtest.Network
	lines   chan net.Conn
	client  *http.Client
	backend *upstream.Client
	guard   *poison.Guard
	metrics *metrics.Set
	stop    func()

	mu      sync.Mutex
	table   *routes.Table
	servers map[string][]structs.Server
	// refuse is what Reserve returns, used what was released.
	refuse error
	used   []int
	// written delays the confirmation of grants, and lost makes it fail.
	written chan struct{}
	lost    error
}

// The services and routes of the tests.
const (
	engines = "engines"
	tills   = "tills"
)

// usualRoutes are a stream, a repeatable call and a call that runs at most once.
func usualRoutes() structs.RouteTable {
	return structs.RouteTable{
		Version: 1,
		Routes: []structs.Route{
			{
				Name: "turn", Host: "a.example", PathPrefix: "/turn/", Kind: structs.Stream, Resumable: true,
				Targets: []structs.Target{{Service: engines, Weight: 1}}, Timeout: 3 * time.Second,
				Objective: 300 * time.Millisecond, GapObjective: 250 * time.Millisecond, MaxServers: 1,
				BudgetLifetime: time.Minute,
			},
			{
				Name: "look", Host: "a.example", PathPrefix: "/look/", Kind: structs.Repeatable,
				Targets: []structs.Target{{Service: tills, Weight: 1}}, Timeout: time.Second,
				Objective: 100 * time.Millisecond, MaxServers: 2,
			},
			{
				Name: "redeem", Host: "a.example", PathPrefix: "/redeem/", Kind: structs.AtMostOnce,
				Targets: []structs.Target{{Service: tills, Weight: 1}}, Timeout: 1500 * time.Millisecond,
				Objective: 150 * time.Millisecond, MaxServers: 1,
			},
		},
		Services: map[string]structs.Service{
			engines: {Name: engines, TokensPerEvent: 35, Batch: 16},
			tills:   {Name: tills},
		},
		Limits: structs.CallerLimits{BodyBytes: 1 << 10},
	}
}

// newWorld starts a gateway without backend servers.
func newWorld(t *testing.T) *world {
	w := &world{
		t:       t,
		network: platformtest.NewNetwork(),
		lines:   make(chan net.Conn),
		table:   routes.NewTable(usualRoutes()),
		servers: map[string][]structs.Server{},
	}
	adapter := platform.Adapter{}
	set := metrics.NewSet()
	w.metrics = set
	node := peers.New(nil).Join(structs.Instance{Name: "gateway-1", Duty: structs.DutyGateway})
	w.backend = upstream.NewClient(upstream.Config{RequestID: adapter.RequestOf, Dial: w.network.Dial}, set)
	w.guard = poison.New(node, node, node, w.backend.Probe, set, testbed.NoLog())
	w.gateway = gateway.New(gateway.Config{Region: "north", DataCentre: "n1"}, gateway.Deps{
		Dialect: adapter,
		Routes:  w,
		Servers: w,
		Client:  w.backend,
		Budgets: w,
		Poison:  w.guard,
		Metrics: set,
		Log:     testbed.NoLog(),
	})
	w.server = gateway.NewServer(pipeListener{lines: w.lines, closed: make(chan struct{})}, w.gateway, gateway.StopConfig{})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.server.Run(ctx)
	}()
	w.client = &http.Client{Transport: &http.Transport{
		DisableCompression: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			near, far := net.Pipe()
			select {
			case w.lines <- far:
				return near, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
	}}
	w.stop = func() {
		w.client.CloseIdleConnections()
		stop()
		<-done
		// net/http lingers after it has refused a body, and broken connections may
		// still be looked into.
		time.Sleep(time.Second)
		w.backend.Close()
	}
	return w
}

// Current implements gateway.Routes.
func (w *world) Current() *routes.Table {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table
}

// ForService implements servers.View.
func (w *world) ForService(service string) []structs.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[service]
}

// Find implements servers.View.
func (w *world) Find(name string) (structs.Server, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, all := range w.servers {
		for _, server := range all {
			if server.Name == name {
				return server, true
			}
		}
	}
	return structs.Server{}, false
}

// Loaded implements servers.View.
func (w *world) Loaded() bool { return true }

// Reserve implements gateway.Budgets.
func (w *world) Reserve(context.Context, ledger.Reservation) (ledger.Grant, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.refuse != nil {
		return nil, w.refuse
	}
	return &grant{world: w, written: w.written, lost: w.lost}, nil
}

// grant is one of the test's; Confirm waits until written is closed, and then
// returns lost.
type grant struct {
	world   *world
	written chan struct{}
	lost    error
}

// Confirm implements ledger.Grant.
func (g *grant) Confirm(ctx context.Context) error {
	if g.written == nil {
		return g.lost
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-g.written:
		return g.lost
	}
}

// Release implements ledger.Grant.
func (g *grant) Release(used int) {
	g.world.mu.Lock()
	defer g.world.mu.Unlock()
	g.world.used = append(g.world.used, used)
}

// add starts a backend server of a service.
func (w *world) add(service, name string) *platformtest.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	runner := platformtest.NewServer(name)
	addr := name + ":1"
	w.network.Add(addr, runner)
	w.servers[service] = append(w.servers[service], structs.Server{
		Name: name, Addr: addr, Region: "north", DataCentre: "n1", Service: service, Slots: 6, State: structs.StateLive,
	})
	return runner
}

// restart starts a crashed server again, as a new run of it.
func (w *world) restart(service string, runner *platformtest.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	runner.Restart()
	listed := slices.Clone(w.servers[service])
	for i := range listed {
		if listed[i].Name == runner.Name {
			listed[i].Started++
		}
	}
	w.servers[service] = listed
}

// pipeListener hands out the far ends of in-memory connections.
type pipeListener struct {
	lines  chan net.Conn
	closed chan struct{}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.lines:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// answer is what a caller got. Status 0 means that the connection ended without a
// whole answer.
type answer struct {
	status int
	body   string
	header http.Header
	err    error
	took   time.Duration
}

// call sends a request and reads its whole answer.
func (w *world) call(method, path, id string, edit ...func(*http.Request)) answer {
	request, err := http.NewRequest(method, "http://a.example"+path, strings.NewReader("body of "+id))
	require.NoError(w.t, err)
	request.Header.Set(platformtest.HeaderAttempt, id)
	request.Header.Set("Deadline-Ms", "3000")
	for _, change := range edit {
		change(request)
	}
	started := time.Now()
	response, err := w.client.Do(request)
	if err != nil {
		return answer{err: err, took: time.Since(started)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	got := answer{status: response.StatusCode, body: string(body), header: response.Header, err: err, took: time.Since(started)}
	if err != nil {
		got.status = 0
	}
	return got
}

// with sets a header field.
func with(name, value string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set(name, value) }
}

// numbered returns n different identifiers.
func numbered(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = "request-" + strconv.Itoa(i)
	}
	return ids
}
