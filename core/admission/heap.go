package admission

// heap is a binary min-heap whose items know their position, so that any of them can
// be removed or moved in logarithmic time.
type heap[T any] struct {
	items []T
	// less reports whether a goes before b.
	less func(a, b T) bool
	// index returns where an item keeps its position, which is -1 outside of the heap.
	index func(T) *int
}

func (h *heap[T]) push(x T) {
	h.items = append(h.items, x)
	*h.index(x) = len(h.items) - 1
	h.up(len(h.items) - 1)
}

func (h *heap[T]) remove(x T) {
	i, last := *h.index(x), len(h.items)-1
	if i < 0 {
		return
	}
	h.swap(i, last)
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	*h.index(x) = -1
	if i < last {
		h.fix(h.items[i])
	}
}

// fix restores the order after the key of x has changed.
func (h *heap[T]) fix(x T) {
	i := *h.index(x)
	if i < 0 {
		return
	}
	h.up(i)
	h.down(*h.index(x))
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]), *h.index(h.items[j]) = i, j
}

func (h *heap[T]) up(i int) {
	for i > 0 && h.less(h.items[i], h.items[(i-1)/2]) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (h *heap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
