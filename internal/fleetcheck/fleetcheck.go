// Package fleetcheck verifies that all daemons of a fleet use the same values for the
// settings that must be equal fleet-wide.
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

// Key is the key of the object that holds the settings of the fleet.
const Key = "fleet/settings"

// Values holds the settings that must be equal on all daemons.
type Values struct {
	// Shards is the number of program shards in each region.
	Shards int `json:"shards"`
}

// ErrDiffers is returned when the settings of this daemon differ from those stored
// for the fleet.
var ErrDiffers = errors.New("settings differ from those of the fleet")

const (
	retryMin = 200 * time.Millisecond
	retryMax = 5 * time.Second
)

// Check compares the daemon's values with those stored for the fleet. The first
// daemon of a fleet stores its own values.
type Check struct {
	store  objectapi.Store
	values Values
	log    log.Interface
}

// New returns a check of values against the fleet's in store.
func New(store objectapi.Store, values Values, logger log.Interface) *Check {
	return &Check{store: store, values: values, log: logger}
}

// Run performs the check as soon as the platform answers, then waits until ctx ends
// and returns nil. It returns ErrDiffers at once if the values differ. A daemon that
// starts during a platform outage serves unchecked until the outage ends.
func (c *Check) Run(ctx context.Context) error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = retryMin
	wait.MaxInterval = retryMax
	for {
		err := c.checkOnce(ctx)
		if errors.Is(err, ErrDiffers) {
			return err
		}
		if err == nil {
			<-ctx.Done()
			return nil
		}
		c.log.WithError(err).Debug("fleet settings not checked; retrying")
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait.NextBackOff()):
		}
	}
}

// checkOnce reads the fleet's values, or stores this daemon's if there are none. If
// another daemon wins the race for the first write, the next attempt reads its values.
func (c *Check) checkOnce(ctx context.Context) error {
	object, err := c.store.Get(ctx, Key)
	if errors.Is(err, objectapi.ErrNotFound) {
		return c.create(ctx)
	}
	if err != nil {
		return errors.Wrap(err, "read fleet settings")
	}
	return c.compare(object.Value)
}

// create stores this daemon's values. After any error the caller reads again.
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

// compare returns ErrDiffers, wrapped with both values, if they are not equal.
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
