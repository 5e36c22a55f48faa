package transfer

import (
	"fmt"
	"strings"
	"testing"
)

// routesText returns the text of n routes, 180 bytes each, of which one depends on version.
func routesText(n, version int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":"r%d","virtualHosts":[`, version)
	for i := range n {
		timeout := 1000 + i*7919%20*100
		if i == n/2 {
			timeout += version
		}
		fmt.Fprintf(&b, `{"hostname":"h%07d.example","paths":[{"name":"r-%07d","prefix":"/%07d/","routeType":"safe","timeout":"%dms","targetLatency":"800ms","priority":2,"service":"s%d","maxAttempts":2}]},`, i*7919%9999991, i*104729%9999991, i*15485863%9999991, timeout, i%43)
	}
	b.WriteString("]}")
	return []byte(b.String())
}

// BenchmarkChange measures a change of one route at the size of today's grown deployments and
// at that of the target.
func BenchmarkChange(b *testing.B) {
	for _, routes := range []int{4200, 22000} {
		base, target := routesText(routes, 7), routesText(routes, 8)
		digest := Digest(target)
		diff, err := Diff(base, target)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("diff of %d routes", routes), func(b *testing.B) {
			b.ReportMetric(float64(len(target)), "B/whole")
			b.ReportMetric(float64(len(Compress(target))), "B/compressed")
			b.ReportMetric(float64(len(diff)), "B/diff")
			b.ReportAllocs()
			for range b.N {
				if _, err := Diff(base, target); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("patch of %d routes", routes), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if _, err := Patch(base, diff, digest); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
