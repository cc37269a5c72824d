package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"ibisline/internal/api"
	"ibisline/internal/boottime"
	"ibisline/internal/crashguard"
	"ibisline/internal/gateway"
	"ibisline/internal/history"
	"ibisline/internal/history/turnlog"
	"ibisline/internal/kernel"
	"ibisline/internal/logging"
	"ibisline/internal/member"
	"ibisline/internal/objectapi"
	"ibisline/internal/objectapi/relay"
	"ibisline/internal/objectcache"
	"ibisline/internal/operator"
	"ibisline/internal/peer"
	peerrelay "ibisline/internal/peer/relay"
	"ibisline/internal/quota"
	"ibisline/internal/retire"
	"ibisline/internal/routes"
	"ibisline/internal/serverlimit"
	"ibisline/internal/servers"
	"ibisline/internal/structs"
	"ibisline/internal/tokenbudget"
	"ibisline/internal/tokenbudget/journal"
	"ibisline/internal/upstream"

	"github.com/zeromicro/go-zero/rest"
)

// Names of the services of a gateway or keeper.
const (
	serviceRouteCache      = "route-feed"
	serviceServerCache     = "server-feed"
	serviceCrashCache      = "crash-feed"
	serviceRoutes          = "routes"
	serviceServers         = "servers"
	serviceBudgets         = "budgets"
	serviceJournal         = "journal"
	serviceGateway         = "gateway"
	serviceCrashGuard      = "poison"
	serviceServerLimits    = "server-limits"
	serviceRetirementCache = "retirement-feed"
	serviceRetirement      = "retirement"
	serviceHistories       = "histories"
	serviceQuotas          = "quotas"
	serviceServerConns     = "server-connections"
)

// platformSteps returns the steps that build the services of a gateway or keeper.
func (b *builder) platformSteps() []func() error {
	steps := []func() error{b.addPeers, b.addMembers, b.addRelay, b.addReload, b.addCaches}
	if b.settings.Instance.Duty == structs.DutyGateway {
		steps = append(steps, b.addRoutes, b.addBudgets, b.addGateway)
	} else {
		steps = append(steps, b.addKeeper)
	}
	return append(steps, b.addOperations)
}

// addRelay adds the way to keepers through other daemons, and serves it to them.
func (b *builder) addRelay() error {
	transport, err := kernel.Lookup[*peer.Transport](b.kernel, servicePeers)
	if err != nil {
		return err
	}
	members, err := kernel.Lookup[*member.Members](b.kernel, serviceMembers)
	if err != nil {
		return err
	}
	b.keepers = peerrelay.New(peerrelay.Deps{Direct: transport, Mux: transport, View: members, Metrics: b.metrics, Log: b.log})
	return nil
}

// addReload adds the service that reloads changed settings.
func (b *builder) addReload() error {
	members, err := kernel.Lookup[*member.Members](b.kernel, serviceMembers)
	if err != nil {
		return err
	}
	return b.kernel.Register(serviceReload, &reloader{
		file: b.file, current: b.settings, members: members, logger: b.rootLogger,
	})
}

// addCaches adds the local copies of the platform's routes and backend servers, and
// lets daemons exchange the versions of their copies in membership probes.
func (b *builder) addCaches() error {
	transport, err := kernel.Lookup[*peer.Transport](b.kernel, servicePeers)
	if err != nil {
		return err
	}
	members, err := kernel.Lookup[*member.Members](b.kernel, serviceMembers)
	if err != nil {
		return err
	}
	b.versions = &cacheVersions{caches: map[string]*objectcache.Cache{}}
	for name, of := range map[string]struct {
		prefix      string
		relistAfter time.Duration
	}{
		serviceRouteCache:  {b.adapter.RoutesPrefix, objectcache.DefaultRelistAfter},
		serviceServerCache: {b.adapter.ServersPrefix, objectcache.DefaultRelistAfter},
		serviceCrashCache:  {crashguard.Prefix, crashguard.RelistAfter},
		// Gateways hold it too, because changes spread from daemon to daemon.
		serviceRetirementCache: {b.adapter.RetirementsPrefix, retirementRelistAfter},
	} {
		config := objectcache.Config{Rank: members.Rank, Joined: members.Joined, RelistAfter: of.relistAfter}
		if name == serviceRouteCache {
			config.Transform = b.adapter.WithoutKeys
		}
		cache := objectcache.New(config, of.prefix, b.store, transport, transport, b.metrics, b.log)
		b.versions.caches[of.prefix] = cache
		if err := b.kernel.Register(name, cache); err != nil {
			return err
		}
	}
	if b.settings.Teams.RevokeWithin > 0 {
		b.versions.proven = b.versions.caches[b.adapter.RoutesPrefix]
	}
	members.SetVersionExchange(b.versions)
	return nil
}

