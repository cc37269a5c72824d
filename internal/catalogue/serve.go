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

// StatusRequest is the request of MethodStatus.
type StatusRequest struct{}

// Status is the replication state of a daemon's catalogue.
type Status struct {
	Revision int64 `msgpack:"r" json:"revision"`
	Loaded   bool  `msgpack:"l" json:"loaded"`
	Admits   bool  `msgpack:"a" json:"admits"`
}

// exchangeRequest requests the changes after a revision from a neighbour.
type exchangeRequest struct {
	After int64 `msgpack:"a"`
}

// exchangeReply contains the changes and the neighbour's proofs of contact. Ages are
// relative to the time of the reply. ContactAge is the age of the latest platform
// contact and negative if there was none.
type exchangeReply struct {
	Batch       batch               `msgpack:"b"`
	ContactAge  time.Duration       `msgpack:"c"`
	DataCentres []dataCentreContact `msgpack:"h,omitempty"`
}

// pushReply acknowledges a push.
type pushReply struct{}

// snapshotRequest requests all entries.
type snapshotRequest struct{}

// snapshotFrame is one chunk of a snapshot. All chunks have the same revision.
type snapshotFrame struct {
	Revision int64            `msgpack:"r"`
	Entries  []*structs.Entry `msgpack:"e"`
	Last     bool             `msgpack:"l"`
}

// serveStatus handles MethodStatus.
func (c *Catalogue) serveStatus(_ context.Context, s peer.Stream) error {
	if err := s.Recv(&StatusRequest{}); err != nil {
		return err
	}
	revision, loaded := c.table.Revision()
	return s.Send(Status{
		Revision: revision,
		Loaded:   loaded,
		Admits:   loaded && c.contact.upToDate(time.Now(), revision),
	})
}

// serveExchange handles an exchange request of a neighbour.
func (c *Catalogue) serveExchange(_ context.Context, s peer.Stream) error {
	var request exchangeRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	reply := exchangeReply{Batch: c.table.Since(request.After)}
	reply.ContactAge, reply.DataCentres = c.contact.ages(time.Now())
	reply.DataCentres = append(reply.DataCentres, dataCentreContact{DataCentre: dataCentreOf(c.view.Self())})
	return s.Send(reply)
}

// servePush applies a batch pushed by a neighbour.
func (c *Catalogue) servePush(_ context.Context, s peer.Stream) error {
	var b batch
	if err := s.Recv(&b); err != nil {
		return err
	}
	c.applyFromPeer(b)
	return s.Send(pushReply{})
}

// serveSnapshot streams all entries in chunks.
func (c *Catalogue) serveSnapshot(_ context.Context, s peer.Stream) error {
	if err := s.Recv(&snapshotRequest{}); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	held, revision, ok := c.table.Snapshot()
	if !ok {
		return verdict.Refuse(verdict.CatalogueStale, "the catalogue is not loaded yet")
	}
	for part := range slices.Chunk(entriesOf(held), snapshotChunkEntries) {
		if err := s.Send(snapshotFrame{Revision: revision, Entries: part}); err != nil {
			return err
		}
	}
	return s.Send(snapshotFrame{Revision: revision, Last: true})
}
