package daemon

import (
	"context"
	"net/http"
	"time"

	"ibisline/internal/api"
	"ibisline/internal/crashguard"
	"ibisline/internal/gateway"
	"ibisline/internal/kernel"
	"ibisline/internal/logging"
	"ibisline/internal/member"
	"ibisline/internal/objectapi/relay"
	"ibisline/internal/objectcache"
	"ibisline/internal/operator"
	"ibisline/internal/peer"
	"ibisline/internal/retire"
	"ibisline/internal/routes"
	"ibisline/internal/servers"
	"ibisline/internal/structs"
	"ibisline/internal/tokenbudget"
	"ibisline/internal/tokenbudget/journal"
	"ibisline/internal/upstream"

	"github.com/zeromicro/go-zero/rest"
)

// Names of the services of a daemon on a platform.
const (
	serviceRouteFeed  = "route-feed"
	serviceServerFeed = "server-feed"
	serviceRoutes     = "routes"
	serviceServers    = "servers"
	serviceBudgets    = "budgets"
	serviceJournal    = "journal"
	serviceGateway    = "gateway"
	servicePoison     = "poison"
	serviceRequests   = "retirement-feed"
	serviceRetire     = "retirement"
)

// platformSteps builds the services of a gateway or keeper.
func (p *parts) platformSteps() []func() error {
	steps := []func() error{p.addPeers, p.addMembers, p.addReload, p.addFeeds}
	if p.settings.Instance.Duty == structs.DutyGateway {
		steps = append(steps, p.addRoutes, p.addBudgets, p.addGateway)
	} else {
		steps = append(steps, p.addKeeper)
	}
	return append(steps, p.addOperations)
}

// addReload adds the reading of changed settings.
func (p *parts) addReload() error {
	members, err := kernel.Lookup[*member.Members](p.kernel, serviceMembers)
	if err != nil {
		return err
	}
	return p.kernel.Register(serviceReload, &reloader{file: p.file, current: p.settings, members: members, logger: p.root})
}

// addFeeds adds the copies of the platform's routes and backend servers, and lets
// the daemons tell each other how new theirs are.
func (p *parts) addFeeds() error {
	transport, err := kernel.Lookup[*peer.Transport](p.kernel, servicePeers)
	if err != nil {
		return err
	}
	members, err := kernel.Lookup[*member.Members](p.kernel, serviceMembers)
	if err != nil {
		return err
	}
	p.news = &fleetNews{feeds: map[string]*objectcache.Cache{}}
	for name, prefix := range map[string]string{
		serviceRouteFeed:  p.adapter.RoutesPrefix,
		serviceServerFeed: p.adapter.ServersPrefix,
	} {
		f := objectcache.New(objectcache.Config{Rank: members.Rank}, prefix, p.store, transport, transport, p.metrics, p.log)
		p.news.feeds[prefix] = f
		if err := p.kernel.Register(name, f); err != nil {
			return err
		}
	}
	members.SetVersionExchange(p.news)
	return nil
}

// fleetNews lets probes carry the marks of the feeds and, at a gateway, of the
// requests that crash servers.
type fleetNews struct {
	feeds map[string]*objectcache.Cache
	// guard is nil at a keeper.
	guard *crashguard.Guard
}

// Versions implements member.VersionExchange.
func (n *fleetNews) Versions() member.Versions {
	marks := make(member.Versions, len(n.feeds))
	if n.guard != nil {
		if mark := n.guard.Mark(); mark != 0 {
			marks[poisonMark] = mark
		}
	}
	for prefix, f := range n.feeds {
		marks[prefix] = f.NewestVersion()
		if listing := f.Listing(); listing.Number > 0 {
			marks[prefix+listingSuffix] = listing.Number
			marks[prefix+ageSuffix] = listing.Age.Milliseconds()
		}
	}
	return marks
}

// poisonMark marks the requests that are refused because they crash servers.
const poisonMark = "poison"

// Suffixes of the marks of a feed's newest listing: its number, and its age in
// milliseconds.
const (
	listingSuffix = "listing"
	ageSuffix     = "age"
)

