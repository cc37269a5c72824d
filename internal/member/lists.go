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

// objectMap holds the platform's objects under a prefix, by key.
type objectMap map[string]objectapi.Object

// follow maintains a copy of the objects under prefix and passes it to apply after
// every change. During a platform outage the last copy stays in use.
func (m *Members) follow(prefix string, apply func(objectMap)) {
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
			m.initialListsRead.Add(1)
		}
		m.watch(prefix, copied, revision, apply)
	}
}

// newRetry returns the exponential backoff, with jitter, between failed calls.
func newRetry() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = platformRetryMin
	retry.MaxInterval = platformRetryMax
	return retry
}

// list reads all objects under prefix.
func (m *Members) list(prefix string) (objectMap, int64, error) {
	ctx, cancel := context.WithTimeout(m.ctx, platformTimeout)
	defer cancel()
	found, revision, err := m.store.List(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	copied := objectMap{}
	for _, object := range found {
		copied[object.Key] = object
	}
	return copied, revision, nil
}

// watch applies the changes after revision until the platform has compacted them
// or RelistInterval has passed.
func (m *Members) watch(prefix string, copied objectMap, revision int64, apply func(objectMap)) {
	retry := newRetry()
	relist := time.Now().Add(jittered(m.config.RelistInterval))
	for m.ctx.Err() == nil && time.Now().Before(relist) {
		requestedAt := time.Now()
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
			copied.applyEvents(events)
			apply(copied)
			continue
		}
		if time.Since(requestedAt) < platformRetryMin {
			// The platform returned without waiting; avoid polling it in a tight loop.
			m.pause(retry.NextBackOff())
		}
	}
}

// applyEvents applies events in order. An event older than the held version is
// ignored.
func (o objectMap) applyEvents(events []objectapi.Event) {
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

// decodeAll decodes the values and returns them sorted by name. It logs and omits a
// value that cannot be decoded or whose name does not match its key.
func decodeAll[T any](m *Members, o objectMap, nameOf func(T) string, prefix string) []T {
	all := make([]T, 0, len(o))
	for key, object := range o {
		var value T
		if err := json.Unmarshal(object.Value, &value); err != nil {
			m.logger.WithField("key", key).WithError(err).Warn("cannot decode object of the platform; ignored")
			continue
		}
		if prefix+nameOf(value) != key {
			m.logger.WithField("key", key).Warn("name in object does not match its key; ignored")
			continue
		}
		all = append(all, value)
	}
	slices.SortFunc(all, func(a, b T) int { return strings.Compare(nameOf(a), nameOf(b)) })
	return all
}

// applyInstances merges the platform's list of daemons.
func (m *Members) applyInstances(o objectMap) {
	instances := decodeAll(m, o, func(i structs.Instance) string { return i.Name }, structs.InstancePrefix)
	m.update(func(machine *gossip.Machine) { machine.ApplyList(instances, time.Now()) })
}

// applyServers replaces the list of backend servers with the platform's.
func (m *Members) applyServers(o objectMap) {
	servers := decodeAll(m, o, func(s structs.Server) string { return s.Name }, structs.ServerPrefix)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.servers = servers
	m.replaceSnapshot()
}
