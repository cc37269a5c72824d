package main

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/backend"
	"ibisline/internal/caller"
	"ibisline/internal/fake/fleet"
	"ibisline/internal/operator"
	"ibisline/internal/structs"
)

const (
	entry   = "desk"
	model   = "base"
	region  = "nav-a"
	daemons = 3
	// engineScale makes an engine whose step takes some 20 microseconds.
	engineScale = "0.001"
	// pollEvery is the interval of the waits, settleLimit bounds them.
	pollEvery   = 10 * time.Millisecond
	settleLimit = time.Minute
	// daemonSettings shorten the planned stop, as no balancer stands in front.
	daemonSettings = "[stop]\nbalancer_delay = \"0s\"\ndrain_limit = \"20s\"\n"
)

// site is the fleet under measurement: three daemons, one engine.
type site struct {
	*fleet.Fleet
	daemons []string
	engines *backend.Engines
	clients map[string]*caller.Client
}

// start starts the stand-ins and the daemons, and waits until all have settled.
func (s *site) start(ctx context.Context) error {
	platform, err := s.StartStandIn(ctx, "platform", "objects")
	if err != nil {
		return err
	}
	_, err = s.StartStandIn(ctx, "engine", "engine", "--name", "engine", "--region", region, "--models", model,
		"--kv-tokens", "50000000", "--scale", engineScale, "--register", platform)
	if err != nil {
		return err
	}
	desk := structs.Entry{Name: entry, Owner: "weaver", Class: "interactive", Share: 1}
	if err := fleet.PutEntry(ctx, s.Store("platform"), desk); err != nil {
		return err
	}
	for i := range daemons {
		d := fleet.Daemon{
			Name:       fmt.Sprintf("entry-%d", i+1),
			Region:     region,
			DataCentre: region + "-1",
			Platform:   platform,
			Settings:   daemonSettings,
		}
		if _, err := s.StartDaemon(ctx, d); err != nil {
			return err
		}
		s.daemons = append(s.daemons, d.Name)
	}
	s.connect()
	return s.awaitSettled(ctx)
}

// awaitSettled waits until every daemon knows all daemons.
func (s *site) awaitSettled(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	for _, daemon := range s.daemons {
		for !s.settled(ctx, daemon) {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "wait for %s to settle", daemon)
			case <-time.After(pollEvery):
			}
		}
	}
	return nil
}

func (s *site) settled(ctx context.Context, daemon string) bool {
	var status operator.Status
	err := s.GetJSON(ctx, "http://"+s.Addr(daemon)+"/v1/status", &status)
	return err == nil && status.Live == len(s.daemons) && status.Settled
}

// greatestRSS is the resident memory of the largest daemon, in bytes.
func (s *site) greatestRSS(ctx context.Context) (float64, error) {
	return s.overDaemons(ctx, fleet.MetricResidentBytes, func(all, one float64) float64 { return max(all, one) })
}

// processorSeconds is the processor time that all daemons have used.
func (s *site) processorSeconds(ctx context.Context) (float64, error) {
	return s.overDaemons(ctx, fleet.MetricCPUSeconds, func(all, one float64) float64 { return all + one })
}

// overDaemons combines the values that all daemons have of one metric.
func (s *site) overDaemons(ctx context.Context, metric string, combine func(all, one float64) float64) (float64, error) {
	var all float64
	for _, daemon := range s.daemons {
		values, err := s.Metrics(ctx, daemon)
		if err != nil {
			return 0, err
		}
		all = combine(all, values[metric])
	}
	return all, nil
}
