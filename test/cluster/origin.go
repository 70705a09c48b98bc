package cluster

import (
	"maps"
	"net"

	"github.com/chervilhatch/chervilhatch/test/procsocket"
)

// All daemons connect to the same address of a target, which is in the
// platform's list or in the configuration, so a relay cannot derive the site of
// a client from the address it listens on. It looks up the inode of the client's
// socket in the kernel and finds the daemon that has the socket open.

// siteOf returns the site of the process at the client end of conn. The site is
// "" for the calling process, whose upstream stand-ins replicate over relays
// too. ok is false if the client has already closed its socket.
func (n *Network) siteOf(conn net.Conn) (site string, ok bool) {
	inode := procsocket.PeerInode(conn)
	if inode == "" {
		return "", false
	}
	n.mu.Lock()
	sites := maps.Clone(n.sites)
	n.mu.Unlock()
	for pid, site := range sites {
		if procsocket.HasSocket(pid, inode) {
			return site, true
		}
	}
	// If the socket was closed during the search, it may have been a daemon's.
	return "", procsocket.PeerInode(conn) == inode
}
