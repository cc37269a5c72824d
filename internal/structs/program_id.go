package structs

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// ShardID names a shard of programs: "<region>.<number>". The region is the one
// in which its programs were opened and in which its home is sought first.
type ShardID string

// NewProgramID returns "<region>.<shard>.<random>". Key, when not empty, replaces
// the random part, so that a repeated open finds the same program.
func NewProgramID(region string, shards int, entry, key string) string {
	unique := strings.ReplaceAll(uuid.NewString(), "-", "")
	if key != "" {
		space := uuid.NewSHA1(uuid.NameSpaceOID, []byte(entry))
		unique = strings.ReplaceAll(uuid.NewSHA1(space, []byte(key)).String(), "-", "")
	}
	number := xxhash.Sum64String(unique) % uint64(shards)
	return region + "." + strconv.FormatUint(number, 10) + "." + unique
}

// ShardOf returns the shard of a program, and false for a malformed identifier.
func ShardOf(program string) (ShardID, bool) {
	cut := strings.LastIndexByte(program, '.')
	if cut <= 0 || cut == len(program)-1 {
		return "", false
	}
	shard := ShardID(program[:cut])
	if shard.Region() == "" {
		return "", false
	}
	return shard, true
}

// Region returns the region part, or "" for a malformed identifier.
func (s ShardID) Region() string {
	cut := strings.LastIndexByte(string(s), '.')
	if cut <= 0 {
		return ""
	}
	return string(s)[:cut]
}

// NewChildID returns the identifier of a sub-agent. It lies in the parent's
// shard, so that both draw on one budget at one home. Key works as in
// NewProgramID. It returns false for a malformed parent.
func NewChildID(parent, entry, key string) (string, bool) {
	shard, ok := ShardOf(parent)
	if !ok {
		return "", false
	}
	unique := uuid.New()
	if key != "" {
		space := uuid.NewSHA1(uuid.NameSpaceOID, []byte(parent))
		space = uuid.NewSHA1(space, []byte(entry))
		unique = uuid.NewSHA1(space, []byte(key))
	}
	return string(shard) + "." + strings.ReplaceAll(unique.String(), "-", ""), true
}
