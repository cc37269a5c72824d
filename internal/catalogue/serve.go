package catalogue

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// StatusRequest asks for a Status.
type StatusRequest struct{}

// Status is the position of a daemon's catalogue.
type Status struct {
	Revision int64 `msgpack:"r" json:"revision"`
	Loaded   bool  `msgpack:"l" json:"loaded"`
	Admits   bool  `msgpack:"a" json:"admits"`
}

// exchangeRequest asks a neighbour for the changes after a revision.
type exchangeRequest struct {
	After int64 `msgpack:"a"`
}

// exchangeReply carries the changes and the neighbour's proofs of contact. Ages
// are as of the moment of the reply; ContactAge is negative when there is none.
type exchangeReply struct {
	Batch      batch         `msgpack:"b"`
	ContactAge time.Duration `msgpack:"c"`
	Heard      []heard       `msgpack:"h,omitempty"`
}

// pushReply confirms a push.
type pushReply struct{}

// snapshotRequest asks for all entries.
type snapshotRequest struct{}

// snapshotFrame is a part of a snapshot; all parts carry the same revision.
type snapshotFrame struct {
	Revision int64            `msgpack:"r"`
	Entries  []*structs.Entry `msgpack:"e"`
	Last     bool             `msgpack:"l"`
}

// serveStatus answers MethodStatus.
func (c *Catalogue) serveStatus(_ context.Context, s peer.Stream) error {
	if err := s.Recv(&StatusRequest{}); err != nil {
		return err
	}
	revision, loaded := c.table.Revision()
	return s.Send(Status{
		Revision: revision,
		Loaded:   loaded,
		Admits:   loaded && c.contact.current(time.Now(), revision),
	})
}

// serveExchange answers an exchange.
func (c *Catalogue) serveExchange(_ context.Context, s peer.Stream) error {
	var request exchangeRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	reply := exchangeReply{Batch: c.table.Since(request.After)}
	reply.ContactAge, reply.Heard = c.contact.ages(time.Now())
	reply.Heard = append(reply.Heard, heard{DataCentre: dataCentreOf(c.view.Self())})
	return s.Send(reply)
}

// servePush takes a batch from a neighbour.
func (c *Catalogue) servePush(_ context.Context, s peer.Stream) error {
	var b batch
	if err := s.Recv(&b); err != nil {
		return err
	}
	c.take(b)
	return s.Send(pushReply{})
}

// serveSnapshot sends all entries in parts.
func (c *Catalogue) serveSnapshot(_ context.Context, s peer.Stream) error {
	if err := s.Recv(&snapshotRequest{}); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	held, revision, ok := c.table.Snapshot()
	if !ok {
		return verdict.Refuse(verdict.CatalogueStale, "the catalogue is not loaded yet")
	}
	for part := range slices.Chunk(entriesOf(held), snapshotPart) {
		if err := s.Send(snapshotFrame{Revision: revision, Entries: part}); err != nil {
			return err
		}
	}
	return s.Send(snapshotFrame{Revision: revision, Last: true})
}
