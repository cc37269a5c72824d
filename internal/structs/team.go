package structs

import "crypto/sha256"

// Team is a group of callers that shares a quota. Its callers prove by a key that they belong to it.
type Team struct {
	Name string
	// Keys are the digests of its keys. The keys themselves are not kept.
	Keys []KeyDigest
	// Priority takes precedence over that of a route; 0 is the highest.
	Priority int
	// PerSecond and Burst are the quota of the team in requests, for all daemons together; a PerSecond of
	// 0 means no limit.
	PerSecond float64
	Burst     float64
}

// KeyDigest is the digest of a key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }
