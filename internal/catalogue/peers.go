package catalogue

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"ibisline/internal/peer"
	"ibisline/internal/structs"
)

// MethodStatus is the peer method that returns the Status of a catalogue.
const MethodStatus = "catalogue.status"

// Peer methods between catalogues.
const (
	methodExchange = "catalogue.exchange"
	methodPush     = "catalogue.push"
	methodSnapshot = "catalogue.snapshot"
)

// maxConcurrentPeerCalls limits the concurrent calls of the push loop, and separately
// those of the exchange loop. Calls above the limit are skipped, so that unresponsive
// peers delay neither the next push nor the next exchange.
const maxConcurrentPeerCalls = 16

// snapshotChunkEntries is the maximum number of entries per snapshotFrame.
const snapshotChunkEntries = 256

// dataCentreOf returns the name of an instance's data centre, qualified by its region.
func dataCentreOf(instance structs.Instance) string {
	return instance.Region + "/" + instance.DataCentre
}

// publish logs the accepted changes of a batch and queues the batch for the push loop
// if there are any. A batch that does not fit into the queue is dropped; the
// neighbours then get the changes by their exchanges.
func (c *Catalogue) publish(b batch, accepted []change) {
	for _, change := range accepted {
		c.logger.WithField("entry", change.Name).WithField("version", change.Version).
			WithField("deleted", change.Value == nil).Info("catalogue edit applied")
	}
	if len(accepted) > 0 {
		c.pushes.Offer(b)
	}
}

// runPushes sends each queued batch to a few neighbours until ctx ends.
func (c *Catalogue) runPushes(ctx context.Context) error {
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentPeerCalls)
	for {
		select {
		case <-ctx.Done():
			return calls.Wait()
		case b := <-c.pushes.Items():
			for _, name := range c.neighbours.pick(c.config.Fanout) {
				calls.TryGo(func() error {
					c.pushTo(ctx, name, b)
					return nil
				})
			}
		}
	}
}

// pushTo sends one batch to one neighbour.
func (c *Catalogue) pushTo(ctx context.Context, name string, b batch) {
	ctx, cancel := context.WithTimeout(ctx, c.config.PeerTimeout)
	defer cancel()
	if err := peer.Call(ctx, c.dialer, name, methodPush, b, &pushReply{}); err != nil {
		c.metrics.pushFailed.Inc()
	}
}

// runExchanges requests missed changes from a few neighbours at each
// Config.ExchangeEvery until ctx ends.
func (c *Catalogue) runExchanges(ctx context.Context) error {
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentPeerCalls)
	ticker := time.NewTicker(c.config.ExchangeEvery)
	defer ticker.Stop()
	for {
		c.updateExpectedDataCentres()
		for _, name := range c.neighbours.pick(c.config.Fanout) {
			calls.TryGo(func() error {
				c.exchangeWith(ctx, name)
				return nil
			})
		}
		select {
		case <-ctx.Done():
			return calls.Wait()
		case <-ticker.C:
		}
	}
}

// updateExpectedDataCentres requires contact with each data centre that has another
// live daemon, and forgets the removed ones.
func (c *Catalogue) updateExpectedDataCentres() {
	live := map[string]bool{}
	self := c.view.Self().Name
	for _, instance := range c.view.Live() {
		if instance.Name != self {
			live[dataCentreOf(instance)] = true
			c.contact.expectDataCentre(dataCentreOf(instance))
		}
	}
	c.contact.forgetDataCentres(live, time.Now())
}

// exchangeWith applies the changes and proofs of one neighbour. Ages are relative to
// the time of the request, so that a pause of either process does not make a proof
// appear newer.
func (c *Catalogue) exchangeWith(ctx context.Context, name string) {
	requestedAt := time.Now()
	reply, err := c.requestChanges(ctx, name)
	if err != nil {
		c.metrics.exchangeFailed.Inc()
		return
	}
	c.applyFromPeer(reply.Batch)
	c.contact.recordPeerRevision(reply.Batch.Revision)
	c.recordContacts(name, reply.DataCentres, requestedAt)
	if c.isBehind(reply.Batch.Revision) && c.platformUnreachable() {
		c.loadFromPeer(ctx, name)
	}
	c.acceptProof(reply, requestedAt)
}

