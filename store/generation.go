package store

// revisionBits is the size of the part of a revision that counts the changes within a
// generation of the store.
const revisionBits = 36

// MaxNumber is the highest number of a change within a generation, and MaxGeneration the
// highest generation, so that a revision times 1024 fits into 63 bits.
const (
	MaxNumber     = 1<<revisionBits - 1
	MaxGeneration = 1<<(63-revisionBits-10) - 1
)

// Revision returns the revision of the change with the given number in a generation of
// the store. The store enters a new generation each time it comes back from an older
// copy of itself and then gives numbers out again, so revisions of a later generation
// are higher. A store that does not come back from copies stays in generation 0.
func Revision(generation, number int64) int64 { return generation<<revisionBits | number }

// Generation returns the generation of a revision.
func Generation(revision int64) int64 { return revision >> revisionBits }

// Number returns the number of a revision's change within its generation.
func Number(revision int64) int64 { return revision & MaxNumber }

// GenerationChange tells that the store was found to be in another generation.
type GenerationChange struct {
	// First is true for the first answer of the store, which only shows the generation.
	First    bool
	Old, New int64
	// Call is the name of the call whose answer showed it.
	Call string
}

// Generational is implemented by a Store that may come back from an older copy of
// itself.
type Generational interface {
	// OnGeneration sets a function that is called at each GenerationChange, before the
	// call that showed it returns. It has to be set before the first call, and must not call
	// the store.
	OnGeneration(fn func(GenerationChange))
}
