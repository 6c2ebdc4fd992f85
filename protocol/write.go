package protocol

// WriteOutcome is the outcome of a conditional write to the platform.
type WriteOutcome int

// The outcomes of a conditional write.
const (
	// WriteOK: the write took effect.
	WriteOK WriteOutcome = iota
	// WriteConflict: the version differs; nothing was written.
	WriteConflict
	// WriteUnknown: there was no usable answer; the write may have taken effect
	// or may still do so.
	WriteUnknown
)
