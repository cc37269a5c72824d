package dispatch

import (
	"sync"

	"ibisline/internal/catalogue"
)

// account counts what each entry received and has waiting at the engines that
// this daemon dispatches to.
type account struct {
	mu       sync.Mutex
	received map[string]int64
	waiting  map[string]int
}

func newAccount() *account {
	return &account{received: map[string]int64{}, waiting: map[string]int{}}
}

func (a *account) addWaiting(entry string, change int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting[entry] += change
	if a.waiting[entry] == 0 {
		delete(a.waiting, entry)
	}
}

func (a *account) addReceived(entry string, tokens float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.received[entry] += int64(tokens)
}

// report lists the entries of the catalogue that received something or wait.
func (a *account) report(reader catalogue.Reader) []Share {
	a.mu.Lock()
	defer a.mu.Unlock()
	var shares []Share
	for _, entry := range reader.Entries() {
		received, waiting := a.received[entry.Name], a.waiting[entry.Name]
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

// Shares reports what entries were granted and received at the engines of this
// daemon, in the order of their names.
func (d *Dispatcher) Shares() []Share { return d.account.report(d.deps.Catalogue) }
