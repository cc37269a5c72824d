package history

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"ibisline/internal/history/turnlog"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
)

const (
	// copyTimeout limits one call to another keeper.
	copyTimeout = 2 * time.Second
	// parallelCopies is the number of conversations that are copied at the same time.
	parallelCopies = 8
)

// copyTurns restores turns that a lost disk held, or copies those of a retiring instance to the
// other keepers, as far as either is needed.
func (k *Keeper) copyTurns(ctx context.Context) {
	var err error
	switch {
	case k.retiring.Load() && !k.evacuated.Load():
		err = k.evacuate(ctx)
	case !k.Log.Complete():
		err = k.restore(ctx)
	}
	if err != nil && ctx.Err() == nil {
		k.Logger.WithError(err).Info("turns are not copied yet")
	}
}

// others are the turns that the other keepers hold.
type others struct {
	entries map[string][]turnlog.Entry
	// unknown is the number of keepers that did not answer.
	unknown int
}

// listOthers asks all other keepers for the turns that they hold. The platform's list names those that
// this daemon does not know yet.
func (k *Keeper) listOthers(ctx context.Context) (others, error) {
	listed, err := k.ListDaemons(ctx)
	if err != nil {
		return others{}, errors.Wrap(err, "list the keepers")
	}
	keepers := map[string]bool{}
	for _, instance := range append(listed, k.View.Reachable()...) {
		if instance.Duty == structs.DutyKeeper && instance.Name != k.View.Self().Name {
			keepers[instance.Name] = true
		}
	}
	names := slices.Collect(maps.Keys(keepers))
	replies := make([]*entriesReply, len(names))
	var calls errgroup.Group
	for i, name := range names {
		calls.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, copyTimeout)
			defer cancel()
			var reply entriesReply
			if err := peer.Call(ctx, k.Dialer, name, methodEntries, entriesRequest{}, &reply); err != nil {
				k.Logger.WithError(err).WithField("keeper", name).Info("keeper does not list its turns")
				return nil
			}
			replies[i] = &reply
			return nil
		})
	}
	if err := calls.Wait(); err != nil {
		return others{}, err
	}
	found := others{entries: map[string][]turnlog.Entry{}}
	for i, name := range names {
		if replies[i] == nil {
			found.unknown++
			continue
		}
		found.entries[name] = replies[i].Entries
	}
	return found, nil
}

// restore reads the turns of which the other keepers hold too few copies, as this keeper may have
// held the missing one. The log is complete only if enough other keepers have answered: as
// many as may be lost, this one included unless it is new, may be missing.
func (k *Keeper) restore(ctx context.Context) error {
	found, err := k.listOthers(ctx)
	if err != nil {
		return err
	}
	var all []turnlog.Entry
	for _, entries := range found.entries {
		all = append(all, entries...)
	}
	own := map[string]bool{}
	for _, e := range k.Log.Entries(time.Now()) {
		own[e.ID] = true
	}
	wanted := lacking(found.entries, k.config.copies())
	maps.DeleteFunc(wanted, func(id string, _ []string) bool { return own[id] })
	err = k.each(ctx, leaves(all, func(id string) bool { return wanted[id] != nil }), func(ctx context.Context, id string) error {
		return k.fetch(ctx, id, wanted[id])
	})
	if err != nil {
		return err
	}
	lost := found.unknown
	if !k.Newcomer() {
		lost++
	}
	if found.unknown > 0 && lost > k.config.LostDisks {
		return errors.Errorf("%d other keepers do not answer", found.unknown)
	}
	k.restored.Add(len(wanted))
	k.Logger.WithField("turns", len(wanted)).WithField("keepers", len(found.entries)).Info("turns restored")
	return k.Log.MarkComplete()
}

// fetch copies a turn and all turns before it from one of its holders.
func (k *Keeper) fetch(ctx context.Context, id string, holders []string) error {
	var failed error
	for _, holder := range holders {
		reply, err := readChain(ctx, k.Dialer, holder, id, copyTimeout)
		if err == nil && len(reply.Turns) > 0 {
			return k.Log.Append(reply.Turns)
		}
		failed = errors.Join(failed, err)
	}
	if failed == nil {
		// It has expired there.
		return nil
	}
	return errors.Wrapf(failed, "copy turn %s", id)
}

// evacuate copies the turns of which the other keepers hold too few copies to these.
func (k *Keeper) evacuate(ctx context.Context) error {
	if appending := k.appending.Load(); appending > 0 {
		// Their turns are not listed yet.
		return errors.Errorf("%d appends are in progress", appending)
	}
	found, err := k.listOthers(ctx)
	if err != nil {
		return err
	}
	var targets []structs.Instance
	for _, instance := range k.View.Live() {
		if _, answered := found.entries[instance.Name]; answered {
			targets = append(targets, instance)
		}
	}
	copies := min(k.config.copies(), len(targets))
	held := map[string]map[string]bool{}
	for _, target := range targets {
		for _, e := range found.entries[target.Name] {
			if held[e.ID] == nil {
				held[e.ID] = map[string]bool{}
			}
			held[e.ID][target.Name] = true
		}
	}
	own := k.Log.Entries(time.Now())
	wanted := leaves(own, func(id string) bool { return len(held[id]) < copies })
	if len(wanted) == 0 && copies > 0 {
		k.Logger.WithField("turns", len(own)).Info("other keepers hold all turns")
		k.evacuated.Store(true)
		return nil
	}
	return k.each(ctx, wanted, func(ctx context.Context, id string) error {
		turns, err := k.Log.Chain(id)
		if err != nil {
			return err
		}
		before, turn := turns[:len(turns)-1], turns[len(turns)-1]
		missing := copies - len(held[id])
		for _, target := range placementOrder(targets, k.View.Self().Region, id) {
			if held[id][target.Name] || missing == 0 {
				continue
			}
			if err := appendTurns(ctx, k.Dialer, target.Name, before, turn, copyTimeout); err != nil {
				return err
			}
			missing--
		}
		return nil
	})
}

// each calls copy for several turns at a time and returns the first error.
func (k *Keeper) each(ctx context.Context, ids []string, copyTurn func(ctx context.Context, id string) error) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelCopies)
	for _, id := range ids {
		group.Go(func() error { return copyTurn(ctx, id) })
	}
	return group.Wait()
}

// readChain reads a turn and all turns before it from a keeper.
func readChain(ctx context.Context, d peer.Dialer, keeper, id string, limit time.Duration) (chainReply, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var reply chainReply
	if err := peer.Call(ctx, d, keeper, methodChain, chainRequest{ID: id}, &reply); err != nil {
		return chainReply{}, errors.Wrapf(err, "read turn %s from %s", id, keeper)
	}
	return reply, nil
}

// appendTurns stores a turn on a keeper, and the turns before it if the keeper lacks them.
func appendTurns(ctx context.Context, d peer.Dialer, keeper string, chain Chain, turn Turn, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var reply appendReply
	err := peer.Call(ctx, d, keeper, methodAppend, appendRequest{Turns: []Turn{turn}}, &reply)
	if err == nil && reply.UnknownPrevious {
		reply = appendReply{}
		err = peer.Call(ctx, d, keeper, methodAppend, appendRequest{Turns: append(slices.Clone(chain), turn)}, &reply)
	}
	if err == nil && reply.UnknownPrevious {
		err = errors.New("the keeper does not take the turns before it")
	}
	if err != nil {
		return errors.Wrapf(err, "store turn %s on %s", turn.ID, keeper)
	}
	return nil
}
