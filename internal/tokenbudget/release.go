package tokenbudget

import (
	"context"
	"sync"
	"time"

	"ibisline/internal/peer"
	"ibisline/internal/timers"
)

// endedTurn is the end of a reservation.
type endedTurn struct {
	Program string `msgpack:"p"`
	ID      string `msgpack:"i"`
	Used    int    `msgpack:"u"`
}

// releaseRequest ends reservations of one shard. It may be repeated until it succeeds. Forwards counts the
// former homes that have passed it on.
type releaseRequest struct {
	Shard    int         `msgpack:"s"`
	Turns    []endedTurn `msgpack:"t"`
	Forwards int         `msgpack:"f,omitempty"`
}

// releases delivers the ends of turns to the homes of their programs. An end that is lost would leave its turn
// charged with its maximum.
type releases struct {
	client *Client

	mu sync.Mutex
	// undelivered are the ends, by shard, that their home has not confirmed.
	undelivered map[int]map[endedTurn]time.Time
}

const (
	// releasePause is the pause before undelivered ends are sent again. It doubles up to maxReleasePause.
	releasePause    = 50 * time.Millisecond
	maxReleasePause = time.Second
	// maxUndelivered limits the undelivered ends of one shard.
	maxUndelivered = 4096
)

// deliver sends the end of a turn to a home. If that fails, it is sent to the home of the shard, together with
// others, for as long as Config.ReleaseLimit.
func (r *releases) deliver(home string, turn endedTurn) {
	c := r.client
	shard := c.config.shardOf(turn.Program)
	c.local.undelivered.Add(1)
	c.local.spawnRelease(func(ctx context.Context) {
		request := releaseRequest{Shard: shard, Turns: []endedTurn{turn}}
		err := r.send(ctx, home, request)
		if err == nil {
			c.local.undelivered.Add(-1)
			return
		}
		c.logger.WithError(err).WithField("reservation", turn.ID).WithField("program", turn.Program).
			WithField("home", home).Info("end of a turn not delivered to its home yet")
		c.evictHome(shard, home)
		if r.add(shard, turn) {
			r.deliverAll(ctx, shard)
		}
	})
}

// add records an undelivered end, and reports whether it is the first one of its shard.
func (r *releases) add(shard int, turn endedTurn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.undelivered[shard]
	if len(held) >= maxUndelivered {
		r.client.local.undelivered.Add(-1)
		r.client.logger.WithField("reservation", turn.ID).Warn("too many undelivered ends of turns")
		return false
	}
	if held == nil {
		held = map[endedTurn]time.Time{}
		r.undelivered[shard] = held
	}
	held[turn] = time.Now()
	return len(held) == 1
}

// deliverAll sends the undelivered ends of a shard until there are none.
func (r *releases) deliverAll(ctx context.Context, shard int) {
	c := r.client
	pause := releasePause
	for timers.Sleep(ctx, pause) {
		turns := r.remaining(shard)
		if len(turns) == 0 {
			return
		}
		home := c.chooseHome(shard, nil)
		if home == "" {
			continue
		}
		if err := r.send(ctx, home, releaseRequest{Shard: shard, Turns: turns}); err != nil {
			c.evictHome(shard, home)
			pause = min(2*pause, maxReleasePause)
			continue
		}
		pause = releasePause
		if r.remove(shard, turns) {
			return
		}
	}
}

// remaining returns the undelivered ends of a shard that are not too old.
func (r *releases) remaining(shard int) []endedTurn {
	r.mu.Lock()
	defer r.mu.Unlock()
	var turns []endedTurn
	for turn, since := range r.undelivered[shard] {
		if time.Since(since) > r.client.config.ReleaseLimit {
			delete(r.undelivered[shard], turn)
			r.client.local.undelivered.Add(-1)
			r.client.logger.WithField("reservation", turn.ID).WithField("program", turn.Program).
				Warn("end of a turn not delivered to its home")
			continue
		}
		turns = append(turns, turn)
	}
	return turns
}

// remove removes delivered ends, and reports whether none is left.
func (r *releases) remove(shard int, delivered []endedTurn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, turn := range delivered {
		delete(r.undelivered[shard], turn)
	}
	r.client.local.undelivered.Add(int64(-len(delivered)))
	return len(r.undelivered[shard]) == 0
}

// send sends ends of turns to one daemon, and returns once they are stored.
func (r *releases) send(ctx context.Context, home string, request releaseRequest) error {
	c := r.client
	ctx, cancel := context.WithTimeout(ctx, c.config.ReleaseTimeout)
	defer cancel()
	if home == c.fleet.Self().Name {
		return c.local.Release(ctx, request)
	}
	return peer.Call(ctx, c.dialer, home, methodRelease, request, &empty{})
}
