//go:build review3

package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"ibisline/internal/objectapi"
	"ibisline/platform/platformtest"
)

const (
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	// storeLatency is the mean of that of the users' sheet: "4 ms an answer".
	storeLatency = 4 * time.Millisecond
)

// place is a zone and its region.
type place struct{ zone, region string }

// scene is a small deployment on loopback addresses.
type scene struct {
	*record
	dir     string
	program string
	trouble bool

	store   *platformtest.Store
	server  *httptest.Server
	places  []place
	daemons map[string]*daemon
	runners []*platformtest.Server
	// lostDisks is the number of disks that may be lost at once, and seeds the peer addresses of the first daemons.
	lostDisks int
	seeds     []string
	// keeperLatency is the one-way latency of the way to each keeper, 0 for none.
	keeperLatency time.Duration
	proxies       []net.Listener
	// tenants is set if the deployment has tenants with quotas.
	tenants  bool
	version  int
	attempts sync.Mutex
	attempt  int
}

// daemon is one instance of ibislined.
type daemon struct {
	name, duty, data  string
	place             place
	front, http, peer string
	advertised        string
	firstStart        bool
	process           *exec.Cmd
	done              chan struct{}
	log               *os.File
}

func newScene(dir, program string, r *record, trouble bool) *scene {
	s := &scene{
		record: r, dir: dir, program: program, trouble: trouble, store: platformtest.NewStore(), daemons: map[string]*daemon{},
	}
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(rand.N(2 * storeLatency))
		s.store.ServeHTTP(w, r)
	}))
	return s
}

// inParallel plays a case in several deployments of their own at the same time. It is broken if it is in one of them.
func inParallel(count int, play func(s *scene) (bool, error)) func(s *scene) (bool, error) {
	return func(s *scene) (bool, error) {
		broken, failures := make([]bool, count), make([]error, count)
		var plays sync.WaitGroup
		for i := range count {
			plays.Go(func() {
				dir := filepath.Join(s.dir, strconv.Itoa(i))
				if failures[i] = os.Mkdir(dir, 0o755); failures[i] != nil {
					return
				}
				part := newScene(dir, s.program, s.record.labelled(fmt.Sprintf("deployment %d: ", i)), s.trouble)
				defer part.end()
				broken[i], failures[i] = play(part)
			})
		}
		plays.Wait()
		return slices.Contains(broken, true), errors.Join(failures...)
	}
}

// end ends all daemons that the scene has started, and the stand-ins.
func (s *scene) end() {
	for _, d := range s.daemons {
		s.kill(d.name)
	}
	for _, proxy := range s.proxies {
		proxy.Close()
	}
	s.server.CloseClientConnections()
	s.server.Close()
	if os.Getenv("KEEP_LOGS") != "" {
		for name := range s.daemons {
			content, _ := os.ReadFile(filepath.Join(s.dir, name+".log"))
			_ = os.WriteFile(filepath.Join(os.Getenv("KEEP_LOGS"), name+".log"), content, 0o644)
		}
	}
}

// Ports for daemons, below those that the system gives to outgoing connections. Cases that are played at the same time
// mostly use other ones.
const (
	firstPort  = 20000
	ports      = 1000
	portRanges = 10
)

// givenPorts holds the ports that were given to daemons.
var (
	givenMu    sync.Mutex
	givenPorts = map[int]bool{}
)

// freeAddr returns an address with a free port that no other daemon of this process has.
func freeAddr() (string, error) {
	givenMu.Lock()
	defer givenMu.Unlock()
	for range ports {
		port := firstPort + os.Getpid()%portRanges*ports + rand.IntN(ports)
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		if givenPorts[port] {
			listener.Close()
			continue
		}
		givenPorts[port] = true
		return addr, listener.Close()
	}
	return "", errors.New("no free port")
}

// addDaemon adds a daemon without starting it.
func (s *scene) addDaemon(name, duty string, at place) error {
	d := &daemon{name: name, duty: duty, place: at, firstStart: true}
	for _, addr := range []*string{&d.front, &d.http, &d.peer} {
		free, err := freeAddr()
		if err != nil {
			return err
		}
		*addr = free
	}
	if duty == "keeper" && s.keeperLatency > 0 {
		proxy, err := delayTo(d.peer, s.keeperLatency)
		if err != nil {
			return err
		}
		s.proxies = append(s.proxies, proxy)
		d.advertised = proxy.Addr().String()
	}
	if duty == "keeper" {
		d.data = filepath.Join(s.dir, name+"-data")
	}
	if len(s.seeds) < 3 && duty == "gateway" {
		s.seeds = append(s.seeds, d.peer)
	}
	s.daemons[name] = d
	return nil
}

