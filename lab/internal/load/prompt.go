package load

import (
	"fmt"
	"strconv"
	"strings"
)

// vocabulary has words of different lengths, so that token boundaries do not coincide with word boundaries.
var vocabulary = strings.Fields(`visit log blade fountain pump valve seal wheel belt grinder stone basin order repair
	route morning street customer serial pressure noise leak angle edge handle spare note replaced cleaned measured`)

// Prompt returns the text of a model request. It has bytesPerToken bytes for each prompt token, and requests with the same
// prefix begin with the same text.
func (s Scenario) Prompt(a Arrival, bytesPerToken int64) string {
	m := s.Mixes[a.Mix]
	size := int(a.PromptTokens * max(bytesPerToken, 1))
	shared := 0
	if a.Prefix >= 0 {
		shared = int(float64(size) * m.PrefixPortion)
	}
	var b strings.Builder
	b.Grow(size)
	if shared > 0 {
		s.appendText(&b, shared, "prefix", m.Customer, strconv.Itoa(a.Prefix))
	}
	s.appendText(&b, size-b.Len(), "prompt", m.Customer, strconv.Itoa(a.Seq))
	return b.String()
}

// appendText appends exactly size bytes, which depend only on the seed and the names.
func (s Scenario) appendText(b *strings.Builder, size int, names ...string) {
	rng := newGenerator(s.Seed, names...)
	end := b.Len() + size
	if size > 0 && names[0] == "prompt" {
		head := fmt.Sprintf("%s %s: ", names[1], names[2])
		b.WriteString(head[:min(len(head), size)])
	}
	for b.Len() < end {
		word := vocabulary[rng.IntN(len(vocabulary))]
		b.WriteString(word[:min(len(word), end-b.Len())])
		if b.Len() < end {
			b.WriteByte(' ')
		}
	}
}
