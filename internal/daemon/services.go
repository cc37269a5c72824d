package daemon

import (
	"ibisline/internal/backend"
	"ibisline/internal/catalogue"
	"ibisline/internal/dispatch"
	"ibisline/internal/home"
	"ibisline/internal/kernel"
	"ibisline/internal/limits"
	"ibisline/internal/member"
	"ibisline/internal/peer"
)

// baseServices are the services on which dispatch, limits, home and API depend.
type baseServices struct {
	transport *peer.Transport
	members   *member.Members
	catalogue *catalogue.Catalogue
}

// baseServices looks up the transport, the membership and the catalogue.
func (b *builder) baseServices() (baseServices, error) {
	var base baseServices
	var err error
	if base.transport, err = kernel.Lookup[*peer.Transport](b.kernel, servicePeers); err != nil {
		return base, err
	}
	if base.members, err = kernel.Lookup[*member.Members](b.kernel, serviceMembers); err != nil {
		return base, err
	}
	base.catalogue, err = kernel.Lookup[*catalogue.Catalogue](b.kernel, serviceCatalogue)
	return base, err
}

// addDispatch adds the router and the request queues of the backend servers.
func (b *builder) addDispatch() error {
	base, err := b.baseServices()
	if err != nil {
		return err
	}
	s := b.settings.Dispatch
	config := dispatch.Config{
		Queue:            s.Queue,
		Placement:        s.Placement,
		Window:           s.Window,
		Stragglers:       s.Stragglers,
		KVTransfer:       s.KVTransfer,
		FixedWindow:      s.FixedWindow,
		QueueLimit:       s.QueueLimit,
		FirstTokenTarget: s.FirstTokenTarget.Std(),
		TokenGapTarget:   s.TokenGapTarget.Std(),
		SweepInterval:    s.SweepInterval.Std(),
	}
	deps := dispatch.Deps{
		Self:      b.self.Name,
		Region:    b.self.Region,
		View:      base.members,
		Catalogue: base.catalogue,
		Dialer:    base.transport,
		Mux:       base.transport,
		Engines:   backend.NewEngines(backend.EngineOptions{}),
		Store:     b.store,
		Metrics:   b.metrics,
		Log:       b.log,
	}
	return b.kernel.Register(serviceDispatch, dispatch.New(config, deps))
}

// addLimits adds the limiter that enforces the fleet-wide limits of the entries.
func (b *builder) addLimits() error {
	base, err := b.baseServices()
	if err != nil {
		return err
	}
	limiter := limits.New(limits.Config{}, base.catalogue, base.members, base.transport, base.transport, b.metrics, b.log)
	return b.kernel.Register(serviceLimits, limiter)
}

// addHome adds the homes of programs.
func (b *builder) addHome() error {
	base, err := b.baseServices()
	if err != nil {
		return err
	}
	router, err := kernel.Lookup[*dispatch.Dispatcher](b.kernel, serviceDispatch)
	if err != nil {
		return err
	}
	limiter, err := kernel.Lookup[home.Limiter](b.kernel, serviceLimits)
	if err != nil {
		return err
	}
	config := home.Config{
		Region:         b.self.Region,
		Shards:         b.settings.Home.Shards,
		CommitInterval: b.settings.Home.CommitInterval.Std(),
		QueueFor:       b.settings.Home.QueueFor.Std(),
	}
	homes := home.New(config, home.Deps{
		Self:      b.self.Name,
		Store:     b.store,
		View:      base.members,
		Catalogue: base.catalogue,
		Router:    router,
		Sender:    backend.NewSender(callTimeout),
		Limits:    limiter,
		Dialer:    base.transport,
		Metrics:   b.metrics,
		Log:       b.log,
	})
	homes.Register(base.transport)
	return b.kernel.Register(serviceHome, homes)
}
