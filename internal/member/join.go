package member

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
)

// seedDialer is a dialer that can ask an address for the name of its daemon.
type seedDialer interface {
	Meet(ctx context.Context, addr string) (string, error)
}

// join discovers peers at the start and whenever no other live daemon is known. It
// reads the platform's list, to which it also adds this daemon, and falls back to the
// seeds. It returns when the membership ends.
func (m *Members) join() {
	for {
		if !m.registered.Load() || m.alone() {
			if err := m.joinList(); err != nil {
				m.logger.WithError(err).Info("list of daemons not read, trying the seeds")
				m.joinSeeds()
			}
		}
		if !m.pause(jittered(joinInterval)) {
			return
		}
	}
}

// Registered returns true once the platform's list contains this daemon.
func (m *Members) Registered() bool { return m.registered.Load() }

// Newcomer returns true if the platform's list did not contain this daemon before it started.
func (m *Members) Newcomer() bool { return m.newcomer.Load() }

// alone returns true while no other live daemon is known.
func (m *Members) alone() bool {
	for _, instance := range m.Live() {
		if instance.Name != m.self.Name {
			return false
		}
	}
	return true
}

// enoughListed is the number of other listed daemons with which the list is not read again: one of them
// is live, and daemons that start at the same time meet through it.
const enoughListed = 8

// joinList merges the platform's list and adds this daemon to it. If the list was short, it reads
// it again, so that of two daemons that start at the same time at least the one added later
// discovers the other.
func (m *Members) joinList() error {
	found, err := m.fetchList()
	if err != nil || m.registered.Load() {
		return err
	}
	key := structs.InstancePrefix + m.self.Name
	added, err := m.addToList(key, found[key])
	if err != nil {
		m.logger.WithError(err).Info("own entry not written yet")
		return nil
	}
	_, listedBefore := found[key]
	m.newcomer.Store(!listedBefore)
	m.registered.Store(true)
	if added && len(found) < enoughListed {
		_, err = m.fetchList()
	}
	return err
}

// fetchList reads and merges the platform's list of daemons once.
func (m *Members) fetchList() (objectMap, error) {
	found, _, err := m.list(structs.InstancePrefix)
	if err != nil {
		return nil, err
	}
	m.applyInstances(found)
	if m.initialListsRead.Load() == 0 {
		m.initialListsRead.Store(platformLists)
	}
	return found, nil
}

// addToList writes the daemon's entry unless the list already contains an equal one,
// and reports whether it wrote. The entry contains no incarnation, so that a restart
// at the same address needs no write.
func (m *Members) addToList(key string, current objectapi.Object) (added bool, err error) {
	entry := m.self
	entry.Incarnation = 0
	wanted, err := json.Marshal(entry)
	if err != nil {
		return false, err
	}
	var held structs.Instance
	if json.Unmarshal(current.Value, &held) == nil && held == entry {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(m.ctx, platformTimeout)
	defer cancel()
	_, err = m.store.Put(ctx, key, wanted, current.Version)
	return err == nil, err
}

// joinSeeds asks the seeds for their names and synchronises with them.
func (m *Members) joinSeeds() {
	transport, ok := m.dialer.(seedDialer)
	if !ok {
		return
	}
	m.mu.Lock()
	seeds := m.config.Seeds
	m.mu.Unlock()
	for _, addr := range seeds {
		if addr == m.self.PeerAddr {
			continue
		}
		m.spawn(func() { m.joinSeed(transport, addr) })
	}
}

// SetSeeds replaces Config.Seeds at run time.
func (m *Members) SetSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.config.Seeds = seeds
	maps.DeleteFunc(m.seedNames, func(addr, _ string) bool { return !slices.Contains(seeds, addr) })
}

// joinSeed asks the seed at addr for its name and synchronises with it.
func (m *Members) joinSeed(transport seedDialer, addr string) {
	ctx, cancel := context.WithTimeout(m.ctx, seedTimeout)
	defer cancel()
	name, err := transport.Meet(ctx, addr)
	if err != nil || name == "" || name == m.self.Name {
		return
	}
	m.mu.Lock()
	m.seedNames[addr] = name
	m.mu.Unlock()
	started := time.Now()
	m.sync(name)
	m.logger.WithField("peer", name).WithField("took", time.Since(started)).Info("joined through a seed")
}
