package srengine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	wordBits = 28
	wordBase = 16
	// wordGuard keeps every word at the same length.
	wordGuard = 1 << wordBits
	// shortest is the shortest part of the tokens asked for that EarlyStop leaves.
	earlyStopDivisor = 8
)

// Digest is the hash by which prompts are counted.
func Digest(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Answer returns the whole answer to prompt, one string a token. The texts
// depend on the prompt, so the answer to another prompt differs.
func Answer(prompt string, tokens int) []string {
	digest := Digest(prompt)
	texts := make([]string, tokens)
	for i := range texts {
		texts[i] = word(digest, i)
	}
	return texts
}

// Length returns the length of the answer to prompt in tokens when the engine
// stops early: at least an eighth of tokens, at most all.
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
