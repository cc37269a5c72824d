package main

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/caller"
	"ibisline/internal/fake/fleet"
	"ibisline/internal/operator"
	"ibisline/internal/structs"
)

const (
	// entry, model and service are used by all programs.
	entry   = "desk"
	model   = "base"
	service = "orders"
	// pollInterval is the resolution of the measurements.
	pollInterval = 5 * time.Millisecond
	// awaitTimeout bounds each wait.
	awaitTimeout = time.Minute
	// daemonSettings shortens the planned stop, as there is no load balancer.
	daemonSettings = "[stop]\nbalancer_delay = \"100ms\"\ndrain_limit = \"20s\"\n"
)

// regions are those of the smaller target deployment.
var regions = []string{"nav-a", "gip-a", "rio-a"}

// testFleet is the fleet under measurement.
type testFleet struct {
	fleet   *fleet.Fleet
	daemons []string
}

// start starts the stand-ins and the daemons and waits until each daemon counts
// all daemons as live.
func (t *testFleet) start(ctx context.Context, daemons int) error {
	platform, err := t.fleet.StartStandIn(ctx, "platform", "objects")
	if err != nil {
		return err
	}
	for _, region := range regions {
		if err := t.startServers(ctx, platform, region); err != nil {
			return err
		}
	}
	desk := structs.Entry{Name: entry, Owner: "weaver", Class: "interactive", Share: 1}
	if err := fleet.PutEntry(ctx, t.fleet.Store("platform"), desk); err != nil {
		return err
	}
	for i := range daemons {
		region := regions[i%len(regions)]
		d := fleet.Daemon{
			Name:       fmt.Sprintf("entry-%d", i+1),
			Region:     region,
			DataCentre: region + "-1",
			Platform:   platform,
			Settings:   daemonSettings,
		}
		if _, err := t.fleet.StartDaemon(ctx, d); err != nil {
			return err
		}
		t.daemons = append(t.daemons, d.Name)
	}
	return t.awaitMembers(ctx)
}

// startServers starts two engines and one service in a region.
func (t *testFleet) startServers(ctx context.Context, platform, region string) error {
	for i := range 2 {
		name := fmt.Sprintf("engine-%s-%d", region, i+1)
		_, err := t.fleet.StartStandIn(ctx, name, "engine", "--name", name, "--region", region,
			"--models", model, "--register", platform)
		if err != nil {
			return err
		}
	}
	name := "orders-" + region
	_, err := t.fleet.StartStandIn(ctx, name, "service", "--name", name, "--service", service, "--region", region,
		"--register", platform)
	return err
}

// client returns a client of a daemon with its own transport.
func (t *testFleet) client(daemon string) *caller.Client {
	return caller.New(t.fleet.Addr(daemon), caller.NewTransport())
}

// status returns the status that a daemon reports.
func (t *testFleet) status(ctx context.Context, daemon string) (operator.Status, error) {
	var status operator.Status
	err := t.fleet.GetJSON(ctx, "http://"+t.fleet.Addr(daemon)+"/v1/status", &status)
	return status, err
}

// awaitMembers waits until every daemon counts all daemons as live.
func (t *testFleet) awaitMembers(ctx context.Context) error {
	return await(ctx, "all daemons to be live", func() bool {
		for _, daemon := range t.daemons {
			status, err := t.status(ctx, daemon)
			if err != nil || status.Live != len(t.daemons) {
				return false
			}
		}
		return true
	})
}

// await polls until done returns true.
func await(ctx context.Context, what string, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for %s", what)
		case <-ticker.C:
		}
	}
	return nil
}