// acceptProof records a neighbour's proof of platform contact, if it has one and all
// edits of the neighbour are applied locally.
func (c *Catalogue) acceptProof(reply exchangeReply, requestedAt time.Time) {
	if reply.ContactAge >= 0 && !c.isBehind(reply.Batch.Revision) {
		c.contact.recordPlatform(requestedAt.Add(-reply.ContactAge))
	}
}

// requestChanges requests the changes after the local revision from a neighbour.
func (c *Catalogue) requestChanges(ctx context.Context, name string) (exchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.PeerTimeout)
	defer cancel()
	var reply exchangeReply
	err := peer.Call(ctx, c.dialer, name, methodExchange, exchangeRequest{After: c.Revision()}, &reply)
	return reply, err
}

// applyFromPeer applies a batch of a peer and publishes the accepted changes.
func (c *Catalogue) applyFromPeer(b batch) {
	accepted := c.table.Apply(b)
	c.metrics.fromPeers.Add(len(accepted))
	c.publish(b, accepted)
}

// isBehind reports whether edits up to a revision may be missing locally.
func (c *Catalogue) isBehind(revision int64) bool {
	own, loaded := c.table.Revision()
	return !loaded || own < revision
}

// recordContacts records the contact with a neighbour and the contacts that it
// reported.
func (c *Catalogue) recordContacts(name string, contacts []dataCentreContact, requestedAt time.Time) {
	now := time.Now()
	if instance, ok := c.view.Lookup(name); ok {
		c.contact.recordDataCentre(dataCentreOf(instance), requestedAt, now)
	}
	for _, contact := range contacts {
		c.contact.recordDataCentre(contact.DataCentre, requestedAt.Add(-contact.Age), now)
	}
}

// platformUnreachable reports whether there is no recent platform contact. It is false
// during the first Config.ProbeAfter after the start.
func (c *Catalogue) platformUnreachable() bool {
	now := time.Now()
	return now.Sub(c.startedAt) > c.config.ProbeAfter && !c.contact.platformFresh(now)
}

// loadFromPeer loads all entries from a neighbour. It does nothing while another load
// is in progress.
func (c *Catalogue) loadFromPeer(ctx context.Context, name string) {
	if !c.loading.CompareAndSwap(false, true) {
		return
	}
	defer c.loading.Store(false)
	ctx, cancel := context.WithTimeout(ctx, c.config.LoadTimeout)
	defer cancel()
	entries, revision, err := c.readSnapshot(ctx, name)
	if err != nil {
		c.logger.WithError(err).WithField("peer", name).Debug("loading the catalogue from a peer failed")
		return
	}
	accepted := c.table.Replace(revision, changesOf(entries), nil)
	c.metrics.fromPeers.Add(len(accepted))
	c.logger.WithField("peer", name).WithField("revision", revision).Info("catalogue loaded from a peer")
}

// readSnapshot receives all chunks of a snapshot and returns its entries and revision.
func (c *Catalogue) readSnapshot(ctx context.Context, name string) ([]*structs.Entry, int64, error) {
	stream, err := c.dialer.Open(ctx, name, methodSnapshot)
	if err != nil {
		return nil, 0, err
	}
	defer stream.Close()
	if err := stream.Send(snapshotRequest{}); err != nil {
		return nil, 0, err
	}
	var entries []*structs.Entry
	for {
		var frame snapshotFrame
		if err := stream.Recv(&frame); err != nil {
			return nil, 0, errors.Wrap(err, "catalogue snapshot ended early")
		}
		entries = append(entries, frame.Entries...)
		if frame.Last {
			return entries, frame.Revision, nil
		}
	}
}
