package engine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// tokenMix is the odd 64-bit golden-ratio constant of splitmix64, which distributes consecutive indexes evenly.
const tokenMix = 0x9e3779b97f4a7c15

// Output returns the first n output tokens for the prompt text, which is api/engine.PromptText of the caller's body.
func Output(prompt string, n int64) []string {
	seed := xxhash.Sum64String(prompt)
	tokens := make([]string, 0, n)
	for i := range n {
		tokens = append(tokens, token(seed, i))
	}
	return tokens
}

// token returns output token i for the prompt whose text hashes to seed.
func token(seed uint64, i int64) string {
	x := seed + uint64(i+1)*tokenMix
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	return strconv.FormatUint(x%(36*36*36*36), 36) + " "
}
