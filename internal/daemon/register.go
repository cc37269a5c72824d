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

// Names under which the services are registered with the kernel. Services start in
// the order of registration, and each uses only those registered before it.
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

// builder holds what the services of one daemon share while they are built.
type builder struct {
	settings   settings.Settings
	kernel     *kernel.Kernel
	metrics    *metrics.Set
	log        log.Interface
	store      objectapi.Store
	self       structs.Instance
	adapter    Adapter
	file       string
	rootLogger *log.Logger
	versions   *cacheVersions
	// keepers opens streams to keepers, also through other daemons.
	keepers peer.Dialer
}

// register builds the services for the configured duty and registers them with k.
func register(
	k *kernel.Kernel, file string, s settings.Settings, adapter Adapter, set *metrics.Set, logger *log.Logger,
) error {
	b := &builder{
		file:       file,
		rootLogger: logger,
		adapter:    adapter,
		settings:   s,
		kernel:     k,
		metrics:    set,
		log:        logger.WithField("instance", s.Instance.Name),
		store:      newStore(s.Platform, adapter, set, logger),
		self:       selfOf(s.Instance),
	}
	steps := []func() error{
		b.addCheck, b.addPeers, b.addMembers, b.addCatalogue, b.addDispatch, b.addLimits, b.addHome, b.addAPI,
	}
	if s.Instance.Duty != settings.DutyPrograms {
		steps = b.platformSteps()
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
		// Object caches and members retry their reads themselves, at their own interval.
		config.ReadAttempts = 1
		config.ListTimeout = s.Timeout.Std()
		config.WatchTimeout = adapter.WatchTimeout
	}
	return objectapi.NewClient(config, set, logger)
}

// selfOf returns the Instance under which this daemon is known to its peers.
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

// addCheck adds the check that all daemons of the fleet use the same number of shards.
func (b *builder) addCheck() error {
	values := fleetcheck.Values{Shards: b.settings.Home.Shards}
	return b.kernel.Register(serviceCheck, fleetcheck.New(b.store, values, b.log))
}

// addPeers adds the peer transport between daemons.
func (b *builder) addPeers() error {
	transport := peer.NewTransport(peer.Config{Listen: b.settings.Instance.PeerAddr}, b.self.Name, nil, b.metrics, b.log)
	if err := transport.Listen(); err != nil {
		return err
	}
	return b.kernel.Register(servicePeers, transport)
}

// addMembers adds the membership of daemons and backend servers. The peer transport
// resolves addresses with it.
func (b *builder) addMembers() error {
	transport, err := kernel.Lookup[*peer.Transport](b.kernel, servicePeers)
	if err != nil {
		return err
	}
	config := member.Config{
		HeartbeatInterval:  b.settings.Peers.HeartbeatInterval.Std(),
		SuspectAfter:       b.settings.Peers.SuspectAfter.Std(),
		LimitPlatformCalls: b.settings.Instance.Duty != settings.DutyPrograms,
		Seeds:              b.settings.Peers.Seeds,
	}
	members := member.New(config, b.self, b.store, transport, transport, b.metrics, b.log)
	transport.SetResolver(members.Address)
	return b.kernel.Register(serviceMembers, members)
}

// addCatalogue adds the local copy of the catalogue.
func (b *builder) addCatalogue() error {
	transport, err := kernel.Lookup[*peer.Transport](b.kernel, servicePeers)
	if err != nil {
		return err
	}
	view, err := kernel.Lookup[member.View](b.kernel, serviceMembers)
	if err != nil {
		return err
	}
	config := catalogue.Config{StaleAfter: b.settings.Peers.CatalogueStaleAfter.Std()}
	return b.kernel.Register(serviceCatalogue,
		catalogue.New(config, b.store, view, transport, transport, b.metrics, b.log))
}
