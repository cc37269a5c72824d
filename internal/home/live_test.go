package home

import (
	"slices"
	"sync"

	"ibisline/internal/member"
	"ibisline/internal/structs"
)

// liveList is a membership shared by all homes, unless one is given its own.
type liveList struct {
	mu      sync.Mutex
	names   []string
	leaving []string
	servers []structs.Server
	changed chan struct{}
}

func (l *liveList) add(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.names = append(l.names, name)
	slices.Sort(l.names)
	l.names = slices.Compact(l.names)
	l.leaving = slices.DeleteFunc(l.leaving, func(n string) bool { return n == name })
	l.wake()
}

// all returns the names of the live homes.
func (l *liveList) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.names)
}

// home returns the home of a program's shard.
func (l *liveList) home(program string) string {
	id, _ := structs.ShardOf(program)
	owner, _ := member.Home(l.viewOf(""), id)
	return owner.Name
}

func (l *liveList) remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.names = slices.DeleteFunc(l.names, func(n string) bool { return n == name })
	l.leaving = slices.DeleteFunc(l.leaving, func(n string) bool { return n == name })
	l.wake()
}

// leave turns a live home into a leaving one.
func (l *liveList) leave(name string) {
	l.remove(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = append(l.leaving, name)
}

func (l *liveList) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// viewOf returns the view of one home.
func (l *liveList) viewOf(self string) *view { return &view{liveList: l, self: self} }

type view struct {
	*liveList
	self string

	own sync.Mutex
	// alone makes the home believe that it is the only one.
	alone bool
}

var _ member.View = (*view)(nil)

func instance(name string) structs.Instance {
	return structs.Instance{Name: name, Region: testRegion, State: structs.StateLive}
}

func (v *view) Self() structs.Instance { return instance(v.self) }

func (v *view) setAlone(alone bool) {
	v.own.Lock()
	defer v.own.Unlock()
	v.alone = alone
}

func (v *view) Live() []structs.Instance {
	v.own.Lock()
	alone := v.alone
	v.own.Unlock()
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
