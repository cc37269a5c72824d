// Package platform_test runs failure tests of gateways and keepers as real processes. A
// stand-in of the users' platform, with its store and backend servers, runs in the test
// process; all traffic uses the loopback interface. Checks wait for conditions, never for a
// fixed time.
package platform_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/fake/fleet"
	"ibisline/internal/fake/objects"
	"ibisline/internal/objectapi"
	"ibisline/platform/platformtest"
)

const (
	// conditionTimeout bounds the wait for a condition. A long timeout costs no time
	// in a passing test, because the wait ends when the condition is met.
	conditionTimeout = 30 * time.Second
	pollInterval     = 20 * time.Millisecond
)

// binDir is the directory of the binaries under test.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "ibisline-platform-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binDir = dir
	build := exec.Command("go", "build", "-o", dir, "ibisline/cmd/ibislined", "ibisline/cmd/ibisctl")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// locations are the data centres of the fleet: three, in two regions.
var locations = []struct{ dataCentre, region string }{{"n1", "north"}, {"n2", "north"}, {"s1", "south"}}

// testFleet is a fleet of daemons with a platform of its own.
type testFleet struct {
	t         *testing.T
	dir       string
	store     *platformtest.Store
	processes *fleet.Fleet
	client    *http.Client
	servers   map[string]*platformtest.Server
	mortal    []*mortalServer

	daemons map[string]*daemon
	version int64
	// gatewayMemoryMB is the memory of the gateways, 0 for no limit.
	gatewayMemoryMB int
	// gatewayDescriptors is the number of descriptors of the gateways, 0 for the limit of the process.
	gatewayDescriptors int
	// maxBodyBytes is the limit on bodies in the configuration, and teams its list of teams, empty for none.
	maxBodyBytes int
	teams        string
	// moreSettings is added to the settings of the daemons.
	moreSettings string
}

// daemon is an instance that reaches the platform through a proxy of its own.
type daemon struct {
	name       string
	duty       string
	location   int // index into locations
	listenAddr string
	httpAddr   string
	peerAddr   string
	proxy      *platformProxy
	proxyAddr  string
}

// platformProxy serves the platform's store to one daemon and can refuse its requests.
type platformProxy struct {
	http.Handler
	mu       sync.Mutex
	refusing bool
}

// setRefusing sets whether the requests of the daemon are refused with status 503.
func (p *platformProxy) setRefusing(refusing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing = refusing
}

