// Package syncbuf provides a buffer that a test can read while other goroutines write
// to it.
package syncbuf

import (
	"bytes"
	"sync"
)

// Buffer is a byte buffer. It is safe for concurrent use, and the zero value is empty.
type Buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// String returns the bytes written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}
