package catalogue

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"ibisline/internal/peer"
	"ibisline/internal/structs"
)

// MethodStatus is the peer method that returns a Status.
const MethodStatus = "catalogue.status"

// Methods between catalogues.
const (
	methodExchange = "catalogue.exchange"
	methodPush     = "catalogue.push"
	methodSnapshot = "catalogue.snapshot"
)

// maxPeerCalls bounds the messages to peers under way at once, so that silent
// peers hold up neither the next change nor the next exchange.
const maxPeerCalls = 16

// snapshotPart is the number of entries in one frame of a snapshot.
const snapshotPart = 256

// dataCentreOf names a data centre across regions.
func dataCentreOf(instance structs.Instance) string {
	return instance.Region + "/" + instance.DataCentre
}

// spread hands a batch to the push duty when it brought news here. A full ring
// loses it; the neighbours then find it by their exchanges.
func (c *Catalogue) spread(b batch, accepted []change) {
	for _, change := range accepted {
		c.logger.WithField("entry", change.Name).WithField("version", change.Version).
			WithField("deleted", change.Value == nil).Info("catalogue edit in force")
	}
	if len(accepted) > 0 {
		c.pushes.Offer(b)
	}
}

// push tells neighbours of each batch that brought news, until ctx ends.
func (c *Catalogue) push(ctx context.Context) error {
	var calls errgroup.Group
	calls.SetLimit(maxPeerCalls)
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

// exchange asks neighbours for what was missed, until ctx ends.
func (c *Catalogue) exchange(ctx context.Context) error {
	var calls errgroup.Group
	calls.SetLimit(maxPeerCalls)
	ticker := time.NewTicker(c.config.ExchangeEvery)
	defer ticker.Stop()
	for {
		c.reviewDataCentres()
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

// reviewDataCentres expects a sign of life from each data centre with another
// live daemon, and forgets those that are gone.
func (c *Catalogue) reviewDataCentres() {
	live := map[string]bool{}
	self := c.view.Self().Name
	for _, instance := range c.view.Live() {
		if instance.Name != self {
			live[dataCentreOf(instance)] = true
			c.contact.expect(dataCentreOf(instance))
		}
	}
	c.contact.forget(live, time.Now())
}

// exchangeWith takes the changes and proofs of one neighbour. Ages count from
// the moment of asking, so that a pause here or there makes no proof younger.
func (c *Catalogue) exchangeWith(ctx context.Context, name string) {
	asked := time.Now()
	reply, err := c.ask(ctx, name)
	if err != nil {
		c.metrics.exchangeFailed.Inc()
		return
	}
	c.take(reply.Batch)
	c.contact.report(reply.Batch.Revision)
	c.hear(name, reply.Heard, asked)
	if c.behind(reply.Batch.Revision) && c.outOfReach() {
		c.load(ctx, name)
	}
	c.prove(reply, asked)
}

// prove takes a neighbour's proof of contact, if it has one and all edits that
// the neighbour has are applied here.
func (c *Catalogue) prove(reply exchangeReply, asked time.Time) {
	if reply.ContactAge >= 0 && !c.behind(reply.Batch.Revision) {
		c.contact.reached(asked.Add(-reply.ContactAge))
	}
}

// ask requests the changes after the own revision.
func (c *Catalogue) ask(ctx context.Context, name string) (exchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.PeerTimeout)
	defer cancel()
	var reply exchangeReply
	err := peer.Call(ctx, c.dialer, name, methodExchange, exchangeRequest{After: c.Revision()}, &reply)
	return reply, err
}

// take applies a batch of a peer and passes on what was new.
func (c *Catalogue) take(b batch) {
	accepted := c.table.Apply(b)
	c.metrics.fromPeers.Add(len(accepted))
	c.spread(b, accepted)
}

// behind reports whether edits up to a revision may be missing here.
func (c *Catalogue) behind(revision int64) bool {
	own, loaded := c.table.Revision()
	return !loaded || own < revision
}

// hear records the signs of life that a neighbour gave and passed on.
func (c *Catalogue) hear(name string, passedOn []heard, asked time.Time) {
	now := time.Now()
	if instance, ok := c.view.Lookup(name); ok {
		c.contact.hear(dataCentreOf(instance), asked, now)
	}
	for _, h := range passedOn {
		c.contact.hear(h.DataCentre, asked.Add(-h.Age), now)
	}
}

// outOfReach reports whether the platform has not been reached for a while.
func (c *Catalogue) outOfReach() bool {
	now := time.Now()
	return now.Sub(c.started) > c.config.ProbeAfter && !c.contact.isFresh(now)
}

// load takes all entries from a neighbour, one neighbour at a time.
func (c *Catalogue) load(ctx context.Context, name string) {
	if !c.loading.CompareAndSwap(false, true) {
		return
	}
	defer c.loading.Store(false)
	ctx, cancel := context.WithTimeout(ctx, c.config.LoadTimeout)
	defer cancel()
	entries, revision, err := c.readSnapshot(ctx, name)
	if err != nil {
		c.logger.WithError(err).WithField("peer", name).Debug("catalogue snapshot failed")
		return
	}
	accepted := c.table.Replace(revision, changesOf(entries), nil)
	c.metrics.fromPeers.Add(len(accepted))
	c.logger.WithField("peer", name).WithField("revision", revision).Info("catalogue taken from a peer")
}

// readSnapshot receives the parts of a snapshot.
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
			return nil, 0, errors.Wrap(err, "snapshot was cut short")
		}
		entries = append(entries, frame.Entries...)
		if frame.Last {
			return entries, frame.Revision, nil
		}
	}
}
