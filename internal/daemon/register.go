package daemon

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"ibisline/internal/catalogue"
	"ibisline/internal/fleetcheck"
	"ibisline/internal/kernel"
	"ibisline/internal/member"
	"ibisline/internal/objectapi"
	"ibisline/internal/peer"
	"ibisline/internal/settings"
	"ibisline/internal/structs"
)

// Names under which the services are registered. The order of registration is
// the order of start; each service uses only those before it.
const (
	serviceCheck     = "fleetcheck"
	servicePeers     = "peers"
	serviceMembers   = "members"
	serviceCatalogue = "catalogue"
	serviceDispatch  = "dispatch"
	serviceLimits    = "limits"
	serviceHome      = "home"
	serviceAPI       = "api"
	serviceStop      = "stop"
	serviceReload    = "reload"
)

// parts is what the services of one daemon share while they are built.
type parts struct {
	settings settings.Settings
	kernel   *kernel.Kernel
	metrics  *metrics.Set
	log      log.Interface
	store    objectapi.Store
	self     structs.Instance
	adapter  Adapter
	file     string
	root     *log.Logger
	news     *fleetNews
}

// register builds the services and registers them with k.
func register(k *kernel.Kernel, file string, s settings.Settings, adapter Adapter, set *metrics.Set, logger *log.Logger) error {
	p := &parts{
		file:     file,
		root:     logger,
		adapter:  adapter,
		settings: s,
		kernel:   k,
		metrics:  set,
		log:      logger.WithField("instance", s.Instance.Name),
		store:    newStore(s.Platform, adapter, set, logger),
		self:     selfOf(s.Instance),
	}
	steps := []func() error{
		p.addCheck, p.addPeers, p.addMembers, p.addCatalogue, p.addDispatch, p.addLimits, p.addHome, p.addAPI,
	}
	if s.Instance.Duty != settings.DutyPrograms {
		steps = p.platformSteps()
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// newStore returns the client of the platform's object API.
func newStore(s settings.Platform, adapter Adapter, set *metrics.Set, logger log.Interface) objectapi.Store {
	config := objectapi.Config{Addrs: s.Addrs, Timeout: s.Timeout.Std()}
	if s.Protocol == settings.ProtocolObjects {
		config.Protocol = adapter.Protocol
		// Feeds and members repeat their reads themselves, at their own pace.
		config.ReadAttempts = 1
		config.ListTimeout = s.Timeout.Std()
		config.WatchTimeout = adapter.WatchTimeout
	}
	return objectapi.NewClient(config, set, logger)
}

// selfOf describes this daemon to the others.
func selfOf(s settings.Instance) structs.Instance {
	advertised := s.PeerAdvertise
	if advertised == "" {
		advertised = s.PeerAddr
	}
	duty := s.Duty
	if duty == settings.DutyPrograms {
		duty = ""
	}
	return structs.Instance{
		Duty:       duty,
		Name:       s.Name,
		Region:     s.Region,
		DataCentre: s.DataCentre,
		PeerAddr:   advertised,
		HTTPAddr:   s.HTTPAddr,
		State:      structs.StateLive,
	}
}

// addCheck adds the comparison of the settings on which the fleet must agree.
func (p *parts) addCheck() error {
	values := fleetcheck.Values{Shards: p.settings.Home.Shards}
	return p.kernel.Register(serviceCheck, fleetcheck.New(p.store, values, p.log))
}

// addPeers adds the transport between daemons.
func (p *parts) addPeers() error {
	transport := peer.NewTransport(peer.Config{Listen: p.settings.Instance.PeerAddr}, p.self.Name, nil, p.metrics, p.log)
	if err := transport.Listen(); err != nil {
		return err
	}
	return p.kernel.Register(servicePeers, transport)
}

// addMembers adds the view of daemons and backend servers, by which the
// transport finds its peers.
func (p *parts) addMembers() error {
	transport, err := kernel.Lookup[*peer.Transport](p.kernel, servicePeers)
	if err != nil {
		return err
	}
	config := member.Config{
		HeartbeatInterval:  p.settings.Peers.HeartbeatInterval.Std(),
		SuspectAfter:       p.settings.Peers.SuspectAfter.Std(),
		LimitPlatformCalls: p.settings.Instance.Duty != settings.DutyPrograms,
		Seeds:              p.settings.Peers.Seeds,
	}
	members := member.New(config, p.self, p.store, transport, transport, p.metrics, p.log)
	transport.SetResolver(members.Address)
	return p.kernel.Register(serviceMembers, members)
}

// addCatalogue adds the copy of the catalogue.
func (p *parts) addCatalogue() error {
	transport, err := kernel.Lookup[*peer.Transport](p.kernel, servicePeers)
	if err != nil {
		return err
	}
	view, err := kernel.Lookup[member.View](p.kernel, serviceMembers)
	if err != nil {
		return err
	}
	config := catalogue.Config{StaleAfter: p.settings.Peers.CatalogueStaleAfter.Std()}
	return p.kernel.Register(serviceCatalogue, catalogue.New(config, p.store, view, transport, transport, p.metrics, p.log))
}