// cacheVersions supplies and receives the versions that membership probes carry:
// those of the object caches and of the crashes under requests.
type cacheVersions struct {
	caches map[string]*objectcache.Cache
	guard  *crashguard.Guard
	// proven is the cache whose proofs of being current are passed on, nil for none.
	proven *objectcache.Cache
}

// Now returns the time of the clock that dates the proofs.
func (v *cacheVersions) Now() time.Duration {
	if v.proven == nil {
		return 0
	}
	return v.proven.Now()
}

// Versions returns the versions that this daemon sends in its probes.
func (v *cacheVersions) Versions() member.Versions {
	versions := make(member.Versions, len(v.caches))
	if mark := v.guard.Mark(); mark != 0 {
		versions[crashGuardKey] = mark
	}
	if v.proven != nil {
		if at, version := v.proven.Current(); at > 0 {
			versions[v.proven.Prefix()+provenVersionSuffix] = version
			// Rounded up, so that the copy does not look newer.
			versions[v.proven.Prefix()+provenAgeSuffix] = (v.proven.Now() - at).Milliseconds() + 1
		}
	}
	for prefix, c := range v.caches {
		versions[prefix] = c.NewestVersion()
		if listing := c.Listing(); listing.Number > 0 {
			versions[prefix+listingNumberSuffix] = listing.Number
			versions[prefix+listingAgeSuffix] = listing.Age.Milliseconds()
		}
	}
	return versions
}

// provenKey returns the key of the version of a proven cache, empty if proofs are not passed on.
func (v *cacheVersions) provenKey() string {
	if v.proven == nil {
		return ""
	}
	return v.proven.Prefix() + provenVersionSuffix
}

// crashGuardKey is the key of the digest of the crashes under requests.
const crashGuardKey = "poison"

// Key suffixes of the number and the age, in milliseconds, of the newest listing of a
// cache.
const (
	listingNumberSuffix = "listing"
	listingAgeSuffix    = "age"
)

// Key suffixes of the version of the newest change in a cache that is proven to be current, and of
// the age of that proof in milliseconds.
const (
	provenVersionSuffix = "proven"
	provenAgeSuffix     = "proof"
)

// Observe handles the versions received from another daemon.
func (v *cacheVersions) Observe(daemon string, versions member.Versions, askedAt time.Duration) {
	v.guard.Learn(daemon, versions[crashGuardKey])
	if version, ok := versions[v.provenKey()]; ok && askedAt > 0 {
		// The age is as of a time after askedAt. Versions that were sent unasked may be under way for
		// any time.
		age := time.Duration(versions[v.proven.Prefix()+provenAgeSuffix]) * time.Millisecond
		v.proven.ProveCurrent(askedAt-age, version)
	}
	for prefix, c := range v.caches {
		version, ok := versions[prefix]
		if !ok {
			continue
		}
		c.HandlePeerState(context.Background(), daemon, version, objectcache.Listing{
			Number: versions[prefix+listingNumberSuffix],
			Age:    time.Duration(versions[prefix+listingAgeSuffix]) * time.Millisecond,
		})
	}
}

// addRoutes adds the current route table and the directory of backend servers.
func (b *builder) addRoutes() error {
	routeCache, err := kernel.Lookup[*objectcache.Cache](b.kernel, serviceRouteCache)
	if err != nil {
		return err
	}
	serverCache, err := kernel.Lookup[*objectcache.Cache](b.kernel, serviceServerCache)
	if err != nil {
		return err
	}
	loader := routes.NewLoader(routeCache, b.adapter.RoutesPrefix, b.adapter.Routes, b.log)
	if err := b.kernel.Register(serviceRoutes, loader); err != nil {
		return err
	}
	return b.kernel.Register(serviceServers,
		servers.NewDirectory(serverCache, b.adapter.ServersPrefix, b.adapter.Servers, b.log))
}

