package member

import (
	"fmt"
	"testing"

	"ibisline/internal/structs"
)

// BenchmarkOwner measures one lookup of the owner of a key. The target fleet has 175
// daemons per region and 350 in total.
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

// BenchmarkKeyBalance assigns keys to the 175 daemons of a region. Over 20 fleets with
// different names it reports the mean of the largest number of keys per daemon, and
// the percentage of daemons without a key.
func BenchmarkKeyBalance(b *testing.B) {
	const daemons, fleets = 175, 20
	for _, keys := range []int{88, 175, 300, 350, 700} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			most, without := 0, 0
			for b.Loop() {
				most, without = 0, 0
				for fleet := range fleets {
					counts := countKeysByOwner(keys, daemons, fleet)
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

// countKeysByOwner returns the number of keys that each daemon of a fleet owns.
// Daemons without a key are omitted.
func countKeysByOwner(keys, daemons, fleet int) map[string]int {
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