// Observe implements member.VersionExchange.
func (n *fleetNews) Observe(daemon string, marks member.Versions) {
	if n.guard != nil {
		n.guard.Learn(daemon, marks[poisonMark])
	}
	for prefix, f := range n.feeds {
		mark, told := marks[prefix]
		if !told {
			continue
		}
		f.HandlePeerState(context.Background(), daemon, mark, objectcache.Listing{
			Number: marks[prefix+listingSuffix],
			Age:    time.Duration(marks[prefix+ageSuffix]) * time.Millisecond,
		})
	}
}

// addRoutes adds the configuration in force and the directory of backend servers.
func (p *parts) addRoutes() error {
	routeFeed, err := kernel.Lookup[*objectcache.Cache](p.kernel, serviceRouteFeed)
	if err != nil {
		return err
	}
	serverFeed, err := kernel.Lookup[*objectcache.Cache](p.kernel, serviceServerFeed)
	if err != nil {
		return err
	}
	book := routes.NewLoader(routeFeed, p.adapter.RoutesPrefix, p.adapter.Routes, p.log)
	if err := p.kernel.Register(serviceRoutes, book); err != nil {
		return err
	}
	return p.kernel.Register(serviceServers, servers.NewDirectory(serverFeed, p.adapter.ServersPrefix, p.adapter.Servers, p.log))
}

// addBudgets adds the home of program budgets.
func (p *parts) addBudgets() error {
	transport, err := kernel.Lookup[*peer.Transport](p.kernel, servicePeers)
	if err != nil {
		return err
	}
	members, err := kernel.Lookup[*member.Members](p.kernel, serviceMembers)
	if err != nil {
		return err
	}
	store := relay.New(p.store, transport, transport, members.Others, p.log)
	home := tokenbudget.NewHome(p.budgetConfig(), members, transport, transport, store, p.metrics, p.log)
	return p.kernel.Register(serviceBudgets, home)
}

// budgetConfig is what all homes of the fleet agree on.
func (p *parts) budgetConfig() tokenbudget.Config {
	return tokenbudget.Config{Shards: p.settings.Budgets.Shards, LostDisks: p.settings.Budgets.LostDisks}
}

// addKeeper adds the journal of an instance with a disk.
func (p *parts) addKeeper() error {
	transport, err := kernel.Lookup[*peer.Transport](p.kernel, servicePeers)
	if err != nil {
		return err
	}
	disk, err := journal.NewFile(p.settings.Keeper.DataDir)
	if err != nil {
		return err
	}
	opened, err := journal.Open(disk)
	if err != nil {
		return err
	}
	p.log.WithField("journal", opened.ID()).WithField("empty_disk", opened.Created()).Info("journal opened")
	if err := p.kernel.Register(serviceJournal, tokenbudget.NewKeeper(opened, transport, p.log)); err != nil {
		return err
	}
	return p.addRetirement(opened)
}

// retirementVerify is the age of the last listing of the operators' requests at which
// a keeper lists them again: a watch may miss one, and operators wait for it.
const retirementVerify = 5 * time.Second

// addRetirement adds the service that empties this instance on request.
func (p *parts) addRetirement(own *journal.Journal) error {
	transport, err := kernel.Lookup[*peer.Transport](p.kernel, servicePeers)
	if err != nil {
		return err
	}
	members, err := kernel.Lookup[*member.Members](p.kernel, serviceMembers)
	if err != nil {
		return err
	}
	requests := objectcache.New(objectcache.Config{RelistAfter: retirementVerify}, p.adapter.RetirementsPrefix, p.store, transport, transport, p.metrics, p.log)
	if err := p.kernel.Register(serviceRequests, requests); err != nil {
		return err
	}
	return p.kernel.Register(serviceRetire, retire.New(retire.Config{}, p.self.Name, retire.Deps{
		Dialect:  p.adapter.Retirements,
		Requests: requests,
		Store:    p.store,
		Leave:    members.Leave,
		Log:      p.log,
		Empty: func(ctx context.Context) (bool, error) {
			records, _, err := p.store.List(ctx, tokenbudget.CheckpointPrefix)
			if err != nil {
				return false, err
			}
			bridged, err := tokenbudget.ListsJournal(records, p.self.Name, own.ID())
			return !bridged, err
		},
	}))
}

