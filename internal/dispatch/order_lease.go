package dispatch

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
	"ibisline/internal/timers"
	"ibisline/internal/verdict"
)

// orderHolder is the value of the platform object that names the daemon allowed
// to send orders to an engine. Each change of the holder increments the fence.
type orderHolder struct {
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
	// PauseAllowance is the longest time for which the holder may be paused
	// between reading this object and sending an order.
	PauseAllowance time.Duration `json:"pause_allowance_ns"`
}

// orderLease acquires and verifies the leases for sending orders to engines.
type orderLease struct {
	deps           Deps
	pauseAllowance time.Duration
	mu             sync.Mutex
	// holdOffUntil is, per engine, the time until which this daemon sends no
	// orders, because a paused previous holder may still resume and send one.
	holdOffUntil map[string]time.Time
}

func newOrderLease(deps Deps, pauseAllowance time.Duration) *orderLease {
	return &orderLease{deps: deps, pauseAllowance: pauseAllowance, holdOffUntil: map[string]time.Time{}}
}

// acquire ensures that this daemon holds the lease and returns the fence. It
// reads the object before each order, because another daemon may have taken over.
// For an engine that ignores fences it also waits until the previous holder can
// no longer send orders.
func (l *orderLease) acquire(ctx context.Context, server structs.Server) (int64, error) {
	key := structs.OrderPrefix + server.Name
	held, version, err := l.read(ctx, key)
	if err != nil {
		return 0, err
	}
	if held.Holder == l.deps.Self {
		return held.Fence, l.waitHoldOff(ctx, server.Name)
	}
	next := orderHolder{Holder: l.deps.Self, Fence: held.Fence + 1, PauseAllowance: l.pauseAllowance}
	if err := l.write(ctx, key, next, version); err != nil {
		return 0, err
	}
	if held.Holder != "" && !server.Fences {
		l.setHoldOff(server.Name, held.PauseAllowance)
	}
	return next.Fence, l.waitHoldOff(ctx, server.Name)
}

// invalidate deletes the local state of a lease that another daemon holds.
func (l *orderLease) invalidate(engine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.holdOffUntil, engine)
}

func (l *orderLease) setHoldOff(engine string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdOffUntil[engine] = time.Now().Add(d)
}

// waitHoldOff waits until the previous holder can no longer send orders.
func (l *orderLease) waitHoldOff(ctx context.Context, engine string) error {
	l.mu.Lock()
	wait := time.Until(l.holdOffUntil[engine])
	l.mu.Unlock()
	if wait <= 0 {
		return nil
	}
	timers.Sleep(ctx, wait)
	if ctx.Err() != nil {
		return verdict.Refuse(verdict.Canceled,
			"canceled while waiting for the previous holder of the order lease of %s", engine)
	}
	return nil
}

// read returns the holder and the version of its object, or a zero holder and
// objectapi.NoVersion if there is no object.
func (l *orderLease) read(ctx context.Context, key string) (orderHolder, int64, error) {
	var held orderHolder
	object, err := l.deps.Store.Get(ctx, key)
	if errors.Is(err, objectapi.ErrNotFound) {
		return held, objectapi.NoVersion, nil
	}
	if err != nil {
		return held, 0, verdict.Wrap(err, verdict.NotRun, verdict.PlatformDown, "order lease cannot be read")
	}
	if err := json.Unmarshal(object.Value, &held); err != nil {
		return held, 0, verdict.Wrap(err, verdict.NotRun, verdict.Internal, "order lease is malformed")
	}
	return held, object.Version, nil
}

// write stores this daemon as the holder. If the outcome of the write is unknown,
// it reads the object back: the lease was acquired if the object equals next.
func (l *orderLease) write(ctx context.Context, key string, next orderHolder, version int64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.Internal, "order lease cannot be encoded")
	}
	_, err = l.deps.Store.Put(ctx, key, value, version)
	if err == nil {
		return nil
	}
	if errors.Is(err, objectapi.ErrUnknown) {
		if held, _, readErr := l.read(ctx, key); readErr == nil && held == next {
			return nil
		}
	}
	return verdict.Wrap(err, verdict.NotRun, verdict.PlatformDown, "order lease not acquired")
}