// addBudgets adds the home of program budgets.
func (b *builder) addBudgets() error {
	transport, err := kernel.Lookup[*peer.Transport](b.kernel, servicePeers)
	if err != nil {
		return err
	}
	members, err := kernel.Lookup[*member.Members](b.kernel, serviceMembers)
	if err != nil {
		return err
	}
	store := relay.New(b.store, transport, transport, members.Others, b.log)
	home := tokenbudget.NewHome(b.budgetConfig(), members, b.keepers, transport, store, b.metrics, b.log)
	return b.kernel.Register(serviceBudgets, home)
}

// budgetConfig returns the settings on which all homes of the fleet must agree.
func (b *builder) budgetConfig() tokenbudget.Config {
	return tokenbudget.Config{Shards: b.settings.Budgets.Shards, LostDisks: b.settings.Budgets.LostDisks}
}

// addKeeper adds the on-disk journal of a keeper.
func (b *builder) addKeeper() error {
	transport, err := kernel.Lookup[*peer.Transport](b.kernel, servicePeers)
	if err != nil {
		return err
	}
	disk, err := journal.NewFile(b.settings.Keeper.DataDir)
	if err != nil {
		return err
	}
	opened, err := journal.Open(disk)
	if err != nil {
		return err
	}
	b.log.WithField("journal", opened.ID()).WithField("empty_disk", opened.Created()).Info("journal opened")
	if err := b.kernel.Register(serviceJournal, tokenbudget.NewKeeper(opened, transport, b.log)); err != nil {
		return err
	}
	if _, err := b.addCrashGuard(nil, nil); err != nil {
		return err
	}
	turns, err := b.addTurns()
	if err != nil {
		return err
	}
	return b.addRetirement(opened, turns)
}

// turnsDir is the directory of turns in the data directory of a keeper.
const turnsDir = "turns"

// addTurns adds the on-disk turns of a keeper.
func (b *builder) addTurns() (*history.Keeper, error) {
	transport, err := kernel.Lookup[*peer.Transport](b.kernel, servicePeers)
	if err != nil {
		return nil, err
	}
	members, err := kernel.Lookup[*member.Members](b.kernel, serviceMembers)
	if err != nil {
		return nil, err
	}
	routeCache, err := kernel.Lookup[*objectcache.Cache](b.kernel, serviceRouteCache)
	if err != nil {
		return nil, err
	}
	dir, err := turnlog.NewDir(filepath.Join(b.settings.Keeper.DataDir, turnsDir))
	if err != nil {
		return nil, err
	}
	turns, err := turnlog.Open(dir, b.settings.Keeper.FirstStart)
	if err != nil {
		return nil, err
	}
	held, bytes := turns.Size()
	b.log.WithField("turns", held).WithField("bytes", bytes).WithField("complete", turns.Complete()).Info("turns opened")
	keeper := history.NewKeeper(b.historyConfig(), history.KeeperDeps{
		Log: turns, View: members, Dialer: transport, Mux: transport, Registered: members.Registered, Newcomer: members.Newcomer,
		ListDaemons: b.listDaemons, Retention: b.turnRetention(routeCache), Metrics: b.metrics, Logger: b.log,
	})
	return keeper, b.kernel.Register(serviceHistories, keeper)
}

// turnRetention returns a function that returns the longest time for which a route has kept turns since this
// process started, 0 if none is known. It is called rarely, so that it decodes the configuration each time.
func (b *builder) turnRetention(routeCache *objectcache.Cache) func() time.Duration {
	longest := time.Duration(0)
	return func() time.Duration {
		held, _ := routeCache.Snapshot()
		for _, c := range held {
			table, err := b.adapter.Routes(objectapi.Object{Key: routeCache.Prefix() + c.Name, Value: *c.Value, Version: c.Version})
			if err != nil {
				// Not the configuration, or one that no gateway uses.
				continue
			}
			for _, route := range table.Routes {
				if route.KeepsTurns {
					longest = max(longest, route.Retention+gateway.ExpirySlack)
				}
			}
		}
		return longest
	}
}

