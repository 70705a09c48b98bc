package backend

import "container/list"

// defaultMaxStatements is the limit of prepared statements on a connection if the
// configuration sets none. Each takes about 10 KB of the upstream's memory.
const defaultMaxStatements = 200

// statementCache records which server-side statements are prepared on a
// connection. The list recency is ordered by last use, most recent first.
type statementCache struct {
	limit   int
	recency *list.List
	byName  map[string]*list.Element
}

// cachedStatement is an entry of statementCache.
type cachedStatement struct {
	name string
	// batch identifies the last batch that used the statement.
	batch uint64
}

func newStatementCache(limit int) *statementCache {
	if limit <= 0 {
		limit = defaultMaxStatements
	}
	return &statementCache{limit: limit, recency: list.New(), byName: map[string]*list.Element{}}
}

// touch reports whether the statement is prepared. If it is, touch marks it as the
// most recently used one and as used by batch.
func (s *statementCache) touch(name string, batch uint64) bool {
	element, ok := s.byName[name]
	if !ok {
		return false
	}
	element.Value.(*cachedStatement).batch = batch
	s.recency.MoveToFront(element)
	return true
}

// add records that batch has prepared the statement.
func (s *statementCache) add(name string, batch uint64) {
	if s.touch(name, batch) {
		return
	}
	s.byName[name] = s.recency.PushFront(&cachedStatement{name: name, batch: batch})
}

// evict removes the least recently used statement if additional statements would
// exceed the limit, and returns its name. It removes nothing if the current batch
// uses that statement.
func (s *statementCache) evict(additional int, batch uint64) (name string, ok bool) {
	if s.recency.Len()+additional <= s.limit {
		return "", false
	}
	last := s.recency.Back()
	if last == nil || last.Value.(*cachedStatement).batch == batch {
		return "", false
	}
	name = last.Value.(*cachedStatement).name
	s.recency.Remove(last)
	delete(s.byName, name)
	return name, true
}
