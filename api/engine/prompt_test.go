package engine

import (
	"slices"
	"strings"
	"testing"
)

// Guards against router and engines that disagree on the prompt text of one of the forms that callers use.
func TestPromptText(t *testing.T) {
	for body, want := range map[string]string{
		`{"messages":[{"role":"user","content":"a"},{"role":"assistant","content":null}]}`:           "<|user|>\na\n<|assistant|>\n\n",
		`{"messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"image_url"}]}]}`: "<|user|>\na\n",
		`{"prompt":"a"}`:                             "a",
		`{"prompt":["a"]}`:                           "a",
		`{"prompt":["a","b"]}`:                       "",
		`{"prompt":[1,2]}`:                           "",
		`{"messages":[{"role":"user","content":7}]}`: "",
		`{}`: "",
		`[`:  "",
	} {
		got, err := PromptText([]byte(body))
		if got != want || (err != nil) != (want == "") {
			t.Errorf("%s: got %q, %v", body, got, err)
		}
	}
}

// Guards against prompts that share hashes of other blocks than those that their common prefix fills completely.
func FuzzBlockHashes(f *testing.F) {
	f.Add("a", "b", 3000)
	f.Fuzz(func(t *testing.T, x, y string, length int) {
		shared := strings.Repeat("s", min(max(length, 0), 8*CacheBlockBytes))
		hx, hy := BlockHashes(shared+"x"+x), BlockHashes(shared+"y"+y)
		full := len(shared) / CacheBlockBytes
		if !slices.Equal(hx[:full], hy[:full]) {
			t.Fatal("the blocks of the common prefix differ")
		}
		for i := full; i < min(len(hx), len(hy)); i++ {
			if hx[i] == hy[i] {
				t.Fatalf("block %d is equal behind a difference", i)
			}
		}
	})
}

// Guards against a parser of callers' bodies that panics, or returns a text together with an error.
func FuzzPromptText(f *testing.F) {
	f.Add([]byte(`{"messages":[{"role":"user","content":[{"text":"a"}]}],"prompt":"b"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if text, err := PromptText(body); err != nil && text != "" {
			t.Fatalf("text %q with error %v", text, err)
		}
	})
}
