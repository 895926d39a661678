package srsuspect

import (
	"fmt"
	"strings"
)

// identityPrefix marks the identity of a request among the parts of prompts, whose IDs
// contain no colon.
const identityPrefix = "request:"

// Identity returns the ID by which a request with this hash is known.
func Identity(hash uint64) string { return fmt.Sprintf("%s%016x", identityPrefix, hash) }

func isIdentity(part string) bool { return strings.HasPrefix(part, identityPrefix) }
