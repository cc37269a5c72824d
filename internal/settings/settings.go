// Package settings loads the settings of a daemon from TOML, applies defaults and
// validates every field. Its errors name the key, the value and the allowed values.
package settings

import (
	"time"

	"ibisline/internal/tokenbudget"
)

// Settings contains all settings of a daemon. docs/SETTINGS.md lists them.
type Settings struct {
	Instance Instance `toml:"instance"`
	Platform Platform `toml:"platform"`
	Log      Log      `toml:"log"`
	API      API      `toml:"api"`
	Peers    Peers    `toml:"peers"`
	Home     Home     `toml:"home"`
	Dispatch Dispatch `toml:"dispatch"`
	Gateway  Gateway  `toml:"gateway"`
	Budgets  Budgets  `toml:"budgets"`
	Teams    Teams    `toml:"teams"`
	Keeper   Keeper   `toml:"keeper"`
	Stop     Stop     `toml:"stop"`
}

// Instance identifies the daemon and sets its listening addresses and duty.
type Instance struct {
	Name       string `toml:"name" validate:"required,hostname_rfc1123" allowed:"letters, digits, dashes"`
	Region     string `toml:"region" validate:"required,hostname_rfc1123" allowed:"letters, digits, dashes"`
	DataCentre string `toml:"data_centre" validate:"required,hostname_rfc1123" allowed:"letters, digits, dashes"`
	// HTTPAddr is the listening address for callers and operators, PeerAddr the one
	// for other daemons.
	HTTPAddr string `toml:"http_addr" validate:"required,tcp_addr" allowed:"IP:port"`
	PeerAddr string `toml:"peer_addr" validate:"required,tcp_addr" allowed:"IP:port"`
	// PeerAdvertise is the address that other daemons connect to; empty means
	// PeerAddr.
	PeerAdvertise string `toml:"peer_advertise" validate:"omitempty,tcp_addr" allowed:"IP:port"`
	// Duty is the role of the daemon: programs serves programs over the native
	// API, gateway serves the requests of a platform, and keeper only stores the
	// journal of budgets for the gateways.
	Duty string `toml:"duty" validate:"oneof=programs gateway keeper" allowed:"programs, gateway or keeper"`
	// MemoryMB is the memory that the process may use; 0 for no limit.
	MemoryMB int `toml:"memory_mb" validate:"min=0,max=1048576" allowed:"0 to 1048576"`
	// MaxDescriptors is the number of descriptors that the process may use; 0 for the limit of the process.
	MaxDescriptors int `toml:"max_descriptors" validate:"min=0,max=1073741824" allowed:"0 to 1073741824"`
}

// DutyPrograms is the duty of a daemon that serves programs over the native API.
const DutyPrograms = "programs"

// Platform sets the connection to the platform's object API.
type Platform struct {
	// Addrs are the addresses of the object API. After a failure the client tries
	// the next one.
	Addrs   []string `toml:"addrs" validate:"required,min=1,dive,tcp_addr" allowed:"a list of IP:port"`
	Timeout Duration `toml:"timeout" validate:"min=10ms,max=1m" allowed:"10ms to 1m"`
	// Protocol is the protocol of the object API: native is described in
	// docs/BACKENDS.md, objects is the protocol of the users' platform.
	Protocol string `toml:"protocol" validate:"oneof=native objects" allowed:"native or objects"`
	// Features are the parts of the platform that are in force, under its own names. What they mean for
	// scheduling is up to its adapter; unknown ones are ignored.
	Features []string `toml:"features"`
}

// Protocols of the object API.
const (
	ProtocolNative  = "native"
	ProtocolObjects = "objects"
)

// Log sets the level and format of the log.
type Log struct {
	Level  string `toml:"level" validate:"oneof=debug info warn error" allowed:"debug, info, warn or error"`
	Format string `toml:"format" validate:"oneof=json text" allowed:"json or text"`
}

