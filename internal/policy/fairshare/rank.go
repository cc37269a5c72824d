package fairshare

import "time"

// Classes of work. An unknown class counts as Standard.
const (
	// Interactive work has a person waiting for it, such as at a till.
	Interactive = "interactive"
	Standard    = "standard"
	// Batch work has no one waiting for the single answer.
	Batch = "batch"
)

const (
	standardDelay = 60 * time.Second
	batchDelay    = 90 * time.Second
	// freeService is the attained service, in tokens, up to which a program
	// counts as short. What it has beyond is converted to delay by serviceRate,
	// in tokens a second.
	freeService     = 16_000.0
	serviceRate     = 8000.0
	maxServiceDelay = 30 * time.Second
	// maxAgeCredit bounds the time for which a short program is moved forward
	// because it began earlier, so that those begun are finished first.
	maxAgeCredit = 30 * time.Second
)

// MaxDelay bounds how much later than by arrival a request may be ranked.
const MaxDelay = batchDelay + maxServiceDelay + maxAgeCredit

// Rank is the time by which an owner's requests are ordered: the arrival, put
// back by class and by the service attained, and forward by a short program's
// age.
func Rank(item *Item) time.Time {
	return item.Arrived.Add(classDelay(item.Class) + serviceDelay(item.Attained) - ageCredit(item))
}

func ageCredit(item *Item) time.Duration {
	if item.Attained > freeService {
		return 0
	}
	return min(max(item.Age, 0), maxAgeCredit)
}

func classDelay(class string) time.Duration {
	switch class {
	case Interactive:
		return 0
	case Batch:
		return batchDelay
	default:
		return standardDelay
	}
}

func serviceDelay(attained float64) time.Duration {
	seconds := max(attained-freeService, 0) / serviceRate
	if seconds >= maxServiceDelay.Seconds() {
		return maxServiceDelay
	}
	return time.Duration(seconds * float64(time.Second))
}
