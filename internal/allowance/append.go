package allowance

import (
	"context"
	"slices"

	"github.com/go-faster/errors"

	"ibisline/internal/allowance/journal"
	"ibisline/internal/allowance/ledger"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// errNoJournal is returned when no fenced journal could be written.
var errNoJournal = errors.New("no journal could be written")

// append writes a total to one journal, the nearest that answers. An error with
// reason NotHome means that another home has fenced the shard.
func (s *shard) append(ctx context.Context, fence journal.Fence, c ledger.Cover) error {
	for _, keeper := range s.nearestJournals() {
		reply, err := s.appendTo(ctx, keeper, fence, []ledger.Cover{c})
		if err == nil && reply.Held.Number > fence.Number {
			s.drop(fence, reply.Held.Home, reply.Held.Number)
			return s.notHome()
		}
		if err == nil && reply.Refused {
			// The journal lost its disk, and with it the fence.
			s.unfence(keeper)
			continue
		}
		if err == nil {
			s.home.appends.Inc()
			return nil
		}
		s.home.logger.WithError(err).WithField("keeper", keeper).WithField("program", c.Program).Info("journal did not answer")
		if ctx.Err() != nil {
			break
		}
	}
	return errNoJournal
}

// unfence notes that a journal has to be fenced again before it takes a total.
func (s *shard) unfence(keeper string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.journals[keeper]
	state.fenced, state.lost = false, true
	s.journals[keeper] = state
	s.home.logger.WithField("shard", s.number).WithField("keeper", keeper).Warn("journal has lost its fence")
}

func (s *shard) appendTo(ctx context.Context, keeper string, fence journal.Fence, covers []ledger.Cover) (appendReply, error) {
	ctx, cancel := context.WithTimeout(ctx, s.home.config.AppendTimeout)
	defer cancel()
	var reply appendReply
	err := peer.Call(ctx, s.home.dialer, keeper, methodAppend, appendRequest{Fence: fence, Covers: covers}, &reply)
	return reply, err
}

// nearestJournals returns the live keepers whose journals are fenced, those of the
// own data centre and region first.
func (s *shard) nearestJournals() []string {
	self := s.home.fleet.Self()
	keepers := s.home.keepers()
	slices.SortStableFunc(keepers, func(a, b structs.Instance) int { return remoteness(self, a) - remoteness(self, b) })
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, keeper := range keepers {
		if s.journals[keeper.Name].fenced && s.inBasis(keeper.Name) {
			names = append(names, keeper.Name)
		}
	}
	return names
}

// remoteness orders instances by their distance from a place.
func remoteness(from, to structs.Instance) int {
	switch {
	case from.DataCentre == to.DataCentre:
		return 0
	case from.Region == to.Region:
		return 1
	default:
		return 2
	}
}

// unwritten refuses a reservation whose total could not be written down.
func unwritten(cause error) error {
	return verdict.Wrap(cause, verdict.NotRun, verdict.PlatformDown, "the budget's record cannot be written")
}