// historyConfig returns the settings of kept turns on which all daemons must agree.
func (b *builder) historyConfig() history.Config {
	return history.Config{LostDisks: b.settings.Budgets.LostDisks}
}

const (
	// historyCacheDivisor is the part of an instance's memory that recent conversations may use.
	historyCacheDivisor = 8
	// defaultHistoryCacheBytes is that memory on an instance whose memory is not limited.
	defaultHistoryCacheBytes = 64 << 20
)

// historyCacheBytes returns the limit of the memory for recent conversations.
func (b *builder) historyCacheBytes() int {
	if b.settings.Instance.MemoryMB == 0 {
		return defaultHistoryCacheBytes
	}
	return b.settings.Instance.MemoryMB << 20 / historyCacheDivisor
}

// unlist removes this daemon from the platform's list.
func (b *builder) unlist(ctx context.Context) error {
	key := structs.InstancePrefix + b.self.Name
	listed, err := b.store.Get(ctx, key)
	if err == nil {
		err = b.store.Delete(ctx, key, listed.Version)
	}
	if errors.Is(err, objectapi.ErrNotFound) {
		return nil
	}
	return err
}

// listDaemons reads the platform's list of all daemons that have ever started.
func (b *builder) listDaemons(ctx context.Context) ([]structs.Instance, error) {
	listed, _, err := b.store.List(ctx, structs.InstancePrefix)
	if err != nil {
		return nil, err
	}
	daemons := make([]structs.Instance, 0, len(listed))
	for _, object := range listed {
		var instance structs.Instance
		if err := json.Unmarshal(object.Value, &instance); err != nil {
			// An entry that cannot be read may be that of a keeper.
			return nil, errors.Wrapf(err, "decode %s", object.Key)
		}
		daemons = append(daemons, instance)
	}
	return daemons, nil
}

// retirementRelistAfter is the age of the last listing of retirement requests after which
// they are listed again. A watch may miss a request that an operator is waiting for.
const retirementRelistAfter = 3 * time.Second

// addRetirement adds the service that empties this instance on an operator's request.
func (b *builder) addRetirement(own *journal.Journal, turns *history.Keeper) error {
	requests, err := kernel.Lookup[*objectcache.Cache](b.kernel, serviceRetirementCache)
	if err != nil {
		return err
	}
	members, err := kernel.Lookup[*member.Members](b.kernel, serviceMembers)
	if err != nil {
		return err
	}
	return b.kernel.Register(serviceRetirement, retire.New(retire.Config{}, b.self.Name, retire.Deps{
		Dialect:  b.adapter.Retirements,
		Requests: requests,
		Store:    b.store,
		Leave: func() {
			turns.Retire()
			members.Leave()
		},
		Log: b.log,
		Empty: func(ctx context.Context) (bool, error) {
			records, _, err := b.store.List(ctx, tokenbudget.CheckpointPrefix)
			if err != nil {
				return false, err
			}
			listed, err := tokenbudget.ListsJournal(records, b.self.Name, own.ID())
			if err != nil || listed {
				return false, err
			}
			if evacuated, err := turns.Evacuated(ctx); err != nil || !evacuated {
				return false, err
			}
			// Others need not ask this instance about turns any more.
			return true, b.unlist(ctx)
		},
	}))
}

// addCrashGuard adds the guard against requests that crash servers. A keeper, which sends
// nothing to servers, keeps the crashes that gateways have seen while these are restarted.
func (b *builder) addCrashGuard(probe crashguard.Probe, list crashguard.Servers) (*crashguard.Guard, error) {
	transport, err := kernel.Lookup[*peer.Transport](b.kernel, servicePeers)
	if err != nil {
		return nil, err
	}
	members, err := kernel.Lookup[*member.Members](b.kernel, serviceMembers)
	if err != nil {
		return nil, err
	}
	guard := crashguard.New(crashguard.Deps{
		Dialer:   transport,
		Mux:      transport,
		Probe:    probe,
		Servers:  list,
		Announce: members.ProbeNow,
		Store:    b.store,
		Cache:    b.versions.caches[crashguard.Prefix],
		Rank:     func() int { return members.Rank(crashguard.Prefix) },
		Metrics:  b.metrics,
		Log:      b.log,
	})
	b.versions.guard = guard
	return guard, b.kernel.Register(serviceCrashGuard, guard)
}

