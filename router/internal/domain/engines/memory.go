package engines

import "tanagerwood.dev/router/internal/domain/inflight"

// prefillMemoryFraction is the fraction of a prefill engine's memory that queued prompts may take. The rest holds the KV caches that
// decode engines have not fetched yet, and prompts that other instances have sent and not reported yet.
const prefillMemoryFraction = 0.8

// HoldsPrompt reports whether a prefill engine with the given load and memory in tokens has memory for another prompt. A memory of
// zero is unknown and not limited.
func HoldsPrompt(load inflight.Load, prompt, memory int64) bool {
	if memory <= 0 {
		return true
	}
	return prompt <= memory && (load.Requests == 0 || float64(load.Tokens+prompt) <= prefillMemoryFraction*float64(memory))
}
