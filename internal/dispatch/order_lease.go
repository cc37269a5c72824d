package dispatch

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// orderHolder is the value of the platform object that names the daemon which
// gives an engine's orders. Each change of the holder raises the fence.
type orderHolder struct {
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
	// PauseAllowance is the longest time for which the holder may be paused
	// between reading this object and giving an order.
	PauseAllowance time.Duration `json:"pause_allowance_ns"`
}

// orderLease takes and checks the right to give orders to engines.
type orderLease struct {
	deps           Deps
	pauseAllowance time.Duration
	mu             sync.Mutex
	// quietUntil is the time before which an engine gets no order from here,
	// because an earlier holder may still wake up and give one.
	quietUntil map[string]time.Time
}

func newOrderLease(deps Deps, pauseAllowance time.Duration) *orderLease {
	return &orderLease{deps: deps, pauseAllowance: pauseAllowance, quietUntil: map[string]time.Time{}}
}

// hold makes sure that this daemon holds the lease and returns the fence. The
// object is read before each order, because another daemon may have taken over.
// At an engine that ignores fences it also waits out the earlier holder.
func (l *orderLease) hold(ctx context.Context, server structs.Server) (int64, error) {
	key := structs.OrderPrefix + server.Name
	held, version, err := l.read(ctx, key)
	if err != nil {
		return 0, err
	}
	if held.Holder == l.deps.Self {
		return held.Fence, l.waitQuiet(ctx, server.Name)
	}
	next := orderHolder{Holder: l.deps.Self, Fence: held.Fence + 1, PauseAllowance: l.pauseAllowance}
	if err := l.write(ctx, key, next, version); err != nil {
		return 0, err
	}
	if held.Holder != "" && !server.Fences {
		l.beQuiet(server.Name, held.PauseAllowance)
	}
	return next.Fence, l.waitQuiet(ctx, server.Name)
}

// lost forgets what is known of a lease that another daemon holds.
func (l *orderLease) lost(engine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.quietUntil, engine)
}

func (l *orderLease) beQuiet(engine string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quietUntil[engine] = time.Now().Add(d)
}

// waitQuiet waits until an earlier holder cannot give orders any more.
func (l *orderLease) waitQuiet(ctx context.Context, engine string) error {
	l.mu.Lock()
	wait := time.Until(l.quietUntil[engine])
	l.mu.Unlock()
	if wait <= 0 {
		return nil
	}
	pauseFor(ctx, wait)
	if ctx.Err() != nil {
		return verdict.Refuse(verdict.Canceled, "canceled while waiting out the earlier holder of %s", engine)
	}
	return nil
}

// read returns the holder, or none with version objectapi.NoVersion.
func (l *orderLease) read(ctx context.Context, key string) (orderHolder, int64, error) {
	var held orderHolder
	object, err := l.deps.Store.Get(ctx, key)
	if errors.Is(err, objectapi.ErrNotFound) {
		return held, objectapi.NoVersion, nil
	}
	if err != nil {
		return held, 0, verdict.Wrap(err, verdict.NotRun, verdict.PlatformDown, "holder of the orders cannot be read")
	}
	if err := json.Unmarshal(object.Value, &held); err != nil {
		return held, 0, verdict.Wrap(err, verdict.NotRun, verdict.Internal, "holder of the orders is malformed")
	}
	return held, object.Version, nil
}

// write takes the lease. After an unknown outcome the object is read again: the
// lease was taken if it names this daemon with the same fence.
func (l *orderLease) write(ctx context.Context, key string, next orderHolder, version int64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.Internal, "holder of the orders cannot be encoded")
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
	return verdict.Wrap(err, verdict.NotRun, verdict.PlatformDown, "lease of the orders not taken")
}
