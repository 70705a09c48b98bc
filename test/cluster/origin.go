package cluster

import (
	"fmt"
	"maps"
	"net"
	"os"
)

// All daemons use the address that the platform's list or the configuration
// has for a target, so a relay cannot tell from the target's address which
// site a connection comes from. The kernel's socket table gives the inode of
// the connecting socket, and the daemons' file descriptors tell whose it is.

// siteOf returns the site of the process that connected. It is "" for the
// calling process, whose upstreams replicate over relays too. ok is false when
// the other end is closed already.
func (n *Network) siteOf(conn net.Conn) (site string, ok bool) {
	inode := peerSocketInode(conn)
	if inode == "" {
		return "", false
	}
	n.mu.Lock()
	sites := maps.Clone(n.sites)
	n.mu.Unlock()
	for pid, site := range sites {
		if hasSocket(pid, inode) {
			return site, true
		}
	}
	// A socket that was closed meanwhile may have been a daemon's.
	return "", peerSocketInode(conn) == inode
}

// hasSocket reports whether a process has a socket open.
func hasSocket(pid int, inode string) bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		if target, err := os.Readlink(dir + "/" + entry.Name()); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
