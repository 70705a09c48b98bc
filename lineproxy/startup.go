package lineproxy

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/lineproto"
)

// startup reads the STARTUP message, which names a database and the caller's key,
// and authorizes the caller. It waits for a configuration before it answers. It
// returns false if the session ends.
func (s *session) startup() bool {
	if err := s.conn.SetReadDeadline(time.Now().Add(startupTimeout)); err != nil {
		return false
	}
	m, err := s.reader.Read()
	if err != nil {
		s.readFailed(err)
		return false
	}
	if m.Word != lineproto.Startup {
		s.refuse(lineproto.Malformed, "STARTUP expected")
		return false
	}
	database, key := lineproto.Cut(m.Rest)
	s.database, s.key = database, catalog.DigestOf(key)
	c := s.awaitCatalog()
	if c == nil {
		s.refuse(lineproto.Busy, "no configuration yet; retry after 1000 ms")
		return false
	}
	if _, _, refusal := s.authorize(c); refusal != nil {
		s.server.decisions.Info("", "session refused", func(e *Entry) {
			e.Str("code", string(refusal.code)).Str("database", s.database).Uint64("config_version", c.Version)
		})
		s.refuse(refusal.code, refusal.text)
		return false
	}
	s.out = lineproto.Append(s.out[:0], lineproto.Ready, string(lineproto.Idle), lineproto.NilValue)
	return s.flush()
}

// awaitCatalog returns the configuration in force, or nil if there is none before
// catalogTimeout.
func (s *session) awaitCatalog() *catalog.Snapshot {
	deadline := time.Now().Add(catalogTimeout)
	for {
		c := s.server.cluster.Catalog()
		if c != nil || time.Now().After(deadline) {
			return c
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// authorize returns the session's route and workspace in configuration c, or the
// refusal. The workspace is empty for callers of anonymous routes whose key is
// unknown.
func (s *session) authorize(c *catalog.Snapshot) (*catalog.Route, model.Workspace, *reply) {
	route := c.Route(s.database)
	if route == nil {
		refusal := failure(lineproto.NoDatabase, "no route has this name")
		return nil, "", &refusal
	}
	if owner := c.WorkspaceByKey(s.key); owner != nil {
		return route, owner.Name, nil
	}
	if route.Anonymous {
		return route, "", nil
	}
	refusal := failure(lineproto.NoAuth, "the key is not known")
	return nil, "", &refusal
}
