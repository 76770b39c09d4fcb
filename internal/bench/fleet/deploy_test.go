package fleet

import (
	"net/netip"
	"testing"
)

// Guards against two ports of one rig that are the same: the second host then
// fails to start.
func TestFreeAddrGivesNoAddressTwice(t *testing.T) {
	seen := make(map[netip.AddrPort]bool)
	for range 2000 {
		addr, err := freeAddr()
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Fatalf("%s was given twice", addr)
		}
		seen[addr] = true
	}
}
