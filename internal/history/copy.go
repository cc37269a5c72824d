package history

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"ibisline/internal/history/turnlog"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
)

const (
	// copyTimeout limits one call to another keeper, and stateTimeout one that asks for its state only.
	copyTimeout  = 2 * time.Second
	stateTimeout = 500 * time.Millisecond
	// minSilence is the least time after which a keeper that does not answer may count as gone for good.
	minSilence = 30 * time.Second
	// parallelCopies is the number of conversations that are copied at the same time.
	parallelCopies = 8
)

// copyTurns restores turns that a lost disk held, and then copies those of a retiring instance to the
// other keepers, as far as either is needed.
func (k *Keeper) copyTurns(ctx context.Context) {
	k.copying <- struct{}{}
	defer func() { <-k.copying }()
	var err error
	switch {
	case !k.Log.Complete():
		err = k.restore(ctx)
	case k.retiring.Load() && !k.evacuated.Load():
		err = k.evacuate(ctx)
	}
	if ctx.Err() == nil {
		k.setWaiting(err)
	}
}

// setWaiting records why turns are not copied yet, nil if they are, and logs a new reason.
func (k *Keeper) setWaiting(reason error) {
	text := ""
	if reason != nil {
		text = reason.Error()
	}
	if held := k.waiting.Swap(&text); reason != nil && (held == nil || *held != text) {
		k.Logger.WithError(reason).Info("turns are not copied yet")
	}
}

// survey is what the other keepers have answered. The platform's list names those that this daemon does
// not know yet, and those that are gone for a while.
type survey struct {
	keepers map[string]structs.Instance
	replies map[string]entriesReply
	// silent is the number of keepers that did not answer.
	silent int
}

// surveyOthers asks all other keepers for their states and, unless stateOnly is set, for the turns that
// they hold.
func (k *Keeper) surveyOthers(ctx context.Context, stateOnly bool) (survey, error) {
	listed, err := k.ListDaemons(ctx)
	if err != nil {
		return survey{}, errors.Wrap(err, "list the keepers")
	}
	found := survey{keepers: map[string]structs.Instance{}, replies: map[string]entriesReply{}}
	for _, instance := range append(listed, k.View.Reachable()...) {
		if instance.Duty == structs.DutyKeeper && instance.Name != k.View.Self().Name {
			found.keepers[instance.Name] = instance
		}
	}
	limit := copyTimeout
	if stateOnly {
		limit = stateTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	for name := range found.keepers {
		calls.Go(func() {
			var reply entriesReply
			err := peer.Call(ctx, k.Dialer, name, methodEntries, entriesRequest{StateOnly: stateOnly}, &reply)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				k.Logger.WithError(err).WithField("keeper", name).Debug("keeper does not list its turns")
				return
			}
			found.replies[name] = reply
		})
	}
	calls.Wait()
	for name := range found.keepers {
		_, answered := found.replies[name]
		if k.isGone(name, answered) {
			delete(found.keepers, name)
		}
	}
	found.silent = len(found.keepers) - len(found.replies)
	return found, nil
}

// isGone records whether a keeper has answered, and reports whether it has been silent for so long that all
// turns which it may hold alone have expired. Nobody removes a keeper from the platform's list that was replaced
// under another name. The caller holds copying.
func (k *Keeper) isGone(name string, answered bool) bool {
	since, silent := k.silentSince[name]
	switch {
	case answered:
		delete(k.silentSince, name)
		return false
	case !silent:
		k.silentSince[name] = time.Now()
		return false
	}
	silence := time.Since(since)
	if silence < minSilence {
		return false
	}
	retention := k.Retention()
	return retention > 0 && silence > retention
}

// answered returns the names of the keepers that answered, in order.
func (s survey) answered() []string { return slices.Sorted(maps.Keys(s.replies)) }

// incomplete returns the number of keepers that answered and may have lost turns.
func (s survey) incomplete() int {
	count := 0
	for _, reply := range s.replies {
		if !reply.Complete {
			count++
		}
	}
	return count
}

// holders returns the keepers that list each turn, by its ID.
func (s survey) holders() map[string][]string {
	held := map[string][]string{}
	for _, name := range s.answered() {
		for _, e := range s.replies[name].Entries {
			held[e.ID] = append(held[e.ID], name)
		}
	}
	return held
}

// staying returns those of the named keepers that are not being emptied.
func (s survey) staying(names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return s.replies[name].Retiring })
}

