package member

import (
	"fmt"
	"testing"

	"ibisline/internal/structs"
)

// BenchmarkOwner is one look-up of the owner of a key among the daemons of a
// region and of the whole target fleet.
func BenchmarkOwner(b *testing.B) {
	for _, size := range []int{9, 175, 350} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			s := &snapshot{known: map[string]structs.Instance{}}
			for i := range size {
				instance := structs.Instance{Name: fmt.Sprintf("entry-%03d", i), Region: "nav-a"}
				s.live = append(s.live, instance)
				s.known[instance.Name] = instance
			}
			s.owners = ownerTables(s.live)
			for b.Loop() {
				if _, ok := s.owner("nav-a", "nav-a.17"); !ok {
					b.Fatal("no owner")
				}
			}
		})
	}
}
