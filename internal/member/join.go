package member

import (
	"context"
	"encoding/json"
	"time"

	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
)

// greeter is a dialer that can ask an address for the name of its daemon.
type greeter interface {
	Meet(ctx context.Context, addr string) (string, error)
}

// join finds the first peers, and again whenever no other daemon is known to
// live: in the platform's list, in which it also enters this daemon, and at the
// seeds. It ends with the membership.
func (m *Members) join() {
	for {
		if !m.registered.Load() || m.alone() {
			if err := m.readList(); err != nil {
				m.logger.WithError(err).Info("list of daemons not read, trying the seeds")
				m.meetSeeds()
			}
		}
		if !m.pause(jittered(joinInterval)) {
			return
		}
	}
}

// Registered is true once the platform's list names this daemon.
func (m *Members) Registered() bool { return m.registered.Load() }

// alone is true while no other daemon is known to live.
func (m *Members) alone() bool {
	for _, instance := range m.Live() {
		if instance.Name != m.self.Name {
			return false
		}
	}
	return true
}

// readList takes the platform's list and adds this daemon to it. After that it reads
// the list again, so that of two daemons that start together at least the one that
// is added later knows of the other.
func (m *Members) readList() error {
	found, err := m.takeList()
	if err != nil || m.registered.Load() {
		return err
	}
	key := structs.InstancePrefix + m.self.Name
	added, err := m.enter(key, found[key])
	if err != nil {
		m.logger.WithError(err).Info("own entry not written yet")
		return nil
	}
	m.registered.Store(true)
	if added {
		_, err = m.takeList()
	}
	return err
}

// takeList reads the platform's list of daemons once.
func (m *Members) takeList() (objects, error) {
	found, _, err := m.list(structs.InstancePrefix)
	if err != nil {
		return nil, err
	}
	m.applyInstances(found)
	if m.listed.Load() == 0 {
		m.listed.Store(listCount)
	}
	return found, nil
}

// enter writes the daemon's entry unless it stands there already, and reports whether
// it did. The entry holds no incarnation, so that a restart at the same address
// writes nothing.
func (m *Members) enter(key string, current objectapi.Object) (added bool, err error) {
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

// meetSeeds asks the seeds for their names and takes what they know.
func (m *Members) meetSeeds() {
	transport, ok := m.dialer.(greeter)
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
		m.spawn(func() { m.meet(transport, addr) })
	}
}

// SetSeeds replaces the seeds.
func (m *Members) SetSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.config.Seeds = seeds
}

func (m *Members) meet(transport greeter, addr string) {
	ctx, cancel := context.WithTimeout(m.ctx, meetTimeout)
	defer cancel()
	name, err := transport.Meet(ctx, addr)
	if err != nil || name == "" || name == m.self.Name {
		return
	}
	m.mu.Lock()
	m.met[name] = addr
	m.mu.Unlock()
	started := time.Now()
	m.sync(name)
	m.logger.WithField("peer", name).WithField("took", time.Since(started)).Info("joined through a seed")
}
