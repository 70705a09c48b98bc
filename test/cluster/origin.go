package cluster

import (
	"fmt"
	"maps"
	"net"
	"os"
	"time"
)

// All daemons use the address that the platform's list or the configuration
// has for a target, so a relay cannot tell from the target's address which
// site a connection comes from. The kernel's socket table gives the inode of
// the connecting socket, and the daemons' file descriptors tell whose it is.

// Tries to identify a connection, whose process may still be starting or ending.
const (
	originTries = 20
	originPause = 5 * time.Millisecond
)

// siteOf returns the site of the process that connected. It is "" for the
// calling process, whose upstreams replicate over relays too. ok is false when
// the connection is nobody's; it must not be relayed, since no cut would hold it.
func (n *Network) siteOf(conn net.Conn) (site string, ok bool) {
	for range originTries {
		if inode := socketInode(conn); inode != "" {
			if site, ok := n.ownerOf(inode); ok {
				return site, true
			}
		}
		time.Sleep(originPause)
	}
	return "", false
}

func (n *Network) ownerOf(inode string) (site string, ok bool) {
	n.mu.Lock()
	sites := maps.Clone(n.sites)
	n.mu.Unlock()
	sites[os.Getpid()] = ""
	for pid, site := range sites {
		if hasSocket(pid, inode) {
			return site, true
		}
	}
	return "", false
}

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
