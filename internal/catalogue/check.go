package catalogue

import (
	"encoding/json"
	"math"
	"regexp"
	"strings"

	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
)

// MaxShare is the maximum share of an entry.
const MaxShare = 1e6

// namePattern matches valid entry, owner and class names.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// Check validates an entry. The error lists every field with an invalid value.
func Check(entry structs.Entry) error {
	var p problems
	p.name("name", entry.Name)
	p.name("owner", entry.Owner)
	p.name("class", entry.Class)
	p.share("share", entry.Share)
	p.count("max_concurrent", entry.MaxConcurrent)
	p.count("max_queued", entry.MaxQueued)
	p.rate("rate_per_second", entry.RatePerSecond)
	p.count("budget_tokens", entry.BudgetTokens)
	p.count("budget_turns", entry.BudgetTurns)
	p.count("budget_calls", entry.BudgetCalls)
	p.count("idle_seconds", entry.IdleSeconds)
	if entry.Baseline != nil {
		p.share("baseline.share", entry.Baseline.Share)
		p.count("baseline.max_concurrent", entry.Baseline.MaxConcurrent)
		p.count("baseline.max_queued", entry.Baseline.MaxQueued)
		p.rate("baseline.rate_per_second", entry.Baseline.RatePerSecond)
	}
	return p.err()
}

// Decode decodes and validates the entry in a platform object. The name in the
// entry must match the object key.
func Decode(object objectapi.Object) (structs.Entry, error) {
	var entry structs.Entry
	if err := json.Unmarshal(object.Value, &entry); err != nil {
		return structs.Entry{}, errors.Wrap(err, "entry is not valid JSON")
	}
	if name := nameOf(object.Key); entry.Name != name {
		return structs.Entry{}, errors.Errorf("name is %q, but the object key is for %q", entry.Name, name)
	}
	if err := Check(entry); err != nil {
		return structs.Entry{}, err
	}
	entry.Version = object.Version
	return entry, nil
}

// Encode returns the value of the platform object of an entry.
func Encode(entry structs.Entry) ([]byte, error) {
	return json.MarshalIndent(entry, "", "  ")
}

// Key returns the key of the platform object of the entry with the given name.
func Key(name string) string { return structs.CataloguePrefix + name }

// nameOf returns the entry name in an object key. It is the inverse of Key.
func nameOf(key string) string { return strings.TrimPrefix(key, structs.CataloguePrefix) }

// problems collects the validation errors of an entry.
type problems []string

func (p *problems) add(field, rule string, value any) {
	*p = append(*p, errors.Errorf("%s is %#v, must be %s", field, value, rule).Error())
}

func (p *problems) name(field, value string) {
	if !namePattern.MatchString(value) {
		p.add(field, "1 to 128 letters, digits, '.', '_' or '-', starting with a letter or digit", value)
	}
}

func (p *problems) share(field string, value float64) {
	if !(value > 0 && value <= MaxShare) {
		p.add(field, "over 0 and at most 1e6", value)
	}
}

func (p *problems) count(field string, value int) {
	if value < 0 {
		p.add(field, "0 (unlimited) or more", value)
	}
}

func (p *problems) rate(field string, value float64) {
	if !(value >= 0) || math.IsInf(value, 0) {
		p.add(field, "0 (unlimited) or more", value)
	}
}

func (p problems) err() error {
	if len(p) == 0 {
		return nil
	}
	return errors.New(strings.Join(p, "; "))
}