// settings returns the settings file of a daemon in the form of the templates in deploy/.
func (s *scene) settings(d *daemon) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[instance]\nname = %q\nregion = %q\ndata_centre = %q\nduty = %q\nhttp_addr = %q\npeer_addr = %q\nmemory_mb = 154\n",
		d.name, d.place.region, d.place.zone, d.duty, d.http, d.peer)
	if d.duty == "gateway" {
		fmt.Fprintf(&b, "max_descriptors = 4100\n")
	}
	if d.advertised != "" {
		// The way to this daemon leads through a proxy with the latency of the sheet.
		fmt.Fprintf(&b, "peer_advertise = %q\n", d.advertised)
	}
	fmt.Fprintf(&b, "[platform]\naddrs = [%q]\nprotocol = \"objects\"\ntimeout = \"1s\"\n", s.server.Listener.Addr().String())
	if d.duty == "gateway" {
		fmt.Fprintf(&b, "features = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\"engine\",\"platform\"]\n")
	}
	fmt.Fprintf(&b, "[peers]\nheartbeat_interval = \"250ms\"\nsuspect_after = \"1s\"\nseeds = [")
	for _, seed := range s.seeds {
		fmt.Fprintf(&b, "%q,", seed)
	}
	fmt.Fprintf(&b, "]\n")
	balancerDelay := "2500ms"
	if d.duty == "keeper" {
		balancerDelay = "0s"
		fmt.Fprintf(&b, "[keeper]\ndata_dir = %q\n", d.data)
		if d.firstStart {
			fmt.Fprintf(&b, "first_start = true\n")
		}
	} else {
		fmt.Fprintf(&b, "[gateway]\nlisten = %q\nready_path = \"/-/readyz\"\n", d.front)
	}
	fmt.Fprintf(&b, "[gateway.regions]\n")
	for _, p := range s.places {
		fmt.Fprintf(&b, "%q = %q\n", p.zone, p.region)
	}
	if s.tenants {
		fmt.Fprintf(&b, "[teams]\nrevoke_within = \"5000ms\"\nquota_slack = %d\n", quotaSlack)
	}
	fmt.Fprintf(&b, "[budgets]\nlost_disks = %d\n[stop]\ndrain_limit = \"8s\"\nbalancer_delay = %q\n", s.lostDisks, balancerDelay)
	return b.String()
}

// start starts the process of a daemon, for the first time or again. firstStart holds for the first start only.
func (s *scene) start(name string) error {
	d := s.daemons[name]
	file := filepath.Join(s.dir, name+".toml")
	if err := os.WriteFile(file, []byte(s.settings(d)), 0o644); err != nil {
		return err
	}
	d.firstStart = false
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	d.process = exec.Command(s.program, "run", file)
	d.process.Stdout, d.process.Stderr = log, log
	d.log = log
	if err := startCounted(d.process); err != nil {
		return err
	}
	d.done = make(chan struct{})
	go func(process *exec.Cmd, done chan struct{}) {
		_ = process.Wait()
		_ = log.Close()
		close(done)
	}(d.process, d.done)
	s.say("%s is started (pid %d)", name, d.process.Process.Pid)
	return nil
}

// started holds all processes that this one has started, so that none outlives it.
var (
	startedMu sync.Mutex
	started   []*exec.Cmd
)

func startCounted(process *exec.Cmd) error {
	startedMu.Lock()
	defer startedMu.Unlock()
	err := process.Start()
	if err == nil {
		started = append(started, process)
	}
	return err
}

// killStarted kills all processes that were started, and keeps further ones from being started.
func killStarted() {
	startedMu.Lock()
	for _, process := range started {
		_ = process.Process.Kill()
	}
}

// kill ends the process of a daemon at once, as a kill or a loss of power does.
func (s *scene) kill(name string) {
	d := s.daemons[name]
	if d.process == nil {
		return
	}
	_ = d.process.Process.Kill()
	<-d.done
	d.process = nil
}

// loseDisk takes the data of a daemon that does not run away. It is renamed, as its removal takes seconds.
func (s *scene) loseDisk(name string) error {
	s.say("%s has lost its disk", name)
	return os.Rename(s.daemons[name].data, fmt.Sprintf("%s-lost-%d", s.daemons[name].data, time.Now().UnixNano()))
}

// isReady reports whether a daemon says that it is ready.
func (s *scene) isReady(name string) bool {
	client := http.Client{Timeout: time.Second}
	path := "/-/readyz"
	if s.daemons[name].duty == "keeper" {
		// The template of the keepers leaves the path at its default.
		path = "/readyz"
	}
	response, err := client.Get("http://" + s.daemons[name].http + path)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAll starts all daemons and waits until they are ready.
func (s *scene) startAll() error {
	for name := range s.daemons {
		if err := s.start(name); err != nil {
			return err
		}
	}
	for name := range s.daemons {
		if !waitFor(readyTimeout, func() bool { return s.isReady(name) }) {
			return fmt.Errorf("%s is not ready", name)
		}
	}
	s.say("all daemons are ready")
	return nil
}

// waitFor polls a condition and returns false if it is not met in time.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return false
}

// put writes an object to the store as an operator or a runner does.
func (s *scene) put(key, value string) error {
	ctx := context.Background()
	expected := objectapi.NoVersion
	old, err := s.store.Get(ctx, key)
	switch {
	case err == nil:
		expected = old.Version
	case !errors.Is(err, objectapi.ErrNotFound):
		return err
	}
	_, err = s.store.Put(ctx, key, []byte(value), expected)
	return err
}

// addRunner starts a model runner that answers each turn with a few events, and registers it.
func (s *scene) addRunner(name string, at place, reply func(run platformtest.Run) platformtest.Reply) error {
	return s.addRunnerOf("lm", name, at, `,"phase":"both","models":[{"name":"m","version":1,"adapters":[]}]`, reply)
}

// addRunnerOf starts a runner of a service and registers it, with further fields in its entry.
func (s *scene) addRunnerOf(
	service, name string, at place, more string, reply func(run platformtest.Run) platformtest.Reply,
) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	runner := platformtest.NewServer(name)
	runner.Script(reply)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go runner.Serve(conn)
		}
	}()
	s.runners = append(s.runners, runner)
	return s.put("servers/"+name, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":"1","slots":16,"state":"ready","coldLeftMs":0,"sequence":1,"born":%d%s}`,
		service, listener.Addr().String(), at.zone, time.Now().UnixMilli(), more))
}

// runOf returns the run of an attempt, and false if no runner has run it.
func (s *scene) runOf(id string) (platformtest.Run, bool) {
	for _, runner := range s.runners {
		for _, run := range runner.Runs() {
			if run.ID == id {
				return run, true
			}
		}
	}
	return platformtest.Run{}, false
}
