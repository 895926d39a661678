package srengine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	wordBits = 28
	wordBase = 16
	// wordGuard is a bit above the others that gives every word the same length.
	wordGuard = 1 << wordBits
	// earlyStopDivisor bounds early stops: at least 1/8 of the requested tokens
	// are generated.
	earlyStopDivisor = 8
)

// Digest returns the hash by which runs of a prompt are counted.
func Digest(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Answer returns the complete answer to prompt, one string per token. The tokens
// are derived from the prompt, so different prompts have different answers.
func Answer(prompt string, tokens int) []string {
	digest := Digest(prompt)
	texts := make([]string, tokens)
	for i := range texts {
		texts[i] = word(digest, i)
	}
	return texts
}

// Length returns the number of tokens in the answer to prompt when EarlyStop is
// set: at least an eighth of tokens, at most all of them.
func Length(prompt string, tokens int) int {
	minimum := max(tokens/earlyStopDivisor, 1)
	spread := uint64(tokens - minimum + 1)
	return minimum + int(mix(Digest(prompt))%spread)
}

func word(digest uint64, i int) string {
	n := mix(digest+uint64(i))>>(64-wordBits) | wordGuard
	return strconv.FormatUint(n, wordBase) + " "
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
