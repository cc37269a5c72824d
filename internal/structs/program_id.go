package structs

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// ShardID identifies a shard of programs: "<region>.<number>". The region is the one
// in which its programs were opened; its home is preferably in that region.
type ShardID string

// NewProgramID returns "<region>.<shard>.<unique>". The unique part is random, or
// derived from entry and key if key is not empty, so that a repeated open returns the
// same program. shards is the number of shards of the region.
func NewProgramID(region string, shards int, entry, key string) string {
	unique := strings.ReplaceAll(uuid.NewString(), "-", "")
	if key != "" {
		namespace := uuid.NewSHA1(uuid.NameSpaceOID, []byte(entry))
		unique = strings.ReplaceAll(uuid.NewSHA1(namespace, []byte(key)).String(), "-", "")
	}
	number := xxhash.Sum64String(unique) % uint64(shards)
	return region + "." + strconv.FormatUint(number, 10) + "." + unique
}

// ShardOf returns the shard of a program. It returns false for a malformed
// identifier.
func ShardOf(program string) (ShardID, bool) {
	separator := strings.LastIndexByte(program, '.')
	if separator <= 0 || separator == len(program)-1 {
		return "", false
	}
	shard := ShardID(program[:separator])
	if shard.Region() == "" {
		return "", false
	}
	return shard, true
}

// Region returns the region of the shard, or "" if the identifier is malformed.
func (s ShardID) Region() string {
	separator := strings.LastIndexByte(string(s), '.')
	if separator <= 0 {
		return ""
	}
	return string(s)[:separator]
}

// NewChildID returns the identifier of a sub-agent. Its shard is that of the parent,
// so that both draw on one budget at one home. The unique part is random, or derived
// from parent, entry and key if key is not empty. It returns false if parent is
// malformed.
func NewChildID(parent, entry, key string) (string, bool) {
	shard, ok := ShardOf(parent)
	if !ok {
		return "", false
	}
	unique := uuid.New()
	if key != "" {
		namespace := uuid.NewSHA1(uuid.NameSpaceOID, []byte(parent))
		namespace = uuid.NewSHA1(namespace, []byte(entry))
		unique = uuid.NewSHA1(namespace, []byte(key))
	}
	return string(shard) + "." + strings.ReplaceAll(unique.String(), "-", ""), true
}
