// Package defaults fills in what a configuration leaves open.
package defaults

import "cmp"

// Set replaces a field that holds its type's zero value, or less, by value.
func Set[T cmp.Ordered](field *T, value T) {
	var zero T
	if *field <= zero {
		*field = value
	}
}
