package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"ibisline/internal/member"
	"ibisline/internal/objectapi"
	"ibisline/internal/peer"
	"ibisline/internal/policy/quarantine"
	"ibisline/internal/structs"
	"ibisline/internal/timers"
	"ibisline/internal/verdict"
)

const (
	methodQuarantine = "dispatch.quarantine"
	// broadcastTimeout limits the wait until the other daemons are notified of a
	// crash. The interrupted requests are answered only after it, so that they
	// are not retried before.
	broadcastTimeout = time.Second
	// maxWatchRetryDelay is the upper limit of the exponential delay after failed
	// reads of the quarantine objects.
	maxWatchRetryDelay = 15 * time.Second
	// quarantineCleanupInterval is the time between removals of expired objects.
	quarantineCleanupInterval = 10 * time.Minute
	// quarantineStoreInterval is the time between two attempts to store notices whose first write
	// failed, and maxUnstoredNotices the number that is kept for that.
	quarantineStoreInterval = 2 * time.Second
	maxUnstoredNotices      = 64
)

// quarantineNotice notifies other daemons of a crash. It is also the value of the
// platform object that stores the notice for daemons that were not running.
type quarantineNotice struct {
	Entries []quarantine.Entry `msgpack:"e" json:"entries"`
}

// quarantineAck answers quarantineNotice.
type quarantineAck struct{}

// sharedQuarantine holds the list of requests that crash engines and shares it
// with the other daemons. It is safe for concurrent use.
type sharedQuarantine struct {
	deps Deps
	mu   sync.Mutex
	list *quarantine.List
	// unstored holds the notices that are not stored at the platform yet, by key.
	unstored map[string]quarantineNotice
}

func newSharedQuarantine(deps Deps) *sharedQuarantine {
	return &sharedQuarantine{deps: deps, list: quarantine.NewList(), unstored: map[string]quarantineNotice{}}
}

// fingerprint identifies a request by the input of the engine: the model and the
// messages.
func fingerprint(request structs.GenerateRequest) string {
	hash := xxhash.New()
	write := func(part string) { _, _ = hash.WriteString(strconv.Itoa(len(part)) + ":" + part) }
	write(request.Model)
	for _, message := range request.Messages {
		write(message.Role)
		write(message.Content)
	}
	return strconv.FormatUint(hash.Sum64(), 16)
}

// find returns the quarantine entry of a request, or a zero entry. Requests are
// hashed only while the list has entries.
func (q *sharedQuarantine) find(request structs.GenerateRequest) quarantine.Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.list.Len() == 0 {
		return quarantine.Entry{}
	}
	return q.list.Find(fingerprint(request), time.Now())
}

// check returns an error for a request that is refused because it crashes engines.
func (q *sharedQuarantine) check(request structs.GenerateRequest) error {
	entry := q.find(request)
	if entry.Standing != quarantine.Refused {
		return nil
	}
	return quarantineRefusal(entry)
}

// quarantineRefusal is the refusal of a request with the given quarantine entry.
func quarantineRefusal(entry quarantine.Entry) error {
	refusal := verdict.Refuse(verdict.Quarantined, "the request crashed two engines, last %s", entry.Engine)
	return refusal.RetryIn(time.Until(entry.Expires))
}

// clearSuspect removes the suspicion from a request that ran without a crash.
func (q *sharedQuarantine) clearSuspect(request structs.GenerateRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.RecordCompletion(fingerprint(request))
}

// recordCrash records the requests that were in flight when an engine crashed. It
// returns once the other daemons are notified or broadcastTimeout has passed.
func (q *sharedQuarantine) recordCrash(ctx context.Context, engine string, requests []structs.GenerateRequest) {
	fingerprints := make([]string, len(requests))
	for i, request := range requests {
		fingerprints[i] = fingerprint(request)
	}
	q.mu.Lock()
	entries := q.list.RecordCrash(engine, fingerprints, time.Now())
	q.mu.Unlock()
	q.deps.Log.WithField("engine", engine).WithField("under_way", len(requests)).Warn("engine crashed")
	if len(entries) > 0 {
		q.broadcast(ctx, engine, quarantineNotice{Entries: entries})
	}
}

