package quarantine_test

import "flag"

// A run without -rapid.seed always draws the same values.
func init() { _ = flag.Set("rapid.seed", "1") }
