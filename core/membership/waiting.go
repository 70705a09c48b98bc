package membership

// WaitingItems returns the number of tracked items that this VM will own once the
// old owner has certainly stopped.
func (s *State) WaitingItems() int { return s.waiting }
