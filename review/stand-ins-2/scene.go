package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// scene is a small deployment: gateways and keepers as processes, and stand-ins of the platform's
// store, the runners and the clients in this process.
type scene struct {
	dir, binary string
	record      *record
	store       *store
	storeAddr   string
	trouble     bool
	daemons     []*daemon
	given       map[string]bool

	// capped counts the connections that runners have reset beyond their cap.
	capped atomic.Int64

	mu   sync.Mutex
	runs map[string][]run
}

// daemon is one process of the system.
type daemon struct {
	name, duty, zone       string
	listen, ready, control string
	dataDir                string
	command                *exec.Cmd
	ended                  chan struct{}
	log                    *os.File
}

var zones = []struct{ name, region string }{{"nav-a", "navarra"}, {"gip-a", "gipuzkoa"}, {"rio-a", "rioja"}}

func newScene(binary string, out *record, trouble bool) (*scene, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &scene{dir: dir, binary: binary, record: out, store: newStore(), trouble: trouble, given: map[string]bool{}, runs: map[string][]run{}}
	s.storeAddr, err = serveStore(s.store)
	return s, err
}

// ran records a request that a runner began to work on.
func (s *scene) ran(r run) {
	s.mu.Lock()
	s.runs[r.attempt] = append(s.runs[r.attempt], r)
	s.mu.Unlock()
	s.record.note("runner %s runs %s (%s %s, %d bytes)", r.runner.id, r.attempt, r.method, r.target, r.body)
}

func (s *scene) runsOf(attempt string) []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs[attempt]...)
}

// firstPort and lastPort bound the ports of daemons: below those that the kernel gives to connections.
const (
	firstPort = 12000
	lastPort  = 30000
)

// freeAddr returns a loopback address with a free port that was not returned before.
func (s *scene) freeAddr() (string, error) {
	for range 200 {
		addr := "127.0.0.1:" + strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort))
		if s.given[addr] {
			continue
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = l.Close()
		s.given[addr] = true
		return addr, nil
	}
	return "", errors.New("no free port found")
}

// addDaemons adds daemons of a duty, spread over the zones, without starting them.
func (s *scene) addDaemons(duty string, count int) error {
	for i := range count {
		z := zones[i%len(zones)]
		d := &daemon{name: fmt.Sprintf("%s-%s-%d", duty, z.name, i/len(zones)+1), duty: duty, zone: z.name}
		for _, addr := range []*string{&d.listen, &d.ready, &d.control} {
			var err error
			if *addr, err = s.freeAddr(); err != nil {
				return err
			}
		}
		d.dataDir = filepath.Join(s.dir, d.name+"-data")
		s.daemons = append(s.daemons, d)
	}
	return nil
}

// settings renders what deploy/gateway.toml.tmpl and deploy/keeper.toml.tmpl give for the site ctn-ibis.
func (s *scene) settings(d *daemon, first bool) string {
	region := ""
	var regions, seeds strings.Builder
	for _, z := range zones {
		if z.name == d.zone {
			region = z.region
		}
		fmt.Fprintf(&regions, "%q = %q\n", z.name, z.region)
	}
	count := 0
	for _, other := range s.daemons {
		if other.duty == "gateway" && count < 3 {
			fmt.Fprintf(&seeds, "%q,", other.control)
			count++
		}
	}
	var b strings.Builder
	memory := 134
	if d.duty == "keeper" {
		memory = 144
	}
	fmt.Fprintf(&b, "[instance]\nname = %q\nregion = %q\ndata_centre = %q\nduty = %q\nhttp_addr = %q\npeer_addr = %q\nmemory_mb = %d\n",
		d.name, region, d.zone, d.duty, d.ready, d.control, memory)
	fmt.Fprintf(&b, "[platform]\naddrs = [%q]\nprotocol = \"objects\"\ntimeout = \"1s\"\n", s.storeAddr)
	if d.duty == "gateway" {
		b.WriteString(`features = ["base","drain","config","cost","recover","agent","stream","engine","platform"]` + "\n")
	}
	fmt.Fprintf(&b, "[peers]\nheartbeat_interval = \"250ms\"\nsuspect_after = \"1s\"\nseeds = [%s]\n", strings.TrimSuffix(seeds.String(), ","))
	if d.duty == "gateway" {
		fmt.Fprintf(&b, "[gateway]\nlisten = %q\nready_path = \"/-/readyz\"\n", d.listen)
	} else {
		fmt.Fprintf(&b, "[keeper]\ndata_dir = %q\n", d.dataDir)
		if first {
			b.WriteString("first_start = true\n")
		}
	}
	fmt.Fprintf(&b, "[gateway.regions]\n%s[budgets]\nlost_disks = 1\n[stop]\ndrain_limit = \"8s\"\n", regions.String())
	if d.duty == "gateway" {
		b.WriteString("balancer_delay = \"2500ms\"\n")
	} else {
		b.WriteString("balancer_delay = \"0s\"\n")
	}
	return b.String()
}

