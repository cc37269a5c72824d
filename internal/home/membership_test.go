package home

import (
	"slices"
	"sync"

	"ibisline/internal/member"
	"ibisline/internal/structs"
)

// sharedMembership is the membership that all homes see, except for a view that is set
// to alone.
type sharedMembership struct {
	mu      sync.Mutex
	names   []string
	leaving []string
	servers []structs.Server
	changed chan struct{}
}

func (l *sharedMembership) add(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.names = append(l.names, name)
	slices.Sort(l.names)
	l.names = slices.Compact(l.names)
	l.leaving = slices.DeleteFunc(l.leaving, func(n string) bool { return n == name })
	l.notify()
}

// all returns the names of the live homes.
func (l *sharedMembership) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.names)
}

// home returns the home of a program's shard.
func (l *sharedMembership) home(program string) string {
	id, _ := structs.ShardOf(program)
	owner, _ := member.Home(l.viewOf(""), id)
	return owner.Name
}

func (l *sharedMembership) remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.names = slices.DeleteFunc(l.names, func(n string) bool { return n == name })
	l.leaving = slices.DeleteFunc(l.leaving, func(n string) bool { return n == name })
	l.notify()
}

// markLeaving changes a live home into a leaving one.
func (l *sharedMembership) markLeaving(name string) {
	l.remove(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = append(l.leaving, name)
}

func (l *sharedMembership) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// viewOf returns the view of one home.
func (l *sharedMembership) viewOf(self string) *view { return &view{sharedMembership: l, self: self} }

type view struct {
	*sharedMembership
	self string

	aloneMu sync.Mutex
	// alone makes the home see itself as the only live one.
	alone bool
}

var _ member.View = (*view)(nil)

func instance(name string) structs.Instance {
	return structs.Instance{Name: name, Region: testRegion, State: structs.StateLive}
}

func (v *view) Self() structs.Instance { return instance(v.self) }

func (v *view) setAlone(alone bool) {
	v.aloneMu.Lock()
	defer v.aloneMu.Unlock()
	v.alone = alone
}

func (v *view) Live() []structs.Instance {
	v.aloneMu.Lock()
	alone := v.alone
	v.aloneMu.Unlock()
	if alone {
		return []structs.Instance{instance(v.self)}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []structs.Instance
	for _, name := range v.names {
		list = append(list, instance(name))
	}
	return list
}

func (v *view) Reachable() []structs.Instance { return v.Live() }

func (v *view) Lookup(name string) (structs.Instance, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return instance(name), slices.Contains(v.names, name) || slices.Contains(v.leaving, name)
}

func (v *view) Servers() []structs.Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.servers
}

func (v *view) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}
