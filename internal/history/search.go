package history

import (
	"context"

	"ibisline/internal/structs"
	"ibisline/internal/timers"
)

// search is the search of one turn on the keepers.
type search struct {
	client *Client
	id     string
	// asked are the keepers that were asked. absentAt are those that hold everything that they
	// should, and do not hold the turn.
	asked    map[string]bool
	absentAt map[string]bool
	// provenAbsent is set if no keeper can hold the turn.
	provenAbsent bool
}

// ask asks keepers for the turn: some first, and all others once one of them does not have it or after
// hedgeDelay. It returns the first chain, nil if there is none.
func (s *search) ask(ctx context.Context, keepers []structs.Instance, first int) Chain {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type outcome struct {
		keeper string
		reply  chainReply
		err    error
	}
	outcomes := make(chan outcome, len(keepers))
	next := 0
	askNext := func() {
		keeper := keepers[next].Name
		next++
		s.asked[keeper] = true
		go func() {
			reply, err := readChain(ctx, s.client.Dialer, keeper, s.id, findTimeout)
			outcomes <- outcome{keeper, reply, err}
		}()
	}
	ticker := timers.NewTicker(hedgeDelay)
	defer ticker.Stop()
	for next < min(first, len(keepers)) {
		askNext()
	}
	for ended := 0; ended < next; {
		select {
		case o := <-outcomes:
			ended++
			switch {
			case o.err != nil:
				s.client.markSlow(o.keeper)
				s.client.Logger.WithError(o.err).WithField("turn", s.id).Info("keeper does not answer about a turn")
			case len(o.reply.Turns) > 0:
				return o.reply.Turns
			case o.reply.Complete:
				s.absentAt[o.keeper] = true
			}
		case <-ticker.C:
		}
		for next < len(keepers) {
			askNext()
		}
	}
	return nil
}

// askAllListed asks the keepers that only the platform's list names, among them all that may hold the
// turn, as no keeper stores turns before it is listed. The list is read now, because a keeper
// may have been added since. A turn is stored on more keepers than may be lost, so it is absent if no
// more than these do not answer.
func (s *search) askAllListed(ctx context.Context) Chain {
	c := s.client
	if len(s.absentAt) == 0 || !c.proofs.Allow() {
		return nil
	}
	listed, err := c.ListDaemons(ctx)
	if err != nil {
		c.Logger.WithError(err).WithField("turn", s.id).Info("turn is not proven absent: the list of daemons cannot be read")
		return nil
	}
	var keepers, unasked []structs.Instance
	for _, instance := range listed {
		if instance.Duty != structs.DutyKeeper {
			continue
		}
		keepers = append(keepers, instance)
		if !s.asked[instance.Name] {
			unasked = append(unasked, instance)
		}
	}
	if chain := s.ask(ctx, unasked, len(unasked)); chain != nil {
		return chain
	}
	missing := 0
	for _, keeper := range keepers {
		if !s.absentAt[keeper.Name] {
			missing++
		}
	}
	s.provenAbsent = len(keepers) > c.config.LostDisks && missing <= c.config.LostDisks
	return nil
}