// start starts a daemon with the command of the deploy file. A maxFds other than 0 is its limit of
// descriptors, as the site file names it.
func (s *scene) start(d *daemon, first bool, maxFds int) error {
	file := filepath.Join(s.dir, d.name+".toml")
	if err := os.WriteFile(file, []byte(s.settings(d, first)), 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(s.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	d.log = out
	d.command = exec.Command(s.binary, "run", file)
	if maxFds > 0 {
		d.command = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec \"$0\" \"$@\"", maxFds), s.binary, "run", file)
	}
	d.command.Stdout, d.command.Stderr = out, out
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	command, ended := d.command, d.ended
	go func() {
		_ = command.Wait()
		_ = out.Close()
		close(ended)
	}()
	s.record.say("%s started, process %d", d.name, d.command.Process.Pid)
	return nil
}

// startAll starts all daemons and waits until the gateways are ready.
func (s *scene) startAll(maxFds int) error {
	for _, d := range s.daemons {
		fds := 0
		if d.duty == "gateway" {
			fds = maxFds
		}
		if err := s.start(d, true, fds); err != nil {
			return err
		}
	}
	limit := time.Now().Add(20 * time.Second)
	for _, d := range s.daemons {
		for d.duty == "gateway" && !d.isReady() {
			if time.Now().After(limit) || d.hasEnded() {
				return fmt.Errorf("%s did not become ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.record.say("all gateways are ready")
	return nil
}

// isReady asks as the platform does: on a new connection, with a second to answer.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + d.ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (d *daemon) hasEnded() bool {
	select {
	case <-d.ended:
		return true
	default:
		return false
	}
}

// descriptors returns the number of open descriptors of a process that this scene started.
func (d *daemon) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.command.Process.Pid))
	if err != nil {
		return -1
	}
	return len(entries)
}

// end ends all processes and removes the temporary folder.
func (s *scene) end() {
	for _, d := range s.daemons {
		if d.command != nil && d.command.Process != nil && !d.hasEnded() {
			_ = d.command.Process.Kill()
			<-d.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// Connections that the runners of a service take, as on the site ctn-ibis; on ctn-ibis-grown it is more.
const (
	lmConns    = 180
	orderConns = 110
)

// route is a route of the configuration.
type route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"pathPrefix"`
	Type            string  `json:"type"`
	TimeoutMs       float64 `json:"timeoutMs"`
	TargetLatencyMs float64 `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"maxAttempts"`
	Retained        bool    `json:"retained"`
	RetentionS      float64 `json:"retentionS,omitempty"`
	Sticky          bool    `json:"sticky,omitempty"`
	Resumable       bool    `json:"resumable,omitempty"`
	GapTargetMs     float64 `json:"gapTargetMs,omitempty"`
}

// configure writes a configuration with the limits of the site.
func (s *scene) configure(version int, routes ...route) {
	services := []map[string]any{
		{"name": "lm-pool", "healthPath": "/healthz", "maxConns": lmConns, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 16, "kvCapacityTokens": 444000, "kvTokenBytes": 131072, "linkMbps": 4400000.0, "chunkTokens": 35, "models": []any{map[string]any{"name": "m"}},
		}},
		{"name": "order-app", "healthPath": "/healthz", "maxConns": orderConns, "protocol": "h1", "tls": false},
	}
	spec, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	s.store.put("config", "main", string(bytes.TrimSpace(spec)))
}