// addGateway adds the service of callers' requests.
func (p *parts) addGateway() error {
	book, err := kernel.Lookup[*routes.Loader](p.kernel, serviceRoutes)
	if err != nil {
		return err
	}
	directory, err := kernel.Lookup[*servers.Directory](p.kernel, serviceServers)
	if err != nil {
		return err
	}
	transport, err := kernel.Lookup[*peer.Transport](p.kernel, servicePeers)
	if err != nil {
		return err
	}
	members, err := kernel.Lookup[*member.Members](p.kernel, serviceMembers)
	if err != nil {
		return err
	}
	home, err := kernel.Lookup[*tokenbudget.Home](p.kernel, serviceBudgets)
	if err != nil {
		return err
	}
	client := upstream.NewClient(upstream.Config{RequestID: p.adapter.Dialect.ResponseRequestID}, p.metrics)
	guard := crashguard.New(members, transport, transport, client.Probe, p.metrics, p.log)
	if err := p.kernel.Register(servicePoison, guard); err != nil {
		return err
	}
	p.news.guard = guard
	config := gateway.Config{Region: p.self.Region, DataCentre: p.self.DataCentre}
	handler := gateway.New(config, gateway.Deps{
		Dialect:    p.adapter.Dialect,
		Routes:     book,
		Servers:    directory,
		Client:     client,
		Budgets:    tokenbudget.NewClient(p.budgetConfig(), members, transport, home, p.log),
		CrashGuard: guard,
		Metrics:    p.metrics,
		Log:        p.log,
	})
	server, err := gateway.Listen(p.settings.Gateway.Listen, handler, gateway.StopConfig{
		BalancerDelay: p.settings.Stop.BalancerDelay.Std(),
	})
	if err != nil {
		return err
	}
	return p.kernel.Register(serviceGateway, server)
}

// addOperations adds the operators' HTTP calls and the answer to the balancer.
func (p *parts) addOperations() error {
	members, err := kernel.Lookup[*member.Members](p.kernel, serviceMembers)
	if err != nil {
		return err
	}
	server, err := api.NewServer(api.Conf(p.self.Name))
	if err != nil {
		return err
	}
	// The rest server has set go-zero's log up anew.
	logging.CaptureLogx(p.log)
	front, _ := kernel.Lookup[*gateway.Server](p.kernel, serviceGateway)
	server.Rest().AddRoute(rest.Route{
		Method:  http.MethodGet,
		Path:    p.settings.Gateway.ReadyPath,
		Handler: readyHandler(func() bool { return front == nil || front.Ready() }),
	})
	operator.RegisterReads(server.Rest(), operator.Sources{
		Metrics: p.metrics,
		Dump:    p.kernel.Dump,
		Status: func() operator.Status {
			return operator.Status{Instance: members.Self(), Live: len(members.Live()), Leaving: front != nil && front.Leaving()}
		},
	})
	if err := server.Listen(p.settings.Instance.HTTPAddr); err != nil {
		return err
	}
	if err := p.kernel.Register(serviceAPI, server); err != nil {
		return err
	}
	home, _ := kernel.Lookup[*tokenbudget.Home](p.kernel, serviceBudgets)
	return p.kernel.Register(serviceStop, &departure{members: members, front: front, home: home})
}

// readyHandler answers the balancer.
func readyHandler(ready func() bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
}

// departure is drained before all other services: it tells the balancer and the
// other daemons that this one leaves, while its services still finish their work.
type departure struct {
	members *member.Members
	front   *gateway.Server
	home    *tokenbudget.Home
}

// Run does nothing until the stop.
func (d *departure) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Drain announces the stop and gives the budgets away.
func (d *departure) Drain(ctx context.Context) error {
	if d.front != nil {
		d.front.Leave()
	}
	d.members.Leave()
	if d.home != nil {
		d.home.HandOver(ctx)
	}
	return nil
}
