package protocol

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// KeyHash identifies a caller's key, which is never kept in clear text: it is the first half of
// the key's SHA-256. Keys are long and random, so a hash reveals nothing about them.
type KeyHash [16]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(sum[:len(KeyHash{})])
}

// String returns the hexadecimal form used in desired states that daemons send to each other.
func (k KeyHash) String() string { return hex.EncodeToString(k[:]) }

// ParseKeyHash parses the form that KeyHash.String returns.
func ParseKeyHash(text string) (KeyHash, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(KeyHash{}) {
		return KeyHash{}, Error.New("hash of a key: want %d hexadecimal digits", 2*len(KeyHash{}))
	}
	return KeyHash(raw), nil
}

// CredentialKind is the kind of credential that a request carries.
type CredentialKind int

// The kinds of credential.
const (
	CredentialNone CredentialKind = iota
	CredentialKey
	// CredentialMalformed is a header without a usable key: another scheme, an empty key, or
	// several headers, of which it is not clear which one applies.
	CredentialMalformed
)

// Credential is what a request carries to authenticate its caller.
type Credential struct {
	Kind CredentialKind
	Key  KeyHash // set for CredentialKey only
}

// bearer is the only supported authentication scheme; schemes are compared regardless of case.
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
