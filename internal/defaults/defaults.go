// Package defaults sets unset fields of a configuration to their default values.
package defaults

import "cmp"

// Set sets field to value if field is zero or negative.
func Set[T cmp.Ordered](field *T, value T) {
	var zero T
	if *field <= zero {
		*field = value
	}
}
