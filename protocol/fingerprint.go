package protocol

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies a request by the properties that stay the same when it is
// repeated with another request id or at another daemon: method, path, caller and body.
// It is the first half of a SHA-256, so that nobody can construct a request that has the
// fingerprint of another caller's request.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. caller is the caller's name, empty
// if the request carries none: an address does not identify a caller, since callers share
// addresses and change them. The host is left out, since it may name the daemon that was
// called. The query counts only if there is no body, which is more specific.
func FingerprintOf(method, path, query, caller string, body []byte) Fingerprint {
	if len(body) > 0 {
		query = ""
	}
	h := sha256.New()
	for _, part := range []string{method, path, query, caller} {
		var length [4]byte
		binary.LittleEndian.PutUint32(length[:], uint32(len(part)))
		_, _ = h.Write(length[:])    // never fails
		_, _ = h.Write([]byte(part)) // never fails
	}
	_, _ = h.Write(body) // never fails
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0])[:len(Fingerprint{})])
}

// String returns the form used in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