// broadcast sends the notice to all live daemons and stores it at the platform.
func (q *sharedQuarantine) broadcast(ctx context.Context, engine string, notice quarantineNotice) {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	var group errgroup.Group
	for _, instance := range q.deps.View.Live() {
		if instance.Name == q.deps.Self {
			continue
		}
		group.Go(func() error {
			var ack quarantineAck
			return peer.Call(ctx, q.deps.Dialer, instance.Name, methodQuarantine, notice, &ack)
		})
	}
	group.Go(func() error {
		return q.store(ctx, fmt.Sprintf("%s%s-%d", structs.QuarantinePrefix, engine, time.Now().UnixNano()), notice)
	})
	if err := group.Wait(); err != nil {
		q.deps.Log.WithError(err).Warn("quarantine notice not delivered to all daemons and the platform")
	}
}

// store writes the notice to the platform. A write that fails is repeated by storeUnstored.
func (q *sharedQuarantine) store(ctx context.Context, key string, notice quarantineNotice) error {
	value, err := json.Marshal(notice)
	if err != nil {
		return err
	}
	_, err = q.deps.Store.Put(ctx, key, value, objectapi.NoVersion)
	q.mu.Lock()
	defer q.mu.Unlock()
	if err == nil || errors.Is(err, objectapi.ErrConflict) {
		// After a conflict, an earlier write whose outcome was unknown has stored the notice.
		delete(q.unstored, key)
		return nil
	}
	if len(q.unstored) < maxUnstoredNotices {
		q.unstored[key] = notice
	}
	return err
}

// storeUnstored repeats the writes of notices that failed.
func (q *sharedQuarantine) storeUnstored(ctx context.Context) {
	q.mu.Lock()
	unstored := maps.Clone(q.unstored)
	q.mu.Unlock()
	for key, notice := range unstored {
		if err := q.store(ctx, key, notice); err != nil {
			q.deps.Log.WithError(err).WithField("object", key).Info("quarantine notice not stored")
			return
		}
	}
}

// merge adds the entries of a notice to the list.
func (q *sharedQuarantine) merge(notice quarantineNotice) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for _, entry := range notice.Entries {
		q.list.Merge(entry, now)
	}
}

// handle serves methodQuarantine.
func (q *sharedQuarantine) handle(_ context.Context, s peer.Stream) error {
	var notice quarantineNotice
	if err := s.Recv(&notice); err != nil {
		return err
	}
	q.merge(notice)
	return s.Send(quarantineAck{})
}

// watch merges the notices stored at the platform until ctx ends.
func (q *sharedQuarantine) watch(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.MaxInterval = maxWatchRetryDelay
	for ctx.Err() == nil {
		objects, revision, err := q.deps.Store.List(ctx, structs.QuarantinePrefix)
		if err == nil {
			retry.Reset()
			q.mergeObjects(objects)
			q.watchChanges(ctx, revision)
		}
		timers.Sleep(ctx, retry.NextBackOff())
	}
	return nil
}

// watchChanges merges changed notices until a watch fails or ctx ends.
func (q *sharedQuarantine) watchChanges(ctx context.Context, revision int64) {
	for ctx.Err() == nil {
		events, next, err := q.deps.Store.Watch(ctx, structs.QuarantinePrefix, revision)
		if err != nil {
			return
		}
		for _, event := range events {
			q.mergeObjects([]objectapi.Object{event.Object})
		}
		revision = next
	}
}

// mergeObjects merges notices stored at the platform. A malformed one is skipped,
// so that it does not block the others.
func (q *sharedQuarantine) mergeObjects(objects []objectapi.Object) {
	for _, object := range objects {
		var notice quarantineNotice
		if json.Unmarshal(object.Value, &notice) == nil {
			q.merge(notice)
		}
	}
}

// removeExpired removes expired entries from the list and, for the objects that
// this daemon owns, from the platform. Each object has one owner.
func (q *sharedQuarantine) removeExpired(ctx context.Context) {
	q.mu.Lock()
	q.list.Expire(time.Now())
	q.mu.Unlock()
	objects, _, err := q.deps.Store.List(ctx, structs.QuarantinePrefix)
	if err != nil {
		return
	}
	for _, object := range objects {
		owner, ok := member.Owner(q.deps.View, "", object.Key)
		if ok && owner.Name == q.deps.Self && noticeExpired(object, time.Now()) {
			_ = q.deps.Store.Delete(ctx, object.Key, object.Version)
		}
	}
}

// noticeExpired reports whether all entries of a stored notice have expired. A
// malformed notice counts as expired.
func noticeExpired(object objectapi.Object, now time.Time) bool {
	var notice quarantineNotice
	if json.Unmarshal(object.Value, &notice) != nil {
		return true
	}
	for _, entry := range notice.Entries {
		if now.Before(entry.Expires) {
			return false
		}
	}
	return true
}

// entries returns all entries of the list.
func (q *sharedQuarantine) entries() []quarantine.Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.All()
}
