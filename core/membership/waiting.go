package membership

// Waiting returns the number of tracked items that this VM will own once the
// old owner has certainly stopped.
func (s *State) Waiting() int { return s.waiting }
