package member

import (
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"ibisline/internal/member/gossip"
	"ibisline/internal/structs"
)

// snapshot is an immutable copy of the view.
type snapshot struct {
	live []structs.Instance
	all  []structs.Instance
	// reachable holds the live and the leaving instances.
	reachable []structs.Instance
	known     map[string]structs.Instance // live or leaving
	servers   []structs.Server
	owners    map[string]*rendezvous.Rendezvous // by region, "" for all
	changed   chan struct{}
}

// newSnapshot returns a snapshot of the machine and of the list of servers.
func newSnapshot(machine *gossip.Machine, servers []structs.Server) *snapshot {
	s := &snapshot{
		known:   map[string]structs.Instance{},
		servers: servers,
		changed: make(chan struct{}),
	}
	for _, member := range machine.Members() {
		// The instance comes from the platform's list or a rumor and may hold an
		// older incarnation.
		member.Instance.Incarnation = member.Incarnation
		s.all = append(s.all, member.Instance)
		if member.Status != gossip.Dead {
			s.known[member.Instance.Name] = member.Instance
			s.reachable = append(s.reachable, member.Instance)
		}
	}
	for _, instance := range machine.Live() {
		s.live = append(s.live, s.known[instance.Name])
	}
	s.owners = ownerTables(s.live)
	return s
}

// ownerTables returns the rendezvous tables of each region and, under the key "",
// of all regions.
func ownerTables(live []structs.Instance) map[string]*rendezvous.Rendezvous {
	names := map[string][]string{}
	for _, instance := range live {
		names[""] = append(names[""], instance.Name)
		names[instance.Region] = append(names[instance.Region], instance.Name)
	}
	tables := map[string]*rendezvous.Rendezvous{}
	for region, members := range names {
		tables[region] = rendezvous.New(members, xxhash.Sum64String)
	}
	return tables
}

// owner returns the daemon responsible for key, as described at Owner.
func (s *snapshot) owner(region, key string) (structs.Instance, bool) {
	table, ok := s.owners[region]
	if !ok {
		table, ok = s.owners[""]
	}
	if !ok {
		return structs.Instance{}, false
	}
	return s.known[table.Lookup(key)], true
}

// Self returns the instance of this daemon.
func (m *Members) Self() structs.Instance { return m.self }

// Live returns the live daemons, sorted by name. A daemon that has learned that no
// other can reach it excludes itself, as the others do.
func (m *Members) Live() []structs.Instance { return m.snapshot.Load().live }

// Reachable returns the live and the leaving daemons, sorted by name.
func (m *Members) Reachable() []structs.Instance { return m.snapshot.Load().reachable }

// Lookup returns a known daemon, live or leaving, and false if there is none.
func (m *Members) Lookup(name string) (structs.Instance, bool) {
	instance, ok := m.snapshot.Load().known[name]
	return instance, ok
}

// Servers returns the backend servers of the platform's list, leaving ones included.
func (m *Members) Servers() []structs.Server { return m.snapshot.Load().servers }

// Changed returns a channel that is closed at the next change of the view.
func (m *Members) Changed() <-chan struct{} { return m.snapshot.Load().changed }

// Owner returns the daemon responsible for key like the function Owner, but uses
// tables that are prepared once per change of the membership.
func (m *Members) Owner(region, key string) (structs.Instance, bool) {
	return m.snapshot.Load().owner(region, key)
}

// State is the state of the membership in a diagnostic dump.
type State struct {
	Self    structs.Instance `json:"self"`
	Members []gossip.Member  `json:"members"`
	Targets []string         `json:"targets"`
	Servers []structs.Server `json:"servers"`
	Digest  uint64           `json:"digest"`
}

// Dump returns a State.
func (m *Members) Dump() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return State{
		Self:    m.self,
		Members: m.machine.Members(),
		Targets: m.machine.Targets(),
		Servers: m.servers,
		Digest:  m.machine.Digest(),
	}
}

// Rank returns the zero-based position of this daemon among the live ones, ordered by
// the descending hash of name and key.
func (m *Members) Rank(key string) int {
	own := xxhash.Sum64String(m.self.Name + "/" + key)
	rank := 0
	for _, instance := range m.Live() {
		if xxhash.Sum64String(instance.Name+"/"+key) > own {
			rank++
		}
	}
	return rank
}

// Others returns the names of the other live daemons.
func (m *Members) Others() []string {
	var names []string
	for _, instance := range m.Live() {
		if instance.Name != m.self.Name {
			names = append(names, instance.Name)
		}
	}
	return names
}

// Known returns all known daemons, dead and leaving ones included.
func (m *Members) Known() []structs.Instance { return m.snapshot.Load().all }
