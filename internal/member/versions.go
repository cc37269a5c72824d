package member

import "time"

// Versions holds the versions of the newest changes that a daemon has seen, by the name
// of the changed data.
type Versions map[string]int64

// VersionExchange supplies and receives the version numbers that probes carry in
// addition to the membership.
type VersionExchange interface {
	// Versions returns the versions that this daemon has seen.
	Versions() Versions
	// Observe receives the versions that another daemon has seen. It must not block.
	// AskedAt is the time of a clock of the implementation at which it was asked for them, as Now
	// returned it, or 0 if it sent them unasked.
	Observe(daemon string, versions Versions, askedAt time.Duration)
	// Now returns the time of that clock.
	Now() time.Duration
}

// noVersions is used until SetVersionExchange is called.
type noVersions struct{}

func (noVersions) Versions() Versions                      { return nil }
func (noVersions) Observe(string, Versions, time.Duration) {}
func (noVersions) Now() time.Duration                      { return 0 }

// SetVersionExchange sets the source and receiver of the versions that probes carry.
// It must be called before Run.
func (m *Members) SetVersionExchange(exchange VersionExchange) { m.versions = exchange }

// ProbeNow probes all targets at once, to send them a new version.
func (m *Members) ProbeNow() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probeNowLocked()
}

// observe passes on the versions that another daemon has seen.
func (m *Members) observe(daemon string, versions Versions, askedAt time.Duration) {
	if daemon != "" && len(versions) > 0 {
		m.versions.Observe(daemon, versions, askedAt)
	}
}