func (p *platformProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	refusing := p.refusing
	p.mu.Unlock()
	if refusing {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.Handler.ServeHTTP(w, r)
}

// newTestFleet starts a fleet of three gateways.
func newTestFleet(t *testing.T) *testFleet { return newTestFleetOf(t, len(gateways)) }

// newTestFleetOf starts a platform with its configuration and backend servers, and a fleet of
// gateways and three keepers, and waits until all daemons are ready.
func newTestFleetOf(t *testing.T, gatewayCount int) *testFleet {
	return newTestFleetWith(t, gatewayCount, func(*testFleet) {})
}

// newTestFleetWith is newTestFleetOf with other settings.
func newTestFleetWith(t *testing.T, gatewayCount int, change func(*testFleet)) *testFleet {
	dir := t.TempDir()
	f := &testFleet{
		t:         t,
		dir:       dir,
		store:     platformtest.NewStore(),
		processes: fleet.New(dir, binDir),
		client:    &http.Client{Transport: &http.Transport{DisableCompression: true}},
		servers:   map[string]*platformtest.Server{},
		daemons:   map[string]*daemon{},

		maxBodyBytes: 64 << 10,
	}
	change(f)
	f.putConfiguration(baseRoutes)
	for i := range 3 {
		f.addServer(engines, fmt.Sprintf("engine-%d", i), i)
		f.addServer(tills, fmt.Sprintf("till-%d", i), i)
	}
	for i := range locations {
		f.addDaemon(fmt.Sprintf("keeper-%d", i), "keeper", i)
	}
	for i := range gatewayCount {
		f.addDaemon(gatewayName(i), "gateway", i%len(locations))
	}
	// Cleanups run last in, first out. The daemons must end before the platform's servers
	// close, because closing a server waits for the daemons' watches.
	t.Cleanup(func() {
		f.processes.KillAll()
		f.client.CloseIdleConnections()
	})
	for name := range f.daemons {
		f.start(name)
	}
	for name := range f.daemons {
		f.waitReady(name)
	}
	return f
}

// gatewayName returns the name of the gateway with a number.
func gatewayName(i int) string { return fmt.Sprintf("gateway-%d", i) }

// addDaemon adds a daemon with a platform proxy of its own, without starting it.
func (f *testFleet) addDaemon(name, duty string, location int) {
	d := &daemon{name: name, duty: duty, location: location, proxy: &platformProxy{Handler: f.store}}
	server := httptest.NewServer(d.proxy)
	f.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	d.proxyAddr = server.Listener.Addr().String()
	f.daemons[name] = d
	f.assignAddrs(d)
}

// assignAddrs gives a daemon free addresses and writes its settings file.
func (f *testFleet) assignAddrs(d *daemon) {
	for _, addr := range []*string{&d.listenAddr, &d.httpAddr, &d.peerAddr} {
		free, err := fleet.FreeAddr()
		require.NoError(f.t, err)
		*addr = free
	}
	require.NoError(f.t, os.WriteFile(f.file(d.name), []byte(f.settings(d)), 0o644))
}

func (f *testFleet) file(name string) string { return filepath.Join(f.dir, name+".toml") }

// settings returns the content of a daemon's settings file, in the form that the templates
// in deploy/ produce.
func (f *testFleet) settings(d *daemon) string {
	location := locations[d.location]
	text := fmt.Sprintf("[instance]\nname = %q\nregion = %q\ndata_centre = %q\nduty = %q\nhttp_addr = %q\npeer_addr = %q\n",
		d.name, location.region, location.dataCentre, d.duty, d.httpAddr, d.peerAddr)
	if d.duty == "gateway" && f.gatewayMemoryMB > 0 {
		text += fmt.Sprintf("memory_mb = %d\n", f.gatewayMemoryMB)
	}
	if d.duty == "gateway" && f.gatewayDescriptors > 0 {
		text += fmt.Sprintf("max_descriptors = %d\n", f.gatewayDescriptors)
	}
	text += fmt.Sprintf("[platform]\naddrs = [%q]\nprotocol = \"objects\"\ntimeout = \"1s\"\n", d.proxyAddr)
	text += f.moreSettings + "[budgets]\nlost_disks = 1\n[stop]\ndrain_limit = \"20s\"\nbalancer_delay = \"300ms\"\n"
	if d.duty == "keeper" {
		text += fmt.Sprintf("[keeper]\ndata_dir = %q\n", filepath.Join(f.dir, d.name+"-data"))
		text += "[gateway]\nready_path = \"/-/readyz\"\n"
	} else {
		text += fmt.Sprintf("[gateway]\nlisten = %q\nready_path = \"/-/readyz\"\n", d.listenAddr)
	}
	text += "[gateway.regions]\n"
	for _, p := range locations {
		text += fmt.Sprintf("%q = %q\n", p.dataCentre, p.region)
	}
	return text
}

// start starts the process of a daemon, for the first time or again.
func (f *testFleet) start(name string) {
	_, err := f.processes.Start(name, "ibislined", "run", f.file(name))
	require.NoError(f.t, err)
}

// waitReady waits until a daemon reports that it is ready. A daemon that exited because
// another process was using one of its addresses is started again with new ones.
func (f *testFleet) waitReady(name string) {
	f.waitUntil(name+" is ready", func() bool {
		select {
		case <-f.process(name).Done():
			text, err := os.ReadFile(f.process(name).Log)
			require.NoError(f.t, err)
			require.Contains(f.t, string(text), "address already in use", "%s exited for another reason", name)
			f.assignAddrs(f.daemons[name])
			f.start(name)
			return false
		default:
			return f.isReady(name)
		}
	})
}

// isReady reports whether the readiness check that a load balancer uses succeeds.
func (f *testFleet) isReady(name string) bool {
	response, err := f.client.Get("http://" + f.daemons[name].httpAddr + "/-/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// process returns the current process of a daemon.
func (f *testFleet) process(name string) *fleet.Process {
	p, known := f.processes.Process(name)
	require.True(f.t, known)
	return p
}

// kill kills a daemon's process without a planned stop.
func (f *testFleet) kill(name string) { f.process(name).Kill() }

// restart kills a daemon and starts it again.
func (f *testFleet) restart(name string) {
	f.kill(name)
	f.start(name)
	f.waitReady(name)
}

// waitUntil waits until a condition is met, and fails the test after conditionTimeout.
func (f *testFleet) waitUntil(what string, condition func() bool) {
	f.t.Helper()
	require.Eventually(f.t, condition, conditionTimeout, pollInterval, what)
}

// setOutage starts or ends an outage of the platform's store for all daemons.
func (f *testFleet) setOutage(on bool) { f.store.SetFaults(objects.Faults{Outage: on}) }

// put writes an object to the platform's store, as an operator or a backend server does.
func (f *testFleet) put(key, value string) { require.NoError(f.t, f.tryPut(key, value)) }

// tryPut is put that fails while the store is unavailable.
func (f *testFleet) tryPut(key, value string) error {
	ctx := context.Background()
	expected := objectapi.NoVersion
	if old, err := f.store.Get(ctx, key); err == nil {
		expected = old.Version
	}
	_, err := f.store.Put(ctx, key, []byte(value), expected)
	return err
}

// putConfiguration writes the next version of the configuration.
func (f *testFleet) putConfiguration(routes string) {
	f.version++
	f.put("config/main", fmt.Sprintf(configurationFormat, f.version, f.maxBodyBytes, routes, f.teams))
}

// addServer starts a backend server and registers it as ready.
func (f *testFleet) addServer(service, name string, location int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	server := platformtest.NewServer(name)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.Serve(conn)
		}
	}()
	f.t.Cleanup(func() { listener.Close() })
	f.servers[name] = server
	f.registerServer(service, name, location, listener.Addr().String(), "ready")
}

// registerServer writes the entry of a backend server to the platform's store.
func (f *testFleet) registerServer(service, name string, location int, addr, state string) {
	f.put("servers/"+name, serverEntry(service, location, addr, state))
}

// serverEntry returns the entry of a backend server.
func serverEntry(service string, location int, addr, state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"slots":16,"state":%q,"born":1}`,
		service, addr, locations[location].dataCentre, state)
}
