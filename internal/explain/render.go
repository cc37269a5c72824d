package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// hidden are fields that every line of a story has or that its head tells.
var hidden = []string{"instance", "request", "program", "data_centre"}

// Render writes a story as text.
func (s Story) Render(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s", s.Request)
	if s.Program != "" {
		fmt.Fprintf(&b, " of program %s", s.Program)
	}
	fmt.Fprintf(&b, " at %s\n", s.Gateway)
	for _, line := range s.Lines {
		fmt.Fprintf(&b, "%+9.3fs %s: %s%s%s\n", line.At.Seconds(), line.Instance, line.Message, fields(line.Fields), skew(line.Skew))
	}
	fmt.Fprintf(&b, "cause: %s\n", s.Cause)
	_, err := io.WriteString(w, b.String())
	return err
}

// fields formats the fields of a line, sorted by name.
func fields(all map[string]any) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if slices.Contains(hidden, name) {
			continue
		}
		fmt.Fprintf(&b, " %s=%v", name, all[name])
	}
	return b.String()
}

// skew says that a daemon's clock was corrected.
func skew(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return fmt.Sprintf(" (clock corrected by %s)", d.Round(time.Millisecond))
}
