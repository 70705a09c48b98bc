package backend

import "container/list"

// defaultStatements bounds the prepared statements of a connection when the
// configuration names no bound. Each costs the upstream some 10 KB.
const defaultStatements = 200

// statements remembers which server-side statements a connection has
// prepared, least recently used last.
type statements struct {
	limit int
	order *list.List
	known map[string]*list.Element
}

// statement is one entry of the list.
type statement struct {
	name string
	// batch is the last batch that used the statement.
	batch uint64
}

func newStatements(limit int) *statements {
	if limit <= 0 {
		limit = defaultStatements
	}
	return &statements{limit: limit, order: list.New(), known: map[string]*list.Element{}}
}

// use reports whether the statement is prepared, and marks it as used by batch.
func (s *statements) use(name string, batch uint64) bool {
	element, ok := s.known[name]
	if !ok {
		return false
	}
	element.Value.(*statement).batch = batch
	s.order.MoveToFront(element)
	return true
}

func (s *statements) add(name string, batch uint64) {
	if s.use(name, batch) {
		return
	}
	s.known[name] = s.order.PushFront(&statement{name: name, batch: batch})
}

// evict removes the least recently used statement if coming more statements
// would exceed the limit. A statement that the batch uses stays.
func (s *statements) evict(coming int, batch uint64) (name string, ok bool) {
	if s.order.Len()+coming <= s.limit {
		return "", false
	}
	last := s.order.Back()
	if last == nil || last.Value.(*statement).batch == batch {
		return "", false
	}
	name = last.Value.(*statement).name
	s.order.Remove(last)
	delete(s.known, name)
	return name, true
}
