package member

// Marks holds the versions of the newest changes that a daemon has seen, by the name
// of the changed data.
type Marks map[string]int64

// News supplies and receives the version numbers that probes carry in addition to
// the membership.
type News interface {
	// Marks returns the versions that this daemon has seen.
	Marks() Marks
	// Learn receives the versions that another daemon has seen. It must not block.
	Learn(daemon string, marks Marks)
}

// noNews is used until SetNews is called.
type noNews struct{}

func (noNews) Marks() Marks        { return nil }
func (noNews) Learn(string, Marks) {}

// SetNews sets the versions that probes carry. It must be called before Run.
func (m *Members) SetNews(news News) { m.news = news }

// Hurry probes all targets at once, to send them a new version.
func (m *Members) Hurry() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probeNowLocked()
}

// learn passes on the versions that another daemon has seen.
func (m *Members) learn(daemon string, marks Marks) {
	if daemon != "" && len(marks) > 0 {
		m.news.Learn(daemon, marks)
	}
}
