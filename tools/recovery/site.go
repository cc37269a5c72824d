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
	// entry, model and service are what the measurements use.
	entry   = "desk"
	model   = "base"
	service = "orders"
	// pollEvery is the resolution of the measurements.
	pollEvery = 5 * time.Millisecond
	// settleLimit bounds each wait.
	settleLimit = time.Minute
	// daemonSettings shorten the planned stop, as no balancer stands in front.
	daemonSettings = "[stop]\nbalancer_delay = \"100ms\"\ndrain_limit = \"20s\"\n"
)

// regions are those of the users' smaller site.
var regions = []string{"nav-a", "gip-a", "rio-a"}

// site is the fleet under measurement.
type site struct {
	fleet   *fleet.Fleet
	daemons []string
}

// start starts the stand-ins and the daemons, and waits until all know all.
func (s *site) start(ctx context.Context, daemons int) error {
	platform, err := s.fleet.StartStandIn(ctx, "platform", "objects")
	if err != nil {
		return err
	}
	for _, region := range regions {
		if err := s.startServers(ctx, platform, region); err != nil {
			return err
		}
	}
	desk := structs.Entry{Name: entry, Owner: "weaver", Class: "interactive", Share: 1}
	if err := fleet.PutEntry(ctx, s.fleet.Store("platform"), desk); err != nil {
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
		if _, err := s.fleet.StartDaemon(ctx, d); err != nil {
			return err
		}
		s.daemons = append(s.daemons, d.Name)
	}
	return s.awaitMembers(ctx)
}

// startServers starts the backend servers of a region.
func (s *site) startServers(ctx context.Context, platform, region string) error {
	for i := range 2 {
		name := fmt.Sprintf("engine-%s-%d", region, i+1)
		_, err := s.fleet.StartStandIn(ctx, name, "engine", "--name", name, "--region", region, "--models", model, "--register", platform)
		if err != nil {
			return err
		}
	}
	name := "orders-" + region
	_, err := s.fleet.StartStandIn(ctx, name, "service", "--name", name, "--service", service, "--region", region, "--register", platform)
	return err
}

// client returns a client of a daemon.
func (s *site) client(daemon string) *caller.Client {
	return caller.New(s.fleet.Addr(daemon), caller.NewTransport())
}

// status returns what a daemon says of itself.
func (s *site) status(ctx context.Context, daemon string) (operator.Status, error) {
	var status operator.Status
	err := s.fleet.GetJSON(ctx, "http://"+s.fleet.Addr(daemon)+"/v1/status", &status)
	return status, err
}

// awaitMembers waits until every daemon counts all daemons as live.
func (s *site) awaitMembers(ctx context.Context) error {
	return await(ctx, "all daemons to know each other", func() bool {
		for _, daemon := range s.daemons {
			status, err := s.status(ctx, daemon)
			if err != nil || status.Live != len(s.daemons) {
				return false
			}
		}
		return true
	})
}

// await polls until done holds.
func await(ctx context.Context, what string, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	ticker := time.NewTicker(pollEvery)
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
