package member

import (
	"fmt"
	"testing"
	"time"

	"turmericcove.org/cove"
)

func dump(f *fleet) string {
	s := ""
	for _, h := range f.list {
		s += string(h.ID) + ":"
		for _, g := range f.list {
			st, _ := f.procs[h.ID].state(g.ID)
			s += " " + st.String()[:2]
		}
		s += "\n"
	}
	return s
}

func TestQuick(t *testing.T) {
	f := newFleet(map[cove.Domain]int{"a": 3, "b": 2, "c": 1})
	f.run(3*time.Second, nil)
	fmt.Println(dump(f))
	f.procs["a01"].up = false
	f.run(2500*time.Millisecond, nil)
	fmt.Println(dump(f))
	f.start("a01")
	f.run(3000*time.Millisecond, nil)
	fmt.Println(dump(f))
	for _, o := range f.list {
		if o.Domain != "a" {
			for _, h := range f.list {
				if h.Domain == "a" {
					f.cut[[2]cove.HostID{o.ID, h.ID}] = true
					f.cut[[2]cove.HostID{h.ID, o.ID}] = true
				}
			}
		}
	}
	f.run(3000*time.Millisecond, nil)
	fmt.Println(dump(f))
	clear(f.cut)
	f.run(3000*time.Millisecond, nil)
	fmt.Println(dump(f))
	f.run(10*time.Second, nil)
	clear(f.bytes)
	clear(f.messages)
	f.run(10*time.Second, nil)
	fmt.Println(f.bytes, f.messages)
}