// API sets the limits of the HTTP API for callers.
type API struct {
	MaxBodyBytes int64 `toml:"max_body_bytes" validate:"min=1024,max=1073741824" allowed:"1024 to 1073741824"`
	// RetryFor bounds the time for which a request is retried while its program has
	// no reachable home, as during a takeover.
	RetryFor Duration `toml:"retry_for" validate:"min=100ms,max=5m" allowed:"100ms to 5m"`
}

// Peers sets the heartbeats and timeouts between daemons.
type Peers struct {
	HeartbeatInterval Duration `toml:"heartbeat_interval" validate:"min=20ms,max=10s" allowed:"20ms to 10s"`
	SuspectAfter      Duration `toml:"suspect_after" validate:"min=100ms,max=1m" allowed:"100ms to 1m"`
	// CatalogueStaleAfter is the time without contact to the platform, or to a
	// daemon that reaches it, after which requests are no longer admitted.
	CatalogueStaleAfter Duration `toml:"catalogue_stale_after" validate:"min=500ms,max=1m" allowed:"500ms to 1m"`
	// Seeds are the peer addresses to try while the list of daemons cannot be read
	// from the platform.
	Seeds []string `toml:"seeds" validate:"dive,tcp_addr" allowed:"a list of IP:port"`
}

// Home sets the homes of programs.
type Home struct {
	// Shards is the number of shards of programs in each region. All daemons
	// of a fleet must use the same number.
	Shards int `toml:"shards" validate:"min=1,max=4096" allowed:"1 to 4096"`
	// CommitInterval is the minimum time between two commits of a shard.
	CommitInterval Duration `toml:"commit_interval" validate:"min=0s,max=500ms" allowed:"0s to 500ms"`
	// QueueFor is the default limit on the time that a request waits for a slot.
	QueueFor Duration `toml:"queue_for" validate:"min=100ms,max=30m" allowed:"100ms to 30m"`
}

// Dispatch selects the scheduling policies and sets their targets.
type Dispatch struct {
	Queue      string `toml:"queue" validate:"oneof=fair fifo" allowed:"fair or fifo"`
	Placement  string `toml:"placement" validate:"oneof=estimate round_robin" allowed:"estimate or round_robin"`
	Window     string `toml:"window" validate:"oneof=adaptive fixed" allowed:"adaptive or fixed"`
	Stragglers bool   `toml:"stragglers"`
	KVTransfer bool   `toml:"kv_transfer"`
	// FixedWindow is the number of requests in flight at an engine if Window is
	// fixed.
	FixedWindow int `toml:"fixed_window" validate:"min=1,max=4096" allowed:"1 to 4096"`
	// QueueLimit bounds the requests queued for one backend server.
	QueueLimit       int      `toml:"queue_limit" validate:"min=1,max=1000000" allowed:"1 to 1000000"`
	FirstTokenTarget Duration `toml:"first_token_target" validate:"min=10ms,max=1m" allowed:"10ms to 1m"`
	TokenGapTarget   Duration `toml:"token_gap_target" validate:"min=1ms,max=5s" allowed:"1ms to 5s"`
	// SweepInterval is the interval at which the KV memory of an engine is compared
	// with the live programs.
	SweepInterval Duration `toml:"sweep_interval" validate:"min=100ms,max=1h" allowed:"100ms to 1h"`
}

// Gateway sets the listener for the requests of a platform.
type Gateway struct {
	// Listen is the listening address for callers.
	Listen string `toml:"listen" validate:"omitempty,tcp_addr" allowed:"IP:port"`
	// ReadyPath is the path on instance.http_addr of the readiness check of the
	// load balancer.
	ReadyPath string `toml:"ready_path" validate:"startswith=/" allowed:"a path"`
	// CallerMemoryMB limits the memory that the connections of callers and their requests make the
	// process hold; 0 for a quarter of Instance.MemoryMB.
	CallerMemoryMB int `toml:"caller_memory_mb" validate:"min=0,max=1048576" allowed:"0 to 1048576"`
	// Regions maps the platform's data centres to regions.
	Regions map[string]string `toml:"regions"`
}

