package member

// Marks are the versions of the newest changes that a daemon has seen, by the
// name of what changed.
type Marks map[string]int64

// News is what daemons tell each other with every probe, beside the state of the
// fleet itself.
type News interface {
	// Marks returns what this daemon has seen.
	Marks() Marks
	// Learn takes what another daemon has seen. It must not block.
	Learn(daemon string, marks Marks)
}

// noNews is used until SetNews.
type noNews struct{}

func (noNews) Marks() Marks        { return nil }
func (noNews) Learn(string, Marks) {}

// SetNews sets what probes carry. It is called before Run.
func (m *Members) SetNews(news News) { m.news = news }

// Hurry tells the probed daemons of a new mark at once.
func (m *Members) Hurry() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hurryLocked()
}

// learn passes on what another daemon has seen.
func (m *Members) learn(daemon string, marks Marks) {
	if daemon != "" && len(marks) > 0 {
		m.news.Learn(daemon, marks)
	}
}
