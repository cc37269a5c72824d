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

// BenchmarkBalance deals keys to the 175 daemons of a region, and reports the
// most that one has, the mean over 20 fleets of other names, and the part of the
// daemons that have none.
func BenchmarkBalance(b *testing.B) {
	const daemons, fleets = 175, 20
	for _, keys := range []int{88, 175, 300, 350, 700} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			most, without := 0, 0
			for b.Loop() {
				most, without = 0, 0
				for fleet := range fleets {
					counts := deal(keys, daemons, fleet)
					largest := 0
					for _, count := range counts {
						largest = max(largest, count)
					}
					most += largest
					without += daemons - len(counts)
				}
			}
			b.ReportMetric(float64(most)/fleets, "most")
			b.ReportMetric(100*float64(without)/(fleets*daemons), "%none")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// deal returns the number of keys that each daemon of a fleet owns, without those
// that own none.
func deal(keys, daemons, fleet int) map[string]int {
	var live []structs.Instance
	known := map[string]structs.Instance{}
	for i := range daemons {
		instance := structs.Instance{Name: fmt.Sprintf("entry-%d-%d", fleet, i), Region: "nav-a"}
		live = append(live, instance)
		known[instance.Name] = instance
	}
	s := &snapshot{known: known, owners: ownerTables(live)}
	counts := map[string]int{}
	for i := range keys {
		owner, _ := s.owner("nav-a", fmt.Sprintf("nav-a.%d", i))
		counts[owner.Name]++
	}
	return counts
}
