// Package srprefix divides prompts into prefix blocks and computes a hash chain over
// them, so that equal hashes mean equal prefixes of one workspace.
//
// # Usage
//
//	work := sr.Work{Prefill: srprefix.Tokens(prompt)}
//	blocks := srprefix.Blocks(workspace, prompt)
//
// The hash of block i identifies the first (i+1)*BlockTokens tokens of the prompt.
package srprefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// TokenBytes is the assumed length of a token in bytes.
	TokenBytes = 4
	// BlockTokens is the length of a prefix block in tokens.
	BlockTokens = 64

	blockBytes = TokenBytes * BlockTokens
	hashBytes  = 8
)

// Tokens returns the number of tokens in prompt, rounded up.
func Tokens(prompt string) int {
	return (len(prompt) + TokenBytes - 1) / TokenBytes
}

// Blocks returns the hash chain of the whole blocks of prompt. A shorter last block has
// no hash. Equal prompts of different workspaces have different hashes.
func Blocks(workspace, prompt string) []uint64 {
	n := len(prompt) / blockBytes
	if n == 0 {
		return nil
	}
	blocks := make([]uint64, n)
	h := xxhash.Sum64String(workspace)
	var buf [hashBytes + blockBytes]byte
	for i := range blocks {
		binary.LittleEndian.PutUint64(buf[:hashBytes], h)
		copy(buf[hashBytes:], prompt[i*blockBytes:(i+1)*blockBytes])
		h = xxhash.Sum64(buf[:])
		blocks[i] = h
	}
	return blocks
}
