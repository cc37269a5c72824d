// Package fleetcheck makes sure that all daemons of a fleet run with the same
// values of the settings that must agree.
package fleetcheck

import (
	"context"
	"encoding/json"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
)

// Key is the object that holds the values of the fleet.
const Key = "fleet/settings"

// Values are the settings that must be the same at all daemons.
type Values struct {
	// Shards is the number of shards of programs in each region.
	Shards int `json:"shards"`
}

// ErrDiffers means that this daemon was given other values than the fleet has.
var ErrDiffers = errors.New("settings differ from those of the fleet")

const (
	retryMin = 200 * time.Millisecond
	retryMax = 5 * time.Second
)

// Check compares the daemon's values with the fleet's. The first daemon stores
// its own.
type Check struct {
	store  objectapi.Store
	values Values
	log    log.Interface
}

// New returns a check of values.
func New(store objectapi.Store, values Values, logger log.Interface) *Check {
	return &Check{store: store, values: values, log: logger}
}

// Run checks as soon as the platform answers, and then waits for the end of ctx.
// It returns ErrDiffers at once when the values differ. A daemon that starts
// during an outage of the platform serves without the check until it is over.
func (c *Check) Run(ctx context.Context) error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = retryMin
	wait.MaxInterval = retryMax
	for {
		err := c.once(ctx)
		if errors.Is(err, ErrDiffers) {
			return err
		}
		if err == nil {
			<-ctx.Done()
			return nil
		}
		c.log.WithError(err).Debug("fleet settings not checked yet")
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait.NextBackOff()):
		}
	}
}

// once reads the fleet's values, and stores ours where there are none. A lost
// race for the first write is settled by reading again.
func (c *Check) once(ctx context.Context) error {
	object, err := c.store.Get(ctx, Key)
	if errors.Is(err, objectapi.ErrNotFound) {
		return c.create(ctx)
	}
	if err != nil {
		return errors.Wrap(err, "read fleet settings")
	}
	return c.compare(object.Value)
}

// create stores our values; any failure leads to another read.
func (c *Check) create(ctx context.Context) error {
	value, err := json.Marshal(c.values)
	if err != nil {
		return errors.Wrap(err, "encode fleet settings")
	}
	if _, err := c.store.Put(ctx, Key, value, objectapi.NoVersion); err != nil {
		return errors.Wrap(err, "store fleet settings")
	}
	return nil
}

// compare returns ErrDiffers with both values when they are not the same.
func (c *Check) compare(stored []byte) error {
	var fleet Values
	if err := json.Unmarshal(stored, &fleet); err != nil {
		return errors.Wrap(ErrDiffers, "stored fleet settings are malformed")
	}
	if fleet == c.values {
		return nil
	}
	return errors.Wrapf(ErrDiffers, "home.shards is %d here and %d in the fleet (object %s)",
		c.values.Shards, fleet.Shards, Key)
}
