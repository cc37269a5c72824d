package member

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"ibisline/internal/member/gossip"
	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
)

// objects are the values under a prefix of the platform, by key.
type objects map[string]objectapi.Object

// follow keeps a copy of the objects under prefix and hands it to apply after
// every change. While the platform is down the last copy stays in force.
func (m *Members) follow(prefix string, apply func(objects)) {
	retry := newRetry()
	first := true
	for m.ctx.Err() == nil {
		copied, revision, err := m.list(prefix)
		if err != nil {
			m.pause(retry.NextBackOff())
			continue
		}
		retry.Reset()
		apply(copied)
		if first {
			first = false
			m.listed.Add(1)
		}
		m.watch(prefix, copied, revision, apply)
	}
}

// newRetry returns the waits between failed calls, with jitter.
func newRetry() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = platformRetryMin
	retry.MaxInterval = platformRetryMax
	return retry
}

// list reads all objects under prefix.
func (m *Members) list(prefix string) (objects, int64, error) {
	ctx, cancel := context.WithTimeout(m.ctx, platformTimeout)
	defer cancel()
	found, revision, err := m.store.List(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	copied := objects{}
	for _, object := range found {
		copied[object.Key] = object
	}
	return copied, revision, nil
}

// watch follows the changes after revision until the platform no longer keeps
// them, or it is time to list again.
func (m *Members) watch(prefix string, copied objects, revision int64, apply func(objects)) {
	retry := newRetry()
	relist := time.Now().Add(jittered(m.config.RelistInterval))
	for m.ctx.Err() == nil && time.Now().Before(relist) {
		asked := time.Now()
		events, seen, err := m.store.Watch(m.ctx, prefix, revision)
		if errors.Is(err, objectapi.ErrCompacted) {
			return
		}
		if err != nil {
			m.pause(retry.NextBackOff())
			continue
		}
		revision = max(revision, seen)
		if len(events) > 0 {
			retry.Reset()
			copied.change(events)
			apply(copied)
			continue
		}
		if time.Since(asked) < platformRetryMin {
			// The platform did not wait; do not ask in a tight loop.
			m.pause(retry.NextBackOff())
		}
	}
}

// change applies events in their order.
func (o objects) change(events []objectapi.Event) {
	for _, event := range events {
		if event.Version < o[event.Key].Version {
			continue
		}
		if event.Deleted {
			delete(o, event.Key)
			continue
		}
		o[event.Key] = event.Object
	}
}

// decodeAll decodes the values, named by their key, in the order of the keys.
// One that cannot be read is left out.
func decodeAll[T any](m *Members, o objects, nameOf func(T) string, prefix string) []T {
	all := make([]T, 0, len(o))
	for key, object := range o {
		var value T
		if err := json.Unmarshal(object.Value, &value); err != nil {
			m.logger.WithField("key", key).WithError(err).Warn("object not readable, left out")
			continue
		}
		if prefix+nameOf(value) != key {
			m.logger.WithField("key", key).Warn("object has another name than its key, left out")
			continue
		}
		all = append(all, value)
	}
	slices.SortFunc(all, func(a, b T) int { return strings.Compare(nameOf(a), nameOf(b)) })
	return all
}

// applyInstances takes the platform's list of daemons.
func (m *Members) applyInstances(o objects) {
	instances := decodeAll(m, o, func(i structs.Instance) string { return i.Name }, structs.InstancePrefix)
	m.update(func(machine *gossip.Machine) { machine.Listed(instances, time.Now()) })
}

// applyServers takes the platform's list of backend servers.
func (m *Members) applyServers(o objects) {
	servers := decodeAll(m, o, func(s structs.Server) string { return s.Name }, structs.ServerPrefix)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.servers = servers
	m.swap()
}
