package customer

import "crypto/sha256"

// KeyHash is the SHA-256 hash of a key. The zero value stands for no key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// IsZero reports whether h stands for no key.
func (h KeyHash) IsZero() bool { return h == KeyHash{} }

// String returns a fixed text, so that a formatted request reveals nothing about its key.
func (KeyHash) String() string { return "key" }
