// Package member keeps the daemon's view of the live daemons and of the backend
// servers: peer heartbeats and the platform's lagging lists, combined.
package member

import "ibisline/internal/structs"

// View is a read side of the membership. Snapshots are sorted by name and must
// not be modified.
type View interface {
	Self() structs.Instance
	// Live returns the daemons taken to be alive and not leaving, with Self
	// unless it is leaving.
	Live() []structs.Instance
	// Lookup returns a known daemon, live or leaving.
	Lookup(name string) (structs.Instance, bool)
	// Servers returns the backend servers of the platform's list, leaving ones
	// included.
	Servers() []structs.Server
	// Changed returns a channel that is closed at the next change of either.
	Changed() <-chan struct{}
}
