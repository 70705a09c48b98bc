package backend

import "container/list"

// defaultMaxStatements bounds the prepared statements of a connection when the
// configuration names no bound. Each costs the upstream some 10 KB.
const defaultMaxStatements = 200

// statementCache remembers which server-side statements a connection has
// prepared, least recently used last.
type statementCache struct {
	limit   int
	recency *list.List
	byName  map[string]*list.Element
}

// cachedStatement is one entry of the list.
type cachedStatement struct {
	name string
	// batch is the last batch that used the statement.
	batch uint64
}

func newStatementCache(limit int) *statementCache {
	if limit <= 0 {
		limit = defaultMaxStatements
	}
	return &statementCache{limit: limit, recency: list.New(), byName: map[string]*list.Element{}}
}

// touch reports whether the statement is prepared, and marks it as used by batch.
func (s *statementCache) touch(name string, batch uint64) bool {
	element, ok := s.byName[name]
	if !ok {
		return false
	}
	element.Value.(*cachedStatement).batch = batch
	s.recency.MoveToFront(element)
	return true
}

func (s *statementCache) add(name string, batch uint64) {
	if s.touch(name, batch) {
		return
	}
	s.byName[name] = s.recency.PushFront(&cachedStatement{name: name, batch: batch})
}

// evict removes the least recently used statement if coming more statements
// would exceed the limit. A statement that the batch uses stays.
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
