package ports

import (
	"net"
	"testing"
)

// The kernel must not assign an address returned by Free to a listener on port 0;
// otherwise another process could take it before the one for which it was found.
func TestFreeAddressesAreNotChosenByTheKernel(t *testing.T) {
	found := map[string]bool{}
	for range 200 {
		address, err := Free()
		if err != nil {
			t.Fatal(err)
		}
		if found[address] {
			t.Errorf("Free returned %s twice", address)
		}
		found[address] = true
	}
	var held []net.Listener
	for range 2000 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, l)
		if found[l.Addr().String()] {
			t.Errorf("the kernel assigned %s, which Free had returned", l.Addr())
		}
	}
	for _, l := range held {
		_ = l.Close()
	}
}