// restore reads the turns of which the other keepers hold too few copies, as this keeper may have
// held the missing one. The log is complete only if the turns that all missing keepers may have held
// cannot have been on these alone.
func (k *Keeper) restore(ctx context.Context) error {
	if len(k.restoredFrom) > 0 {
		// The turns of these are copied already, and to list them again is expensive.
		states, err := k.surveyOthers(ctx, true)
		if err != nil {
			return err
		}
		if err := k.checkAnswers(states); err != nil && !slices.ContainsFunc(states.answered(), k.notRestoredFrom) {
			return err
		}
	}
	found, err := k.surveyOthers(ctx, false)
	if err != nil {
		return err
	}
	var all []turnlog.Entry
	for _, reply := range found.replies {
		all = append(all, reply.Entries...)
	}
	own := map[string]bool{}
	for _, e := range k.Log.Entries(time.Now()) {
		own[e.ID] = true
	}
	wanted := found.holders()
	maps.DeleteFunc(wanted, func(id string, holders []string) bool {
		return own[id] || len(found.staying(holders)) >= k.config.copies()
	})
	err = k.each(ctx, leaves(all, func(id string) bool { return wanted[id] != nil }), func(ctx context.Context, id string) error {
		return k.fetch(ctx, id, wanted[id])
	})
	if err != nil {
		return err
	}
	k.restored.Add(len(wanted))
	k.restoredFrom = found.answered()
	if err := k.checkAnswers(found); err != nil {
		return err
	}
	k.Logger.WithField("turns", len(wanted)).WithField("keepers", len(found.replies)).
		WithField("incomplete", found.incomplete()).WithField("silent", found.silent).Info("turns restored")
	return k.Log.MarkComplete()
}

// notRestoredFrom reports whether the turns of a keeper have not been copied since this process started.
func (k *Keeper) notRestoredFrom(keeper string) bool { return !slices.Contains(k.restoredFrom, keeper) }

// checkAnswers returns an error unless the keepers that answered hold all turns that are left.
//
// A turn is on one more keeper than may lose their disks. Any of its copies may have been on this keeper,
// unless it is new, on those that are silent, and on those that have lost their disks as well, but all of them
// only if these are more than may lose their disks. If no keeper is silent there is nobody else to ask, however
// many disks were lost: keepers that have lost theirs do not wait for each other.
func (k *Keeper) checkAnswers(found survey) error {
	missing := found.silent + found.incomplete()
	if !k.Newcomer() {
		missing++
	}
	if found.silent == 0 || missing <= k.config.LostDisks {
		return nil
	}
	return errors.Errorf("%d other keepers do not answer and %d are not complete", found.silent, found.incomplete())
}

// fetch copies a turn and all turns before it from one of its holders.
func (k *Keeper) fetch(ctx context.Context, id string, holders []string) error {
	var failed error
	for _, holder := range holders {
		reply, err := readChain(ctx, k.Dialer, holder, id, copyTimeout)
		switch {
		case err == nil && len(reply.Turns) > 0:
			return k.Log.Append(reply.Turns)
		case err == nil && !reply.Complete:
			err = errors.Errorf("%s has lost it", holder)
		}
		failed = errors.Join(failed, err)
	}
	if failed == nil {
		// It has expired there.
		return nil
	}
	return errors.Wrapf(failed, "copy turn %s", id)
}

// evacuate copies the turns of which the other keepers hold too few copies to these, and sets evacuated if
// there are none. Keepers that do not answer may come back, so that it waits for them where the others are
// too few. Copies on keepers that are being emptied too do not count.
func (k *Keeper) evacuate(ctx context.Context) error {
	if appending := k.appending.Load(); appending > 0 {
		// Their turns are not listed yet.
		return errors.Errorf("%d appends are in progress", appending)
	}
	states, err := k.surveyOthers(ctx, true)
	if err != nil {
		return err
	}
	if _, _, err := k.targets(states); err != nil {
		return err
	}
	found, err := k.surveyOthers(ctx, false)
	if err != nil {
		return err
	}
	targets, copies, err := k.targets(found)
	if err != nil {
		return err
	}
	held := found.holders()
	for id, holders := range held {
		held[id] = found.staying(holders)
	}
	own := k.Log.Entries(time.Now())
	wanted := leaves(own, func(id string) bool { return len(held[id]) < copies })
	if len(wanted) == 0 {
		k.Logger.WithField("turns", len(own)).WithField("copies", copies).Info("other keepers hold all turns")
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
			if missing <= 0 || slices.Contains(held[id], target.Name) {
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

// targets returns the keepers that take the turns of this one and how many of them must hold each turn: one more
// than may lose their disks, or all if the fleet has fewer. It returns an error if fewer than that answer.
func (k *Keeper) targets(found survey) (targets []structs.Instance, copies int, err error) {
	for _, name := range found.staying(found.answered()) {
		targets = append(targets, found.keepers[name])
	}
	copies = max(min(k.config.copies(), len(targets)+found.silent), 1)
	if len(targets) < copies {
		return nil, 0, errors.Errorf("%d keepers take copies, %d are needed, and %d do not answer", len(targets), copies, found.silent)
	}
	return targets, copies, nil
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
