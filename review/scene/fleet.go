//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The services and zones of the small deployment.
const (
	engineService = "lm-pool"
	plainService  = "order-app"
)

var zones = []struct{ name, region string }{{"nav-a", "navarra"}, {"gip-a", "gipuzkoa"}, {"rio-a", "rioja"}}

// machine is one machine of the system with its process.
type machine struct {
	name, duty        string
	zone              int
	front, http, peer string
	dir, file         string
	process           *exec.Cmd
	ended             chan struct{}
	log               *os.File
}

// fleet is the deployment of a scene.
type fleet struct {
	dir       string
	log       *record
	store     *store
	storeAddr string
	machines  map[string]*machine
	runners   []*runner
}

// closeAll ends the processes of the scene, also if it is told to stop.
var closeAll = func() {}

// newFleet starts the store and prepares machines: gateways on edge machines and one keeper a zone.
func newFleet(log *record, gateways int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "scene-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, log: log, store: newStore(), machines: map[string]*machine{}}
	closeAll = f.close
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAddr = listener.Addr().String()
	go http.Serve(listener, f.store)
	for i := range zones {
		if err := f.addMachine("storage-"+zones[i].name, "keeper", i); err != nil {
			return nil, err
		}
	}
	for i := range gateways {
		name := fmt.Sprintf("edge-%s-%d", zones[i%len(zones)].name, i/len(zones)+1)
		if err := f.addMachine(name, "gateway", i%len(zones)); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Free ports are drawn outside the range from which the kernel takes those of outgoing connections.
const (
	firstPort = 20000
	portCount = 12000
)

func freeAddr() (string, error) {
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		listener, err := net.Listen("tcp", addr)
		if err == nil {
			listener.Close()
			return addr, nil
		}
	}
	return "", errors.New("no free port found")
}

func (f *fleet) addMachine(name, duty string, zone int) error {
	m := &machine{name: name, duty: duty, zone: zone, dir: filepath.Join(f.dir, name), file: filepath.Join(f.dir, name+".toml")}
	for _, addr := range []*string{&m.front, &m.http, &m.peer} {
		free, err := freeAddr()
		if err != nil {
			return err
		}
		*addr = free
	}
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return err
	}
	m.log = log
	f.machines[name] = m
	return os.MkdirAll(m.dir, 0o755)
}

// settings returns the settings of a machine as the templates of the deploy file render them.
func (f *fleet) settings(m *machine, first bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[instance]\nname = %q\nregion = %q\ndata_centre = %q\nduty = %q\nhttp_addr = %q\npeer_addr = %q\nmemory_mb = 134\n",
		m.name, zones[m.zone].region, zones[m.zone].name, m.duty, m.http, m.peer)
	fmt.Fprintf(&b, "[platform]\naddrs = [%q]\nprotocol = \"objects\"\ntimeout = \"1s\"\n", f.storeAddr)
	var seeds []string
	for _, other := range f.machines {
		if other.duty == "gateway" && len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", other.peer))
		}
	}
	fmt.Fprintf(&b, "[peers]\nheartbeat_interval = \"250ms\"\nsuspect_after = \"1s\"\nseeds = [%s]\n", strings.Join(seeds, ","))
	balancerDelay := "0s"
	if m.duty == "keeper" {
		fmt.Fprintf(&b, "[keeper]\ndata_dir = %q\n", m.dir)
		if first {
			b.WriteString("first_start = true\n")
		}
	} else {
		balancerDelay = "2500ms"
		fmt.Fprintf(&b, "[gateway]\nlisten = %q\nready_path = \"/-/readyz\"\n", m.front)
	}
	b.WriteString("[gateway.regions]\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "%q = %q\n", z.name, z.region)
	}
	fmt.Fprintf(&b, "[budgets]\nlost_disks = 1\n[stop]\ndrain_limit = \"8s\"\nbalancer_delay = %q\n", balancerDelay)
	return b.String()
}

// start starts the process of a machine by the command of the deploy file.
func (f *fleet) start(name string, first bool) error {
	m := f.machines[name]
	if err := os.WriteFile(m.file, []byte(f.settings(m, first)), 0o644); err != nil {
		return err
	}
	m.process = exec.Command("target/ibislined", "run", m.file)
	m.process.Stdout, m.process.Stderr = m.log, m.log
	if err := m.process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.ended = ended
	go func(process *exec.Cmd) {
		_ = process.Wait()
		close(ended)
	}(m.process)
	f.log.note("start    %s", name)
	return nil
}

// kill kills the process of a machine.
func (f *fleet) kill(name string) {
	m := f.machines[name]
	if m.process == nil {
		return
	}
	f.log.note("kill     %s", name)
	_ = m.process.Process.Signal(syscall.SIGKILL)
	<-m.ended
	m.process = nil
}

// wipe empties the disk of a machine.
func (f *fleet) wipe(name string) error {
	m := f.machines[name]
	f.log.note("lost     the disk of %s", name)
	if err := os.RemoveAll(m.dir); err != nil {
		return err
	}
	return os.MkdirAll(m.dir, 0o755)
}

// close ends everything that the scene has started.
func (f *fleet) close() {
	for name := range f.machines {
		f.kill(name)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
		return
	}
	fmt.Println("logs are in", f.dir)
}

// addRunner starts a runner and keeps its entry in the store up to date.
func (f *fleet) addRunner(r *runner) error {
	if err := r.start(); err != nil {
		return err
	}
	f.runners = append(f.runners, r)
	f.store.put("servers", r.id, r.entry("ready"))
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			state, ended := r.state()
			if ended {
				return
			}
			f.store.put("servers", r.id, r.entry(state))
		}
	}()
	return nil
}

// drain makes a runner leave: its entry says so, and it goes on serving for a time, exits and is removed.
// It returns once the store has accepted the report.
func (f *fleet) drain(r *runner, serves time.Duration) {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	f.store.put("servers", r.id, r.entry("draining"))
	f.log.note("draining %s", r.id)
	time.AfterFunc(serves, func() {
		f.log.note("exit     %s", r.id)
		r.exit()
		f.store.remove("servers", r.id)
	})
}

// configure writes a configuration.
func (f *fleet) configure(version int, routes []map[string]any) {
	f.store.put("config", "main", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": engineService, "healthPath": "/healthz", "maxConns": 180, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 16, "kvCapacityTokens": 444000, "chunkTokens": tokensPerEvent, "models": []map[string]any{{"name": "m"}}}},
			{"name": plainService, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// turnRoute is the route of the turns of programs.
func turnRoute() map[string]any {
	return map[string]any{
		"name": "r-turns", "host": "agents.example", "pathPrefix": "/turns/", "type": "streaming", "timeoutMs": 3000,
		"targetLatencyMs": 300, "priority": 0, "service": engineService, "maxAttempts": 1, "retained": false,
		"retentionS": 60.0, "sticky": true, "resumable": true, "gapTargetMs": 250,
	}
}

// ready reports whether a gateway counts as ready for the platform.
func (f *fleet) ready(name string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + f.machines[name].http + "/-/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// gateways returns the names of the gateways that are ready.
func (f *fleet) gateways() []string {
	var names []string
	for name, m := range f.machines {
		if m.duty == "gateway" && m.process != nil && f.ready(name) {
			names = append(names, name)
		}
	}
	return names
}

// waitReady waits until all gateways are ready.
func (f *fleet) waitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for name, m := range f.machines {
		for m.duty == "gateway" && !f.ready(name) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %s", name, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}
