// Package peers is an in-memory network between daemons, with their membership and
// with faults that tests inject.
package peers

import (
	"context"
	"sort"
	"sync"
	"time"

	"ibisline/internal/member"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
)

// direction is one direction of the link between two daemons.
type direction struct{ from, to string }

// Network connects the nodes of a test. It is safe for concurrent use.
type Network struct {
	mu      sync.Mutex
	nodes   map[string]*Node
	cut     map[direction]bool
	latency func(from, to structs.Instance) time.Duration
	bytes   int
	frames  int
	// bandwidthBytesPerSecond applies to each link; 0 means no limit.
	bandwidthBytesPerSecond int
	load                    Load
	// busyUntil is when each daemon has processed the frames sent to it so far.
	busyUntil map[string]time.Time
}

// Load is the processor time that a daemon spends on each frame that it receives. A daemon
// processes one frame at a time.
type Load struct {
	PerFrame time.Duration
	PerKB    time.Duration
}

// New returns a network without nodes. latency, when not nil, returns the delay of each
// frame.
func New(latency func(from, to structs.Instance) time.Duration) *Network {
	return &Network{
		nodes:   map[string]*Node{},
		cut:     map[direction]bool{},
		latency: latency,

		busyUntil: map[string]time.Time{},
	}
}

// Join adds a daemon, or replaces one of the same name that was restarted.
func (n *Network) Join(instance structs.Instance) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	node := &Node{network: n, self: instance, handlers: map[string]peer.Handler{}}
	node.upCtx, node.goDown = context.WithCancel(context.Background())
	n.nodes[instance.Name] = node
	node.live = n.instances()
	for _, other := range n.nodes {
		other.setLive(n.instances())
	}
	return node
}

// Remove removes a daemon permanently.
func (n *Network) Remove(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, name)
}

// Cut drops all frames from one daemon to another when on is true, and delivers them
// again when it is false.
func (n *Network) Cut(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[direction{from, to}] = on
}

// IsCut reports whether the frames from one daemon to another are dropped.
func (n *Network) IsCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[direction{from, to}]
}

// SetBandwidth delays each frame by its size divided by bytesPerSecond; 0 disables
// the delay.
func (n *Network) SetBandwidth(bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bandwidthBytesPerSecond = bytesPerSecond
}

// SetLoad makes frames wait until their receiver has processed the earlier ones; the zero
// Load disables the wait.
func (n *Network) SetLoad(load Load) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.load = load
}

// Traffic returns the number of frames sent so far and their total size in bytes.
func (n *Network) Traffic() (frames, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frames, n.bytes
}

// instances returns all daemons sorted by name. The caller holds mu.
func (n *Network) instances() []structs.Instance {
	var all []structs.Instance
	for _, node := range n.nodes {
		all = append(all, node.self)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// node returns the daemon name, or nil when it is unknown.
func (n *Network) node(name string) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[name]
}

// transmit counts a frame and returns its delay, or false when the frame is dropped.
func (n *Network) transmit(from, to structs.Instance, size int) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frames++
	n.bytes += size
	if n.cut[direction{from.Name, to.Name}] {
		return 0, false
	}
	var delay time.Duration
	if n.latency != nil {
		delay = n.latency(from, to)
	}
	if n.bandwidthBytesPerSecond > 0 {
		delay += time.Duration(size) * time.Second / time.Duration(n.bandwidthBytesPerSecond)
	}
	return n.queue(to.Name, size, delay), true
}

// bytesPerKB is the unit of Load.PerKB in bytes.
const bytesPerKB = 1 << 10

// queue adds the time until a daemon has processed a frame that arrives after delay. The
// caller holds mu.
func (n *Network) queue(to string, size int, delay time.Duration) time.Duration {
	cost := n.load.PerFrame + n.load.PerKB*time.Duration(size)/bytesPerKB
	if cost == 0 {
		return delay
	}
	now := time.Now()
	start := now.Add(delay)
	if busy := n.busyUntil[to]; busy.After(start) {
		start = busy
	}
	n.busyUntil[to] = start.Add(cost)
	return n.busyUntil[to].Sub(now)
}

// Node is one daemon in the network. It implements peer.Mux, peer.Dialer and
// member.View.
type Node struct {
	network  *Network
	self     structs.Instance
	mu       sync.Mutex
	handlers map[string]peer.Handler
	live     []structs.Instance
	changed  chan struct{}
	// upCtx ends when the daemon goes down. goDown ends it.
	upCtx  context.Context
	goDown context.CancelFunc
}

var (
	_ peer.Mux    = (*Node)(nil)
	_ peer.Dialer = (*Node)(nil)
	_ member.View = (*Node)(nil)
)

// SetDown stops the daemon or brings it back. Both break the streams that it serves.
// While it is down, other daemons can't open streams to it.
func (n *Node) SetDown(down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.goDown()
	if !down {
		n.upCtx, n.goDown = context.WithCancel(context.Background())
	}
}

// SetLive replaces the set of daemons that this one considers live. Unknown names are
// ignored.
func (n *Node) SetLive(names ...string) {
	var live []structs.Instance
	for _, name := range names {
		if node := n.network.node(name); node != nil {
			live = append(live, node.self)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	n.setLive(live)
}

func (n *Node) setLive(live []structs.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.live = live
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
}

// Handle registers the handler of a method.
func (n *Node) Handle(method string, h peer.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[method] = h
}

// Self returns the node's own instance.
func (n *Node) Self() structs.Instance { return n.self }

// Live returns the daemons that this one considers live, sorted by name.
func (n *Node) Live() []structs.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.live
}

// Reachable returns the daemons that Live returns.
func (n *Node) Reachable() []structs.Instance { return n.Live() }

// Lookup returns a daemon of the network by name, live or not.
func (n *Node) Lookup(name string) (structs.Instance, bool) {
	node := n.network.node(name)
	if node == nil {
		return structs.Instance{}, false
	}
	return node.self, true
}

// Servers returns nil; the network has no backend servers.
func (n *Node) Servers() []structs.Server { return nil }

// Changed returns a channel that is closed when the set of live daemons changes.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.changed
}

// handler returns a method's handler and a context that ends when the daemon goes
// down. It returns false when the method is unknown or the daemon is down.
func (n *Node) handler(method string) (peer.Handler, context.Context, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.handlers[method]
	return h, n.upCtx, ok && n.upCtx.Err() == nil
}
