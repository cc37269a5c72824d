package daemon

import (
	"context"
	"time"

	"ibisline/internal/api"
	"ibisline/internal/dispatch"
	"ibisline/internal/front"
	"ibisline/internal/home"
	"ibisline/internal/kernel"
	"ibisline/internal/logging"
	"ibisline/internal/member"
	"ibisline/internal/operator"
)

// callTimeout bounds a tool call whose context has no earlier end.
const callTimeout = 10 * time.Minute

// callerSide is the HTTP server with the callers' interface on it.
type callerSide struct {
	*api.Server
	api *api.API
}

// Drain lets the balancer notice, and then waits for the requests under way.
func (c *callerSide) Drain(ctx context.Context) error { return c.api.Drain(ctx) }

// addAPI adds the HTTP server for callers and operators, and the first step of
// a planned stop.
func (p *parts) addAPI() error {
	v, err := p.views()
	if err != nil {
		return err
	}
	local, err := kernel.Lookup[*home.Home](p.kernel, serviceHome)
	if err != nil {
		return err
	}
	config := front.Config{Shards: p.settings.Home.Shards, RetryLimit: p.settings.API.RetryFor.Std()}
	finder := front.New(config, v.members, v.transport, local, p.metrics, p.log)
	front.Serve(v.transport, local)

	server, err := api.NewServer(api.Conf(p.self.Name))
	if err != nil {
		return err
	}
	// The rest server has set go-zero's log up anew.
	logging.CaptureLogx(p.log)
	limits := api.Config{
		MaxBodyBytes:  p.settings.API.MaxBodyBytes,
		BalancerDelay: p.settings.Stop.BalancerDelay.Std(),
		Ready:         func() bool { return v.members.Listed() && v.catalogue.Admit() == nil },
	}
	callers := api.Register(server.Rest(), finder, limits, p.metrics, p.log)
	if err := p.addOperator(server, v, finder, callers, local); err != nil {
		return err
	}
	if err := server.Listen(p.settings.Instance.HTTPAddr); err != nil {
		return err
	}
	if err := p.kernel.Register(serviceAPI, &callerSide{Server: server, api: callers}); err != nil {
		return err
	}
	return p.kernel.Register(serviceStop, &leaver{members: v.members, api: callers})
}

// addOperator adds the operators' routes, lets the dispatcher's sweep ask for
// programs through the front, and its router record holders at the homes here.
func (p *parts) addOperator(server *api.Server, v views, finder *front.Front, callers *api.API, homes *home.Home) error {
	dispatcher, err := kernel.Lookup[*dispatch.Dispatcher](p.kernel, serviceDispatch)
	if err != nil {
		return err
	}
	dispatcher.SetPrograms(finder)
	dispatcher.SetHolders(homes)
	operator.Register(server.Rest(), operator.Sources{
		Metrics: p.metrics,
		Status: func() operator.Status {
			return operator.Status{
				Instance:          v.members.Self(),
				CatalogueRevision: v.catalogue.Revision(),
				Live:              len(v.members.Live()),
				Settled:           homes.Settled(),
				Leaving:           callers.Leaving(),
			}
		},
		Dump:   p.kernel.Dump,
		Shares: func() any { return dispatcher.Shares() },
		Order:  dispatcher.Order,
	})
	return nil
}

// leaver is drained before all other services: it tells the balancer and the
// other daemons that this one leaves, so that they stop choosing it while its
// services still finish what they have.
type leaver struct {
	members *member.Members
	api     *api.API
}

// Run does nothing until the stop.
func (l *leaver) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Drain announces the stop.
func (l *leaver) Drain(context.Context) error {
	l.api.Leave()
	l.members.Leave()
	return nil
}
