package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// omittedFields are not rendered, because every line has them or the header shows
// them.
var omittedFields = []string{"instance", "request", "program", "data_centre"}

// Render writes the timeline as text.
func (t Timeline) Render(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s", t.Request)
	if t.Program != "" {
		fmt.Fprintf(&b, " of program %s", t.Program)
	}
	fmt.Fprintf(&b, " at %s\n", t.Gateway)
	for _, line := range t.Lines {
		fmt.Fprintf(&b, "%+9.3fs %s: %s%s%s\n",
			line.At.Seconds(), line.Instance, line.Message, formatFields(line.Fields), formatSkew(line.Skew))
	}
	fmt.Fprintf(&b, "cause: %s\n", t.Cause)
	_, err := io.WriteString(w, b.String())
	return err
}

// formatFields formats the fields of a line, sorted by name.
func formatFields(all map[string]any) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if slices.Contains(omittedFields, name) {
			continue
		}
		fmt.Fprintf(&b, " %s=%v", name, all[name])
	}
	return b.String()
}

// formatSkew formats the correction of a daemon's clock, or returns "" for none.
func formatSkew(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return fmt.Sprintf(" (clock corrected by %s)", d.Round(time.Millisecond))
}
