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

// callTimeout bounds a tool call whose context has no earlier deadline.
const callTimeout = 10 * time.Minute

// apiService is the kernel service of the HTTP server for callers.
type apiService struct {
	*api.Server
	api *api.API
}

// Drain waits for the balancer delay, then rejects new requests and waits for those
// in flight.
func (s *apiService) Drain(ctx context.Context) error { return s.api.Drain(ctx) }

// addAPI adds the HTTP server for callers and operators, and the service that
// announces a planned stop.
func (b *builder) addAPI() error {
	base, err := b.baseServices()
	if err != nil {
		return err
	}
	local, err := kernel.Lookup[*home.Home](b.kernel, serviceHome)
	if err != nil {
		return err
	}
	config := front.Config{Shards: b.settings.Home.Shards, RetryLimit: b.settings.API.RetryFor.Std()}
	forwarder := front.New(config, base.members, base.transport, local, b.metrics, b.log)
	front.Serve(base.transport, local)

	server, err := api.NewServer(api.RestConf(b.self.Name))
	if err != nil {
		return err
	}
	// NewServer has reconfigured go-zero's logger, so it is redirected again.
	logging.CaptureLogx(b.log)
	limits := api.Config{
		MaxBodyBytes:  b.settings.API.MaxBodyBytes,
		BalancerDelay: b.settings.Stop.BalancerDelay.Std(),
		Ready:         func() bool { return base.members.Listed() && base.catalogue.Admit() == nil },
	}
	callers := api.Register(server.Rest(), forwarder, limits, b.metrics, b.log)
	if err := b.addOperator(server, base, forwarder, callers, local); err != nil {
		return err
	}
	if err := server.Listen(b.settings.Instance.HTTPAddr); err != nil {
		return err
	}
	if err := b.kernel.Register(serviceAPI, &apiService{Server: server, api: callers}); err != nil {
		return err
	}
	return b.kernel.Register(serviceStop, &stopAnnouncer{members: base.members, api: callers})
}

// addOperator adds the operator routes. It also connects the dispatcher's sweep to
// the front, to look up programs, and its router to the homes of this daemon, to
// record the engines that hold KV cache.
func (b *builder) addOperator(
	server *api.Server, base baseServices, forwarder *front.Front, callers *api.API, homes *home.Home,
) error {
	dispatcher, err := kernel.Lookup[*dispatch.Dispatcher](b.kernel, serviceDispatch)
	if err != nil {
		return err
	}
	dispatcher.SetPrograms(forwarder)
	dispatcher.SetHolders(homes)
	operator.Register(server.Rest(), operator.Deps{
		Metrics: b.metrics,
		Status: func() operator.Status {
			return operator.Status{
				Instance:          base.members.Self(),
				CatalogueRevision: base.catalogue.Revision(),
				Live:              len(base.members.Live()),
				Settled:           homes.Settled(),
				Leaving:           callers.Leaving(),
			}
		},
		Dump:   b.kernel.Dump,
		Shares: func() any { return dispatcher.Shares() },
		Order:  dispatcher.Order,
	})
	return nil
}

// stopAnnouncer is drained before all other services. It reports this daemon as
// leaving to the load balancer and to the other daemons, so that they stop selecting
// it while its services finish their requests.
type stopAnnouncer struct {
	members *member.Members
	api     *api.API
}

// Run waits until ctx ends.
func (a *stopAnnouncer) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Drain announces the planned stop.
func (a *stopAnnouncer) Drain(context.Context) error {
	a.api.Leave()
	a.members.Leave()
	return nil
}
