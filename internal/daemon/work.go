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

// views are the services on which those that do the work rely.
type views struct {
	transport *peer.Transport
	members   *member.Members
	catalogue *catalogue.Catalogue
}

// views finds the transport, the membership and the catalogue.
func (p *parts) views() (views, error) {
	var v views
	var err error
	if v.transport, err = kernel.Lookup[*peer.Transport](p.kernel, servicePeers); err != nil {
		return v, err
	}
	if v.members, err = kernel.Lookup[*member.Members](p.kernel, serviceMembers); err != nil {
		return v, err
	}
	v.catalogue, err = kernel.Lookup[*catalogue.Catalogue](p.kernel, serviceCatalogue)
	return v, err
}

// addDispatch adds the router and the queues of the backend servers.
func (p *parts) addDispatch() error {
	v, err := p.views()
	if err != nil {
		return err
	}
	s := p.settings.Dispatch
	config := dispatch.Config{
		Queue:            s.Queue,
		Placement:        s.Placement,
		Window:           s.Window,
		Stragglers:       s.Stragglers,
		KVTransfer:       s.KVTransfer,
		FixedWindow:      s.FixedWindow,
		QueueLimit:       s.QueueLimit,
		FirstTokenTarget: s.FirstToken.Std(),
		TokenGapTarget:   s.TokenGap.Std(),
		SweepInterval:    s.SweepInterval.Std(),
	}
	deps := dispatch.Deps{
		Self:      p.self.Name,
		Region:    p.self.Region,
		View:      v.members,
		Catalogue: v.catalogue,
		Dialer:    v.transport,
		Mux:       v.transport,
		Engines:   backend.NewEngines(backend.EngineOptions{}),
		Store:     p.store,
		Metrics:   p.metrics,
		Log:       p.log,
	}
	return p.kernel.Register(serviceDispatch, dispatch.New(config, deps))
}

// addLimits adds the fleet-wide limits of the entries.
func (p *parts) addLimits() error {
	v, err := p.views()
	if err != nil {
		return err
	}
	limiter := limits.New(limits.Config{}, v.catalogue, v.members, v.transport, v.transport, p.metrics, p.log)
	return p.kernel.Register(serviceLimits, limiter)
}

// addHome adds the programs' side.
func (p *parts) addHome() error {
	v, err := p.views()
	if err != nil {
		return err
	}
	router, err := kernel.Lookup[*dispatch.Dispatcher](p.kernel, serviceDispatch)
	if err != nil {
		return err
	}
	limiter, err := kernel.Lookup[home.Limiter](p.kernel, serviceLimits)
	if err != nil {
		return err
	}
	config := home.Config{
		Region:         p.self.Region,
		Shards:         p.settings.Home.Shards,
		CommitInterval: p.settings.Home.CommitInterval.Std(),
		QueueFor:       p.settings.Home.QueueFor.Std(),
	}
	homes := home.New(config, home.Deps{
		Self:      p.self.Name,
		Store:     p.store,
		View:      v.members,
		Catalogue: v.catalogue,
		Router:    router,
		Sender:    backend.NewSender(callTimeout),
		Limits:    limiter,
		Dialer:    v.transport,
		Metrics:   p.metrics,
		Log:       p.log,
	})
	homes.Register(v.transport)
	return p.kernel.Register(serviceHome, homes)
}
