package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"turmericcove.org/cove"
)

func candidates(n int) []cove.Candidate {
	r := rand.New(rand.NewPCG(1, 2))
	cs := make([]cove.Candidate, n)
	for i := range cs {
		cs[i] = cove.Candidate{
			Server: cove.ServerID(fmt.Sprint(i)), Domain: cove.Domain(fmt.Sprint("d", i%21)),
			Limit: 5, Free: r.IntN(5), Outstanding: r.IntN(5), Health: 1,
			Load: r.Float64(), LoadAge: time.Duration(r.IntN(3000)) * time.Millisecond,
			Latency: time.Duration(r.IntN(20)) * time.Millisecond,
		}
	}
	return cs
}

func BenchmarkPick(b *testing.B) {
	for _, name := range Names() {
		for _, n := range []int{12, 100, 1000} {
			p, err := ByName(name)
			if err != nil {
				b.Fatal(err)
			}
			cs := candidates(n)
			var work cove.WorkClass
			now := time.Unix(1, 0)
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					p.Pick(cs, &work, now)
				}
			})
		}
	}
}

func BenchmarkDomains(b *testing.B) {
	cs := candidates(21)
	for i := range cs {
		cs[i].Free = 1000
	}
	var d Domains
	work := cove.WorkClass{}
	now := time.Unix(1, 0)
	b.ReportAllocs()
	for b.Loop() {
		work.Block++
		d.Pick(cs, &work, now)
	}
}
