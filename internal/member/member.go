// Package member maintains a daemon's view of the live daemons and of the backend
// servers, from heartbeats between daemons and the platform's lagging lists.
package member

import "ibisline/internal/structs"

// View is the read side of the membership. The returned slices are sorted by name
// and must not be modified.
type View interface {
	Self() structs.Instance
	// Live returns the alive and suspected daemons that are not leaving, Self
	// included unless it is leaving.
	Live() []structs.Instance
	// Reachable returns the daemons not considered dead, leaving ones and Self included. Evidence
	// that several daemons hold must be gathered from these: a leaving one still holds its part.
	Reachable() []structs.Instance
	// Lookup returns a known daemon, live or leaving, and false if there is none.
	Lookup(name string) (structs.Instance, bool)
	// Servers returns the backend servers of the platform's list, leaving ones
	// included.
	Servers() []structs.Server
	// Changed returns a channel that is closed at the next change of the view.
	Changed() <-chan struct{}
}
