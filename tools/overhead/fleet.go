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
	entryName   = "desk"
	model       = "base"
	region      = "nav-a"
	daemonCount = 3
	// engineScale reduces the engine's step to about 20 microseconds.
	engineScale = "0.001"
	// pollInterval is the polling interval of waits, settleTimeout their bound.
	pollInterval  = 10 * time.Millisecond
	settleTimeout = time.Minute
	// daemonSettings shortens the planned stop, as there is no load balancer.
	daemonSettings = "[stop]\nbalancer_delay = \"0s\"\ndrain_limit = \"20s\"\n"
)

// testFleet is the fleet under measurement: three daemons and one engine.
type testFleet struct {
	*fleet.Fleet
	daemons []string
	engines *backend.Engines
	clients map[string]*caller.Client
}

// start starts the stand-ins and the daemons and waits until all daemons have
// settled.
func (t *testFleet) start(ctx context.Context) error {
	platform, err := t.StartStandIn(ctx, "platform", "objects")
	if err != nil {
		return err
	}
	_, err = t.StartStandIn(ctx, "engine", "engine", "--name", "engine", "--region", region, "--models", model,
		"--kv-tokens", "50000000", "--scale", engineScale, "--register", platform)
	if err != nil {
		return err
	}
	desk := structs.Entry{Name: entryName, Owner: "weaver", Class: "interactive", Share: 1}
	if err := fleet.PutEntry(ctx, t.Store("platform"), desk); err != nil {
		return err
	}
	for i := range daemonCount {
		d := fleet.Daemon{
			Name:       fmt.Sprintf("entry-%d", i+1),
			Region:     region,
			DataCentre: region + "-1",
			Platform:   platform,
			Settings:   daemonSettings,
		}
		if _, err := t.StartDaemon(ctx, d); err != nil {
			return err
		}
		t.daemons = append(t.daemons, d.Name)
	}
	t.createClients()
	return t.awaitSettled(ctx)
}

// awaitSettled waits until every daemon counts all daemons as live and reports
// itself as settled.
func (t *testFleet) awaitSettled(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for _, daemon := range t.daemons {
		for !t.isSettled(ctx, daemon) {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "wait for %s to settle", daemon)
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

func (t *testFleet) isSettled(ctx context.Context, daemon string) bool {
	var status operator.Status
	err := t.GetJSON(ctx, "http://"+t.Addr(daemon)+"/v1/status", &status)
	return err == nil && status.Live == len(t.daemons) && status.Settled
}

// maxRSSBytes returns the largest resident memory of a daemon.
func (t *testFleet) maxRSSBytes(ctx context.Context) (float64, error) {
	return t.combineMetric(ctx, fleet.MetricResidentBytes, func(all, one float64) float64 { return max(all, one) })
}

// cpuSeconds returns the CPU time that all daemons have used.
func (t *testFleet) cpuSeconds(ctx context.Context) (float64, error) {
	return t.combineMetric(ctx, fleet.MetricCPUSeconds, func(all, one float64) float64 { return all + one })
}

// combineMetric folds the values of one metric over all daemons, starting from 0.
func (t *testFleet) combineMetric(
	ctx context.Context, metric string, combine func(all, one float64) float64,
) (float64, error) {
	var all float64
	for _, daemon := range t.daemons {
		values, err := t.Metrics(ctx, daemon)
		if err != nil {
			return 0, err
		}
		all = combine(all, values[metric])
	}
	return all, nil
}
