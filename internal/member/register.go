package member

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
)

// registerSelf writes the daemon's own entry, live or leaving, to the platform's
// list and retries until it succeeds.
func (m *Members) registerSelf() {
	retry := newRetry()
	for m.ctx.Err() == nil {
		err := m.writeEntry()
		if err == nil {
			return
		}
		m.logger.WithError(err).Debug("own entry not written yet")
		m.pause(retry.NextBackOff())
	}
}

// writeEntry writes the current entry if the stored one differs. It always reads the
// stored entry first, which also resolves an earlier write with an unknown outcome.
func (m *Members) writeEntry() error {
	ctx, cancel := context.WithTimeout(m.ctx, platformTimeout)
	defer cancel()
	wanted, err := json.Marshal(m.entry())
	if err != nil {
		return errors.Wrap(err, "encode own entry")
	}
	key := structs.InstancePrefix + m.self.Name
	current, err := m.store.Get(ctx, key)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		return err
	}
	if string(current.Value) == string(wanted) {
		return nil
	}
	_, err = m.store.Put(ctx, key, wanted, current.Version)
	return err
}

// entry returns the daemon's entry for the platform's list.
func (m *Members) entry() structs.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry := m.self
	if m.leaving.Load() {
		entry.State = structs.StateLeaving
		entry.Incarnation = m.machine.Incarnation()
	}
	return entry
}

// unregisterTimeout bounds the removal of the entry at shutdown.
const unregisterTimeout = time.Second

// unregister removes the entry of a daemon that left, unless a later start has
// replaced it. After a failure an entry with the state leaving remains, which is
// harmless.
func (m *Members) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	key := structs.InstancePrefix + m.self.Name
	current, err := m.store.Get(ctx, key)
	if err != nil {
		return
	}
	var entry structs.Instance
	if json.Unmarshal(current.Value, &entry) != nil || entry.State != structs.StateLeaving {
		return
	}
	if err := m.store.Delete(ctx, key, current.Version); err != nil {
		m.logger.WithError(err).Debug("own entry not removed")
	}
}