// Keeper sets the on-disk storage of a keeper.
type Keeper struct {
	// DataDir is the directory of the journal of budgets and of the turns.
	DataDir string `toml:"data_dir"`
	// FirstStart is set while the whole fleet starts for the first time, so that an empty disk has
	// lost nothing.
	FirstStart bool `toml:"first_start"`
}

// Budgets contains the settings of program budgets. All homes of a fleet must use
// the same values.
type Budgets struct {
	// Shards is the number of shards of programs. Each has one home, and its own checkpoints at
	// the platform.
	Shards int `toml:"shards" validate:"min=1,max=4096" allowed:"1 to 4096"`
	// LostDisks is the number of keeper disks that may be lost at the same time. Each turn that is kept
	// is stored on one more keeper.
	LostDisks int `toml:"lost_disks" validate:"min=0,max=64" allowed:"0 to 64"`
}

// Teams contains the settings of teams, their keys and their quotas. All daemons of a fleet must use
// the same values.
type Teams struct {
	// RevokeWithin is the time after which a key that an accepted configuration does not list any more
	// must not work on any daemon, also on one without contact. A daemon that cannot prove that its
	// configuration is newer refuses requests with keys. 0 disables the proof.
	RevokeWithin Duration `toml:"revoke_within" validate:"min=0s,max=10m" allowed:"0s to 10m"`
	// QuotaSlack is the number of requests by which a team may exceed its quota for a moment.
	QuotaSlack int `toml:"quota_slack" validate:"min=0,max=1000" allowed:"0 to 1000"`
	// QuotaOverrun is the part of its quota by which a team may exceed it in any QuotaWindow, beside QuotaSlack.
	QuotaOverrun float64 `toml:"quota_overrun" validate:"min=0,max=1" allowed:"0 to 1"`
	// QuotaWindow is the time over which the users count the requests of a team.
	QuotaWindow Duration `toml:"quota_window" validate:"min=1s,max=1m" allowed:"1s to 1m"`
}

// Stop sets the planned stop.
type Stop struct {
	// DrainLimit bounds the whole planned stop.
	DrainLimit Duration `toml:"drain_limit" validate:"min=1s,max=2h" allowed:"1s to 2h"`
	// BalancerDelay is the time for which new connections are still served after the
	// health endpoint first reported that the daemon is leaving.
	BalancerDelay Duration `toml:"balancer_delay" validate:"min=0s,max=5m" allowed:"0s to 5m"`
}

// Default returns the default settings. Instance, except for its duty, and
// Platform.Addrs have no defaults.
func Default() Settings {
	return Settings{
		Instance: Instance{Duty: DutyPrograms},
		Platform: Platform{Timeout: Duration(2 * time.Second), Protocol: ProtocolNative},
		Log:      Log{Level: "info", Format: "json"},
		API:      API{MaxBodyBytes: 8 << 20, RetryFor: Duration(10 * time.Second)},
		Peers: Peers{
			HeartbeatInterval:   Duration(250 * time.Millisecond),
			SuspectAfter:        Duration(time.Second),
			CatalogueStaleAfter: Duration(5 * time.Second),
		},
		Home: Home{
			Shards:         8,
			CommitInterval: Duration(5 * time.Millisecond),
			QueueFor:       Duration(time.Minute),
		},
		Dispatch: Dispatch{
			Queue:            "fair",
			Placement:        "estimate",
			Window:           "adaptive",
			Stragglers:       true,
			KVTransfer:       true,
			FixedWindow:      16,
			QueueLimit:       1000,
			FirstTokenTarget: Duration(1100 * time.Millisecond),
			TokenGapTarget:   Duration(47 * time.Millisecond),
			SweepInterval:    Duration(10 * time.Second),
		},
		Gateway: Gateway{ReadyPath: "/readyz"},
		Budgets: Budgets{Shards: tokenbudget.DefaultShards, LostDisks: 1},
		Teams:   Teams{QuotaOverrun: 0.1, QuotaWindow: Duration(5 * time.Second)},
		Stop: Stop{
			DrainLimit:    Duration(10 * time.Minute),
			BalancerDelay: Duration(5 * time.Second),
		},
	}
}
