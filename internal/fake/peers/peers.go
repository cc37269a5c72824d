// Package peers is a stand-in for the connections between daemons and for their
// membership, in memory, with faults that tests switch on.
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

// link is one direction between two daemons.
type link struct{ from, to string }

// Network joins the nodes of a test. It is safe for concurrent use.
type Network struct {
	mu      sync.Mutex
	nodes   map[string]*Node
	cut     map[link]bool
	latency func(from, to structs.Instance) time.Duration
	bytes   int
	frames  int
	// bandwidth is that of each link in bytes a second; 0 bounds nothing.
	bandwidth int
}

// New returns a network without nodes. latency, when not nil, delays each frame.
func New(latency func(from, to structs.Instance) time.Duration) *Network {
	return &Network{
		nodes:   map[string]*Node{},
		cut:     map[link]bool{},
		latency: latency,
	}
}

// Join adds a daemon, or replaces one of the same name that was restarted.
func (n *Network) Join(instance structs.Instance) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	node := &Node{network: n, self: instance, handlers: map[string]peer.Handler{}}
	node.up, node.fall = context.WithCancel(context.Background())
	n.nodes[instance.Name] = node
	node.live = n.instances()
	for _, other := range n.nodes {
		other.setLive(n.instances())
	}
	return node
}

// Remove takes a daemon out for good.
func (n *Network) Remove(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, name)
}

// Cut cuts or heals the direction between two daemons: frames sent on it vanish.
func (n *Network) Cut(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{from, to}] = on
}

// SetBandwidth delays each frame by its size, at so many bytes a second.
func (n *Network) SetBandwidth(bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bandwidth = bytesPerSecond
}

// Traffic returns the number of frames sent so far and their size in bytes.
func (n *Network) Traffic() (frames, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frames, n.bytes
}

// instances returns all daemons by name. The caller holds mu.
func (n *Network) instances() []structs.Instance {
	var all []structs.Instance
	for _, node := range n.nodes {
		all = append(all, node.self)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// node returns a daemon by name, nil when unknown.
func (n *Network) node(name string) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[name]
}

// send accounts for a frame and returns its delay, and false when it vanishes.
func (n *Network) send(from, to structs.Instance, size int) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frames++
	n.bytes += size
	if n.cut[link{from.Name, to.Name}] {
		return 0, false
	}
	var delay time.Duration
	if n.latency != nil {
		delay = n.latency(from, to)
	}
	if n.bandwidth > 0 {
		delay += time.Duration(size) * time.Second / time.Duration(n.bandwidth)
	}
	return delay, true
}

// Node is one daemon's side of the network. It implements peer.Mux, peer.Dialer
// and member.View.
type Node struct {
	network  *Network
	self     structs.Instance
	mu       sync.Mutex
	handlers map[string]peer.Handler
	live     []structs.Instance
	changed  chan struct{}
	// up ends when the daemon goes down, by fall.
	up   context.Context
	fall context.CancelFunc
}

var (
	_ peer.Mux    = (*Node)(nil)
	_ peer.Dialer = (*Node)(nil)
	_ member.View = (*Node)(nil)
)

// SetDown stops or restores the daemon: the streams that it serves break, and
// others can open none to it.
func (n *Node) SetDown(down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fall()
	if !down {
		n.up, n.fall = context.WithCancel(context.Background())
	}
}

// SetLive replaces the daemons that this one takes to be live.
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

// Handle implements peer.Mux.
func (n *Node) Handle(method string, h peer.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[method] = h
}

// Self implements member.View.
func (n *Node) Self() structs.Instance { return n.self }

// Live implements member.View.
func (n *Node) Live() []structs.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.live
}

// Lookup implements member.View.
func (n *Node) Lookup(name string) (structs.Instance, bool) {
	node := n.network.node(name)
	if node == nil {
		return structs.Instance{}, false
	}
	return node.self, true
}

// Servers implements member.View; the network has none.
func (n *Node) Servers() []structs.Server { return nil }

// Changed implements member.View.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.changed
}

// handler returns a method's handler and a context that ends when the daemon goes
// down, unless it is down.
func (n *Node) handler(method string) (peer.Handler, context.Context, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.handlers[method]
	return h, n.up, ok && n.up.Err() == nil
}
