package dispatch

import (
	"sync"

	"ibisline/internal/catalogue"
)

// entryUsage counts, per catalogue entry, the tokens received and the requests
// waiting at the engines that this daemon dispatches to.
type entryUsage struct {
	mu              sync.Mutex
	receivedTokens  map[string]int64
	waitingRequests map[string]int
}

func newEntryUsage() *entryUsage {
	return &entryUsage{receivedTokens: map[string]int64{}, waitingRequests: map[string]int{}}
}

func (u *entryUsage) addWaiting(entry string, change int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waitingRequests[entry] += change
	if u.waitingRequests[entry] == 0 {
		delete(u.waitingRequests, entry)
	}
}

func (u *entryUsage) addReceived(entry string, tokens float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.receivedTokens[entry] += int64(tokens)
}

// report returns the usage of the catalogue's entries, without those that
// received nothing and have no request waiting.
func (u *entryUsage) report(reader catalogue.Reader) []Share {
	u.mu.Lock()
	defer u.mu.Unlock()
	var shares []Share
	for _, entry := range reader.Entries() {
		received, waiting := u.receivedTokens[entry.Name], u.waitingRequests[entry.Name]
		if received == 0 && waiting == 0 {
			continue
		}
		shares = append(shares, Share{
			Entry:          entry.Name,
			Owner:          entry.Owner,
			Granted:        entry.Share,
			ReceivedTokens: received,
			Waiting:        waiting,
		})
	}
	return shares
}

// Shares returns the granted share and the usage of each active entry at the
// engines of this daemon, sorted by entry name.
func (d *Dispatcher) Shares() []Share { return d.usage.report(d.deps.Catalogue) }