// callerMemoryDivisor is the part of an instance's memory that the connections of callers may use unless
// the settings say otherwise.
const callerMemoryDivisor = 4

// callerBytes returns the limit of the memory that connections of callers make this process hold, 0 on
// an instance whose memory is not limited.
func (b *builder) callerBytes() int64 {
	if b.settings.Gateway.CallerMemoryMB > 0 {
		return int64(b.settings.Gateway.CallerMemoryMB) << 20
	}
	return int64(b.settings.Instance.MemoryMB) << 20 / callerMemoryDivisor
}

// Eighths of the descriptors that connections of callers and those to backend servers may use. The rest is for
// other daemons, operators, the platform and files.
const (
	callerDescriptorEighths = 3
	serverDescriptorEighths = 3
)

// descriptors returns the number of descriptors that the process may use.
func (b *builder) descriptors() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Wrap(err, "read the limit of descriptors")
	}
	number := int(min(limit.Cur, maxDescriptors))
	if configured := b.settings.Instance.MaxDescriptors; configured > 0 {
		number = min(number, configured)
	}
	return number, nil
}

// maxDescriptors is the number above which the limit of descriptors is of no account.
const maxDescriptors = 1 << 30

// serverConns closes the connections to servers that are gone.
type serverConns struct {
	client *upstream.Client
	listed upstream.Listed
}

// Run runs until ctx ends.
func (c serverConns) Run(ctx context.Context) error { return c.client.Run(ctx, c.listed) }

// addGateway adds the gateway that serves callers' requests.
func (b *builder) addGateway() error {
	loader, err := kernel.Lookup[*routes.Loader](b.kernel, serviceRoutes)
	if err != nil {
		return err
	}
	directory, err := kernel.Lookup[*servers.Directory](b.kernel, serviceServers)
	if err != nil {
		return err
	}
	transport, err := kernel.Lookup[*peer.Transport](b.kernel, servicePeers)
	if err != nil {
		return err
	}
	members, err := kernel.Lookup[*member.Members](b.kernel, serviceMembers)
	if err != nil {
		return err
	}
	home, err := kernel.Lookup[*tokenbudget.Home](b.kernel, serviceBudgets)
	if err != nil {
		return err
	}
	descriptors, err := b.descriptors()
	if err != nil {
		return err
	}
	client := upstream.NewClient(upstream.Config{
		RequestID: b.adapter.Dialect.ResponseRequestID, MaxConns: descriptors * serverDescriptorEighths / 8,
	}, b.metrics)
	if err := b.kernel.Register(serviceServerConns, serverConns{client: client, listed: directory}); err != nil {
		return err
	}
	guard, err := b.addCrashGuard(client.Probe, directory)
	if err != nil {
		return err
	}
	limits := serverlimit.New(serverlimit.Deps{
		View: members, Dialer: transport, Mux: transport, Listed: directory.Has, Metrics: b.metrics, Log: b.log,
		Clock: boottime.Now,
	})
	if err := b.kernel.Register(serviceServerLimits, limits); err != nil {
		return err
	}
	quotas := quota.New(quota.Deps{
		View: members, Dialer: transport, Mux: transport, Metrics: b.metrics, Log: b.log,
		Slack: b.settings.Teams.QuotaSlack, Window: b.settings.Teams.QuotaWindow.Std(), Overrun: b.settings.Teams.QuotaOverrun,
		Clock: boottime.Now,
		Team: func(name string) (*structs.Team, bool) {
			table := loader.Current()
			if table == nil {
				return nil, false
			}
			return table.Team(name)
		},
	})
	if err := b.kernel.Register(serviceQuotas, quotas); err != nil {
		return err
	}
	config := gateway.Config{
		Region: b.self.Region, DataCentre: b.self.DataCentre, RevokeWithin: b.settings.Teams.RevokeWithin.Std(),
		ScarceMemory: b.adapter.ScarceMemory,
	}
	handler := gateway.New(config, gateway.Deps{
		Dialect: b.adapter.Dialect,
		Routes:  loader,
		Servers: directory,
		Client:  client,
		Histories: history.NewClient(b.historyConfig(), b.historyCacheBytes(), history.ClientDeps{
			View: members, Dialer: b.keepers, ListDaemons: b.listDaemons, Metrics: b.metrics, Logger: b.log,
		}),
		Budgets:    tokenbudget.NewClient(b.budgetConfig(), members, transport, home, b.log),
		CrashGuard: guard,
		Limits:     limits,
		Quotas:     quotas,
		Metrics:    b.metrics,
		Log:        b.log,
	})
	server, err := gateway.Listen(b.settings.Gateway.Listen, handler, gateway.ServerConfig{
		BalancerDelay: b.settings.Stop.BalancerDelay.Std(),
		CallerBytes:   b.callerBytes(),
		MaxCallers:    descriptors * callerDescriptorEighths / 8,
		Reclaim:       client.Reclaim,
	})
	if err != nil {
		return err
	}
	return b.kernel.Register(serviceGateway, server)
}

