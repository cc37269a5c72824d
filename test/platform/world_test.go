// Package platform_test plays failures against real processes on a stand-in of the
// users' platform: gateways, keepers, backend servers and the platform's store, over
// the loopback interface. Checks wait for conditions, never for a fixed time.
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
	// patience bounds the wait for a condition. It is generous, as a condition
	// that holds ends the wait.
	patience  = 30 * time.Second
	pollEvery = 20 * time.Millisecond
)

// binaries is the directory of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "ibisline-platform-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "ibisline/cmd/ibislined", "ibisline/cmd/ibisctl")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// The places of the fleet: three data centres in two regions.
var places = []struct{ dataCentre, region string }{{"n1", "north"}, {"n2", "north"}, {"s1", "south"}}

// world is one fleet on its own platform.
type world struct {
	t       *testing.T
	dir     string
	store   *platformtest.Store
	fleet   *fleet.Fleet
	client  *http.Client
	runners map[string]*platformtest.Server

	daemons map[string]*daemon
	version int64
}

// daemon is an instance with its own way to the platform.
type daemon struct {
	name  string
	duty  string
	place int
	front string
	ready string
	peer  string
	door  *door
	// platform is the address of the door.
	platform string
}

// door is one daemon's way to the platform's store.
type door struct {
	http.Handler
	mu     sync.Mutex
	closed bool
}

// setClosed makes the platform turn the daemon away, or serve it again.
func (d *door) setClosed(closed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = closed
}

// ServeHTTP implements http.Handler.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	closed := d.closed
	d.mu.Unlock()
	if closed {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.Handler.ServeHTTP(w, r)
}

// newWorld starts a platform with its configuration and backend servers, and a fleet of
// three gateways and three keepers.
func newWorld(t *testing.T) *world {
	dir := t.TempDir()
	w := &world{
		t:       t,
		dir:     dir,
		store:   platformtest.NewStore(),
		fleet:   fleet.New(dir, binaries),
		client:  &http.Client{Transport: &http.Transport{DisableCompression: true}},
		runners: map[string]*platformtest.Server{},
		daemons: map[string]*daemon{},
	}
	w.configure(usualRoutes)
	for i := range 3 {
		w.addRunner(engines, fmt.Sprintf("engine-%d", i), i)
		w.addRunner(tills, fmt.Sprintf("till-%d", i), i)
	}
	for i := range places {
		w.place(fmt.Sprintf("keeper-%d", i), "keeper", i)
		w.place(fmt.Sprintf("gateway-%d", i), "gateway", i)
	}
	// Runs before the platform's servers close, which wait for watches.
	t.Cleanup(func() {
		w.fleet.KillAll()
		w.client.CloseIdleConnections()
	})
	for name := range w.daemons {
		w.start(name)
	}
	for name := range w.daemons {
		w.waitReady(name)
	}
	return w
}

// place adds a daemon with its own way to the platform.
func (w *world) place(name, duty string, place int) {
	d := &daemon{name: name, duty: duty, place: place, door: &door{Handler: w.store}}
	server := httptest.NewServer(d.door)
	w.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	d.platform = server.Listener.Addr().String()
	w.daemons[name] = d
	w.settle(d)
}

// settle gives a daemon its addresses and writes its settings.
func (w *world) settle(d *daemon) {
	for _, addr := range []*string{&d.front, &d.ready, &d.peer} {
		free, err := fleet.FreeAddr()
		require.NoError(w.t, err)
		*addr = free
	}
	require.NoError(w.t, os.WriteFile(w.file(d.name), []byte(w.settings(d)), 0o644))
}

func (w *world) file(name string) string { return filepath.Join(w.dir, name+".toml") }

// settings is a daemon's settings file, as the templates in deploy/ write it.
func (w *world) settings(d *daemon) string {
	seat := places[d.place]
	text := fmt.Sprintf("[instance]\nname = %q\nregion = %q\ndata_centre = %q\nduty = %q\nhttp_addr = %q\npeer_addr = %q\n",
		d.name, seat.region, seat.dataCentre, d.duty, d.ready, d.peer)
	text += fmt.Sprintf("[platform]\naddrs = [%q]\nprotocol = \"objects\"\ntimeout = \"1s\"\n", d.platform)
	text += "[budgets]\nlost_disks = 1\n[stop]\ndrain_limit = \"20s\"\nbalancer_delay = \"300ms\"\n"
	if d.duty == "keeper" {
		text += fmt.Sprintf("[keeper]\ndata_dir = %q\n", filepath.Join(w.dir, d.name+"-data"))
		text += "[gateway]\nready_path = \"/-/readyz\"\n"
	} else {
		text += fmt.Sprintf("[gateway]\nlisten = %q\nready_path = \"/-/readyz\"\n", d.front)
	}
	text += "[gateway.regions]\n"
	for _, p := range places {
		text += fmt.Sprintf("%q = %q\n", p.dataCentre, p.region)
	}
	return text
}

// start starts a daemon, or starts it again.
func (w *world) start(name string) {
	_, err := w.fleet.Start(name, "ibislined", "run", w.file(name))
	require.NoError(w.t, err)
}

// waitReady waits until a daemon takes callers, or serves the others. One that ended
// because a connection of another process took its address gets another one.
func (w *world) waitReady(name string) {
	w.until(name+" is ready", func() bool {
		select {
		case <-w.process(name).Done():
			text, err := os.ReadFile(w.process(name).Log)
			require.NoError(w.t, err)
			require.Contains(w.t, string(text), "address already in use", "%s has ended", name)
			w.settle(w.daemons[name])
			w.start(name)
			return false
		default:
			return w.isReady(name)
		}
	})
}

// isReady asks a daemon as the balancer does.
func (w *world) isReady(name string) bool {
	response, err := w.client.Get("http://" + w.daemons[name].ready + "/-/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// process is the present process of a daemon.
func (w *world) process(name string) *fleet.Process {
	p, known := w.fleet.Process(name)
	require.True(w.t, known)
	return p
}

// kill ends a daemon's process at once.
func (w *world) kill(name string) { w.process(name).Kill() }

// restart kills a daemon and starts it again.
func (w *world) restart(name string) {
	w.kill(name)
	w.start(name)
	w.waitReady(name)
}

// until waits for a condition.
func (w *world) until(what string, holds func() bool) {
	w.t.Helper()
	require.Eventually(w.t, holds, patience, pollEvery, what)
}

// outage ends or restores the platform's store for all.
func (w *world) outage(on bool) { w.store.SetFaults(objects.Faults{Outage: on}) }

// put writes an object as an operator or a backend server does.
func (w *world) put(key, value string) {
	ctx := context.Background()
	expected := objectapi.NoVersion
	if old, err := w.store.Get(ctx, key); err == nil {
		expected = old.Version
	}
	_, err := w.store.Put(ctx, key, []byte(value), expected)
	require.NoError(w.t, err)
}

// configure writes the next version of the configuration.
func (w *world) configure(routes string) {
	w.version++
	w.put("config/main", fmt.Sprintf(configuration, w.version, routes))
}

// addRunner starts a backend server and lists it.
func (w *world) addRunner(service, name string, place int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(w.t, err)
	runner := platformtest.NewServer(name)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go runner.Serve(conn)
		}
	}()
	w.t.Cleanup(func() { listener.Close() })
	w.runners[name] = runner
	w.list(service, name, place, listener.Addr().String(), "ready")
}

// list writes a backend server's own entry.
func (w *world) list(service, name string, place int, addr, state string) {
	w.put("servers/"+name, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"slots":16,"state":%q,"born":1}`,
		service, addr, places[place].dataCentre, state))
}
