package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"ibisline/internal/member"
	"ibisline/internal/objectapi"
	"ibisline/internal/peer"
	"ibisline/internal/policy/quarantine"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

const (
	methodQuarantine = "dispatch.quarantine"
	// spreadTimeout bounds the wait until the other daemons know of a crash.
	// Only then are its requests answered, and can be tried again.
	spreadTimeout = time.Second
	// watchRetryMax bounds the growing wait after failed reads of the quarantine
	// objects.
	watchRetryMax = 15 * time.Second
	// cleanInterval is the time between two looks for expired objects.
	cleanInterval = 10 * time.Minute
)

// quarantineNotice tells other daemons of a crash. It is also the value of the
// platform object that keeps it for daemons that were away.
type quarantineNotice struct {
	Entries []quarantine.Entry `msgpack:"e" json:"entries"`
}

// quarantineAck answers quarantineNotice.
type quarantineAck struct{}

// quarantined keeps the list of requests that crash engines, and spreads it.
type quarantined struct {
	deps Deps
	mu   sync.Mutex
	list *quarantine.List
}

func newQuarantined(deps Deps) *quarantined {
	return &quarantined{deps: deps, list: quarantine.NewList()}
}

// fingerprint identifies a request by what the engine computes.
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

// standing returns what is held against a request. Requests are hashed only
// while the list has entries.
func (q *quarantined) standing(request structs.GenerateRequest) quarantine.Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.list.Len() == 0 {
		return quarantine.Entry{}
	}
	return q.list.Find(fingerprint(request), time.Now())
}

// check refuses a request that crashes engines.
func (q *quarantined) check(request structs.GenerateRequest) error {
	entry := q.standing(request)
	if entry.Standing != quarantine.Refused {
		return nil
	}
	return refusedAsPoison(entry)
}

// refusedAsPoison is the refusal under an entry of the quarantine.
func refusedAsPoison(entry quarantine.Entry) error {
	refusal := verdict.Refuse(verdict.Quarantined, "the request crashed two engines, last %s", entry.Engine)
	return refusal.RetryIn(time.Until(entry.Expires))
}

// finished clears a suspect.
func (q *quarantined) finished(request structs.GenerateRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.Finished(fingerprint(request))
}

// crashed judges the requests that were under way and returns when the other
// daemons know, or the time for that is up.
func (q *quarantined) crashed(ctx context.Context, engine string, requests []structs.GenerateRequest) {
	fingerprints := make([]string, len(requests))
	for i, request := range requests {
		fingerprints[i] = fingerprint(request)
	}
	q.mu.Lock()
	entries := q.list.Crashed(engine, fingerprints, time.Now())
	q.mu.Unlock()
	q.deps.Log.WithField("engine", engine).WithField("under_way", len(requests)).Warn("engine crashed")
	if len(entries) > 0 {
		q.spread(ctx, engine, quarantineNotice{Entries: entries})
	}
}

// spread tells all daemons directly, and keeps the notice at the platform.
func (q *quarantined) spread(ctx context.Context, engine string, notice quarantineNotice) {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
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
	group.Go(func() error { return q.keep(ctx, engine, notice) })
	if err := group.Wait(); err != nil {
		q.deps.Log.WithError(err).Warn("quarantine not spread to all")
	}
}

// keep writes the notice to the platform.
func (q *quarantined) keep(ctx context.Context, engine string, notice quarantineNotice) error {
	value, err := json.Marshal(notice)
	if err != nil {
		return err
	}
	key := fmt.Sprintf("%s%s-%d", structs.QuarantinePrefix, engine, time.Now().UnixNano())
	_, err = q.deps.Store.Put(ctx, key, value, objectapi.NoVersion)
	return err
}

// merge takes over a notice.
func (q *quarantined) merge(notice quarantineNotice) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for _, entry := range notice.Entries {
		q.list.Merge(entry, now)
	}
}

// handle serves methodQuarantine.
func (q *quarantined) handle(_ context.Context, s peer.Stream) error {
	var notice quarantineNotice
	if err := s.Recv(&notice); err != nil {
		return err
	}
	q.merge(notice)
	return s.Send(quarantineAck{})
}

// watch follows the platform's objects until ctx ends.
func (q *quarantined) watch(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.MaxInterval = watchRetryMax
	for ctx.Err() == nil {
		objects, revision, err := q.deps.Store.List(ctx, structs.QuarantinePrefix)
		if err == nil {
			retry.Reset()
			q.mergeObjects(objects)
			q.follow(ctx, revision)
		}
		pauseFor(ctx, retry.NextBackOff())
	}
	return nil
}

// follow merges changes until a watch fails.
func (q *quarantined) follow(ctx context.Context, revision int64) {
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

// mergeObjects takes over notices that the platform kept. One that cannot be
// read is skipped: it must not hide the others.
func (q *quarantined) mergeObjects(objects []objectapi.Object) {
	for _, object := range objects {
		var notice quarantineNotice
		if json.Unmarshal(object.Value, &notice) == nil {
			q.merge(notice)
		}
	}
}

// clean drops expired entries, here and at the platform. One daemon of all
// deletes an object.
func (q *quarantined) clean(ctx context.Context) {
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

// noticeExpired reports whether no entry of a kept notice is in force.
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

// all returns the entries, for dumps.
func (q *quarantined) all() []quarantine.Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.All()
}

// pauseFor waits for d or until ctx ends.
func pauseFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