// addOperations adds the operator routes, the readiness endpoint for the load
// balancer, and the service that announces a planned stop.
func (b *builder) addOperations() error {
	members, err := kernel.Lookup[*member.Members](b.kernel, serviceMembers)
	if err != nil {
		return err
	}
	server, err := api.NewServer(api.RestConf(b.self.Name))
	if err != nil {
		return err
	}
	// NewServer has reconfigured go-zero's logger, so it is redirected again.
	logging.CaptureLogx(b.log)
	gatewayServer, _ := kernel.Lookup[*gateway.Server](b.kernel, serviceGateway)
	server.Rest().AddRoute(rest.Route{
		Method:  http.MethodGet,
		Path:    b.settings.Gateway.ReadyPath,
		Handler: readyHandler(func() bool { return gatewayServer == nil || gatewayServer.Ready() }),
	})
	operator.RegisterCommon(server.Rest(), operator.Deps{
		Metrics: b.metrics,
		Dump:    b.kernel.Dump,
		Status: func() operator.Status {
			return operator.Status{
				Instance: members.Self(), Live: len(members.Live()), Leaving: gatewayServer != nil && gatewayServer.Leaving(),
			}
		},
	})
	if keeper, err := kernel.Lookup[*history.Keeper](b.kernel, serviceHistories); err == nil {
		operator.RegisterTurns(server.Rest(), operator.Deps{Turn: keeper.Describe})
	}
	server.LimitConnections(operatorBytes)
	if gatewayServer != nil {
		operator.RegisterRoute(server.Rest(), gatewayServer.ExplainRoute)
		quotas, err := kernel.Lookup[*quota.Quotas](b.kernel, serviceQuotas)
		if err != nil {
			return err
		}
		operator.RegisterTeams(server.Rest(), func() gateway.TeamReport { return gatewayServer.Teams(quotas.States()) })
	}
	if err := server.Listen(b.settings.Instance.HTTPAddr); err != nil {
		return err
	}
	if err := b.kernel.Register(serviceAPI, server); err != nil {
		return err
	}
	home, _ := kernel.Lookup[*tokenbudget.Home](b.kernel, serviceBudgets)
	return b.kernel.Register(serviceStop, &platformStopAnnouncer{
		members: members, gatewayServer: gatewayServer, home: home,
	})
}

// operatorBytes limits what the connections of operators and the balancer make the process hold.
const operatorBytes = 4 << 20

// readyHandler responds with 200 if ready returns true, and with 503 otherwise.
func readyHandler(ready func() bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
}

// platformStopAnnouncer is drained before all other services. It reports this daemon
// as leaving to the load balancer and to the other daemons, while its services still
// finish their requests. A keeper has neither gatewayServer nor home.
type platformStopAnnouncer struct {
	members       *member.Members
	gatewayServer *gateway.Server
	home          *tokenbudget.Home
}

// Run waits until ctx ends.
func (a *platformStopAnnouncer) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Drain announces the planned stop and hands over the budgets held here.
func (a *platformStopAnnouncer) Drain(ctx context.Context) error {
	if a.gatewayServer != nil {
		processEnd, _ := ctx.Deadline()
		a.gatewayServer.Leave(processEnd)
	}
	a.members.Leave()
	if a.home != nil {
		a.home.HandOver(ctx)
	}
	return nil
}
