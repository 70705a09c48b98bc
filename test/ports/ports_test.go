package ports

import (
	"net"
	"testing"
)

// Guards against addresses that a process of another test gets before the one that
// they were found for: the kernel must not choose them.
func TestFreeAddressesAreNotChosenByTheKernel(t *testing.T) {
	found := map[string]bool{}
	for range 200 {
		address, err := Free()
		if err != nil {
			t.Fatal(err)
		}
		if found[address] {
			t.Errorf("%s was found twice", address)
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
			t.Errorf("the kernel chose %s", l.Addr())
		}
	}
	for _, l := range held {
		_ = l.Close()
	}
}
