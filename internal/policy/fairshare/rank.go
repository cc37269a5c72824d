package fairshare

import "time"

// Classes of work. An unknown class is treated as Standard.
const (
	// Interactive work has a person waiting for the result, such as a cashier.
	Interactive = "interactive"
	Standard    = "standard"
	// Batch work has nobody waiting for the individual answer.
	Batch = "batch"
)

const (
	standardDelay = 60 * time.Second
	batchDelay    = 90 * time.Second
	// freeServiceTokens is the attained service up to which a program counts as
	// short. Attained service beyond it is converted to delay at the rate of
	// serviceTokensPerSecond.
	freeServiceTokens      = 16_000.0
	serviceTokensPerSecond = 8000.0
	maxServiceDelay        = 30 * time.Second
	// maxAgeCredit bounds the advance of a short program by its age. The advance
	// lets programs that are in progress finish before new ones start.
	maxAgeCredit = 30 * time.Second
)

// MaxDelay is the upper bound of the time between the arrivals of two requests of
// one owner of which the later one is granted first.
const MaxDelay = batchDelay + maxServiceDelay + maxAgeCredit

// Rank returns the time by which an owner's requests are ordered: the arrival,
// delayed by class and attained service and advanced by the age of a short program.
func Rank(item *Item) time.Time {
	return item.Arrived.Add(classDelay(item.Class) + serviceDelay(item.Attained) - ageCredit(item))
}

func ageCredit(item *Item) time.Duration {
	if item.Attained > freeServiceTokens {
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
	seconds := max(attained-freeServiceTokens, 0) / serviceTokensPerSecond
	if seconds >= maxServiceDelay.Seconds() {
		return maxServiceDelay
	}
	return time.Duration(seconds * float64(time.Second))
}
