package srsuspect

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxPartID is the longest ID of a part that is kept as it is, in bytes, shownPartID what is
	// kept of a longer one beside its hash.
	maxPartID   = 64
	shownPartID = 40
	// maxKey is the longest ID of a part or request that other instances report.
	maxKey = 64
)

// Part returns the ID by which a part of a prompt is known: its own, or the beginning and the hash
// of a long one.
func Part(id string) string {
	if len(id) <= maxPartID {
		return id
	}
	return fmt.Sprintf("%s:%016x", id[:shownPartID], xxhash.Sum64String(id))
}

// identityPrefix marks the identity or variant of a request among the parts of prompts, whose
// IDs contain no colon.
const identityPrefix = "request:"

// Identity returns the ID by which requests with this hash are known.
func Identity(hash uint64) string { return fmt.Sprintf("%s%016x", identityPrefix, hash) }

func isIdentity(part string) bool { return strings.HasPrefix(part, identityPrefix) }
