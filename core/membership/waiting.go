package membership

// WaitingItems returns the number of tracked items that are assigned to this VM
// while their previous owner may still use them.
func (s *State) WaitingItems() int { return s.waiting }
