package protocol

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// KeyHash stands for a caller's key, which is nowhere kept in clear: the first half of its
// SHA-256. Keys are long and random, so that a hash tells nothing of them.
type KeyHash [16]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(sum[:len(KeyHash{})])
}

// String returns the form used in desired states that daemons pass on to each other.
func (k KeyHash) String() string { return hex.EncodeToString(k[:]) }

// ParseKeyHash is the reverse of KeyHash.String.
func ParseKeyHash(text string) (KeyHash, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(KeyHash{}) {
		return KeyHash{}, Error.New("hash of a key: want %d hexadecimal digits", 2*len(KeyHash{}))
	}
	return KeyHash(raw), nil
}

// Shown says what a request shows of who sends it.
type CredentialKind int

// What a request may show.
const (
	CredentialNone CredentialKind = iota
	CredentialKey
	// ShownUnreadable is a header that names no key: another scheme, an empty key, or
	// several headers, of which nobody could say which one is meant.
	CredentialMalformed
)

// Credential is what a request shows of who sends it.
type Credential struct {
	Kind CredentialKind
	Key  KeyHash // of ShownKey
}

// bearer is the one scheme of authentication; schemes are compared regardless of case.
const bearer = "bearer"

// ReadCredential reads the Authorization headers of a request.
func ReadCredential(headers []string) Credential {
	if len(headers) == 0 {
		return Credential{}
	}
	scheme, key, _ := strings.Cut(strings.TrimSpace(headers[0]), " ")
	key = strings.TrimSpace(key)
	if len(headers) > 1 || !strings.EqualFold(scheme, bearer) || key == "" {
		return Credential{Kind: CredentialMalformed}
	}
	return Credential{Kind: CredentialKey, Key: HashKey(key)}
}
