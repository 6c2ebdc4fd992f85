package protocol

// WriteOutcome is how a conditional write to the platform ended.
type WriteOutcome int

// The outcomes of a conditional write.
const (
	// WriteOK: the write took effect.
	WriteOK WriteOutcome = iota
	// WriteConflict: the version differs; nothing was written.
	WriteConflict
	// WriteUnknown: no usable answer; the write may have taken effect, now or
	// later.
	WriteUnknown
)
