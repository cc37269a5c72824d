// Package load generates open-loop load for daemons and measures the latency of
// whole programs. A profile and a seed determine start times, shapes and pauses
// before the run; latency is measured from the intended start, so that delayed
// starts count as waiting.
package load

import (
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"ibisline/internal/structs"
)

// Duration is a time.Duration that is decoded from the format of
// time.ParseDuration.
type Duration time.Duration

// UnmarshalText parses text with time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Std returns the duration as time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Range is a lower and an upper bound. Values are drawn log-uniformly between
// them, so that most are small and a few are large.
type Range [2]float64

// Profile describes a fleet, its catalogue and the offered load. Untagged
// fields are keys of the TOML file.
type Profile struct {
	Name string
	// Start is the period in which programs start; Drain is the period after it
	// in which they may still end.
	Start Duration
	Drain Duration
	Model string
	Fleet FleetShape
	// Engine applies to all engines.
	Engine EngineShape
	Entry  []structs.Entry
	Work   []Work
	// Slow lists the temporary slowdowns of single engines in runs with
	// stragglers.
	Slow []Slowness
	// FairFrom and FairTo bound the period over which fairness is computed.
	FairFrom Duration `toml:"fair_from"`
	FairTo   Duration `toml:"fair_to"`
}

// FleetShape is the number of processes of the fleet.
type FleetShape struct {
	Regions []string
	// Daemons and Engines hold one count per region, in the order of Regions.
	Daemons  []int
	Engines  []int
	Services int
	Service  string
}

// EngineShape holds the settings of the stand-in engines.
type EngineShape struct {
	KVTokens int `toml:"kv_tokens"`
	MaxBatch int `toml:"max_batch"`
	// CapacityBatch is the batch size at which the inter-token latency reaches its
	// target; an engine's capacity is its throughput at that size.
	CapacityBatch   int      `toml:"capacity_batch"`
	Step            Duration `toml:"step"`
	StepPerSequence Duration `toml:"step_per_sequence"`
	PrefillPerToken Duration `toml:"prefill_per_token"`
	// KVTransfer is the rate at which engines import KV cache from each other,
	// in tokens per second; 0 disables KV transfer.
	KVTransfer float64 `toml:"kv_transfer"`
}

// Slowness slows one engine down during a part of the run. Engine is its index
// over all regions, Speed its speed relative to normal.
type Slowness struct {
	Engine int
	Speed  float64
	From   Duration
	To     Duration
}

// RateChange multiplies the arrival rate of a Work by Factor during a part of
// the run.
type RateChange struct {
	From   Duration
	To     Duration
	Factor float64
}

// Work is a stream of similar programs under one entry.
type Work struct {
	Name  string
	Entry string
	// Load is the fraction of the engines' capacity that the work uses outside of
	// rate changes when all its history is cached.
	Load float64
	// Crest lists the periods with another arrival rate.
	Crest []RateChange
	// Turns is the number of turns of a program. Prompt, Step and Output are the
	// token counts of the first prompt, of each later message and of each answer.
	Turns  Range
	Prompt Range
	Step   Range
	Output Range
	// PauseMS is the duration of a tool run between two turns in milliseconds.
	PauseMS Range `toml:"pause_ms"`
	// Calls is the probability that a non-idempotent call follows a turn.
	Calls float64
	// SubAgents is the number of sub-agents started after the first turn, each
	// with SubTurns turns.
	SubAgents Range `toml:"sub_agents"`
	SubTurns  Range `toml:"sub_turns"`
	// InTime is the latency limit of a program; its caller gives up after it. 0
	// means no limit.
	InTime Duration `toml:"in_time"`
	// Short marks short programs, which must not queue behind long ones.
	Short bool
}

// entryTable is the TOML form of a catalogue entry, with the keys of the JSON
// form.
type entryTable struct {
	Name          string
	Owner         string
	Class         string
	Share         float64
	MaxConcurrent int `toml:"max_concurrent"`
	MaxQueued     int `toml:"max_queued"`
	BudgetTokens  int `toml:"budget_tokens"`
}

// profileTables is the TOML form of a Profile.
type profileTables struct {
	Profile
	Entry []entryTable
}

// ReadProfile reads a profile from the TOML file at path. It returns an error for
// unknown keys and for a work that refers to an unknown entry.
func ReadProfile(path string) (Profile, error) {
	file, err := os.Open(path)
	if err != nil {
		return Profile{}, errors.Wrap(err, "open profile")
	}
	defer file.Close()
	var p profileTables
	decoder := toml.NewDecoder(file).DisallowUnknownFields()
	if err := decoder.Decode(&p); err != nil {
		return Profile{}, errors.Wrapf(err, "decode profile %s", path)
	}
	for _, e := range p.Entry {
		p.Profile.Entry = append(p.Profile.Entry, structs.Entry{
			Name:          e.Name,
			Owner:         e.Owner,
			Class:         e.Class,
			Share:         e.Share,
			MaxConcurrent: e.MaxConcurrent,
			MaxQueued:     e.MaxQueued,
			BudgetTokens:  e.BudgetTokens,
		})
	}
	return p.Profile, p.validate()
}

// validate checks the references to catalogue entries and the counts per region.
func (p *Profile) validate() error {
	for _, work := range p.Work {
		if _, ok := p.EntryOf(work); !ok {
			return errors.Errorf("work %q refers to unknown entry %q", work.Name, work.Entry)
		}
	}
	if len(p.Fleet.Engines) != len(p.Fleet.Regions) || len(p.Fleet.Daemons) != len(p.Fleet.Regions) {
		return errors.New("fleet: daemons and engines must have one count per region")
	}
	return nil
}

// EntryOf returns the catalogue entry that work runs under.
func (p *Profile) EntryOf(work Work) (structs.Entry, bool) {
	for _, entry := range p.Entry {
		if entry.Name == work.Entry {
			return entry, true
		}
	}
	return structs.Entry{}, false
}

// TotalEngines returns the number of engines in all regions.
func (p *Profile) TotalEngines() int {
	total := 0
	for _, n := range p.Fleet.Engines {
		total += n
	}
	return total
}
