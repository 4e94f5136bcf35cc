package catalogue

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"tanagerwood.dev/api/platform"
)

const (
	digestA = "1111111111111111111111111111111111111111111111111111111111111111"
	digestB = "2222222222222222222222222222222222222222222222222222222222222222"
)

// validCatalogue is a catalogue without problems.
const validCatalogue = `{
 "owner": "team",
 "customers": [
  {"name": "a", "owner": "t", "rateTokensPerSecond": 10, "burstTokens": 3000, "keys": [{"name": "k", "sha256": "` + digestA + `"}]},
  {"name": "b", "owner": "t", "rateTokensPerSecond": 10, "burstTokens": 3000, "keys": [{"name": "k", "sha256": "` + digestB + `"}], "models": ["m"]}
 ],
 "classes": [{"name": "c", "kind": "batch", "firstTokenMs": 1, "tokenIntervalMs": 1, "queuePatienceMs": 1, "priority": 1}],
 "models": [{"name": "m", "owner": "t", "class": "c", "bytesPerToken": 1, "kvBytesPerToken": 1, "maxPromptTokens": 1000,
  "maxOutputTokens": 2000, "defaultOutputTokens": 10}],
 "pools": [
  {"name": "p", "owner": "t", "role": "prefill", "model": "m", "prefillTokensPerSecond": 1},
  {"name": "d", "owner": "t", "role": "decode", "model": "m", "slots": 1, "blocks": 3, "blockTokens": 1000, "linkBytesPerSecond": 1},
  {"name": "s", "owner": "t", "role": "service"}
 ],
 "routes": [{"name": "r", "owner": "t", "pathPrefix": "/book", "pool": "s", "repeatable": false, "timeoutMs": 1}],
 "policy": {}
}`

func TestValidCatalogueHasNoProblems(t *testing.T) {
	if _, problems := Check([]byte(validCatalogue)); len(problems) > 0 {
		t.Fatal(problems)
	}
}

// TestEachFaultIsReported guards against a check that no longer finds its fault, or reports the wrong path.
func TestEachFaultIsReported(t *testing.T) {
	route := `{"name": "r2", "owner": "t", "pathPrefix": "/book/", "pool": "s", "repeatable": true, "timeoutMs": 1}, {"name": "r"`
	for _, c := range []struct{ old, new, path, message string }{
		{`"owner": "team"`, `"owner": "team", "colour": 1`, "colour", "unknown field"},
		{`"owner": "team"`, `"Owner": "team"`, "Owner", "unknown field"},
		{`"owner": "team"`, `"owner": "team", "owner": "x"`, "owner", "twice"},
		{`"owner": "team"`, `"owner": 3`, "owner", "expected a text"},
		{`"owner": "team"`, `"owner": "\u0007"`, "owner", "not printable"},
		{`"burstTokens": 3000`, `"burstTokens": 3000.5`, "customers[0].burstTokens", "whole number"},
		{`"burstTokens": 3000`, `"burstTokens": 1e30`, "customers[0].burstTokens", "whole number"},
		{`"burstTokens": 3000`, `"burstTokens": null`, "customers[0].burstTokens", "found null"},
		{`"burstTokens": 3000`, `"burstTokens": 2999`, "customers[0].burstTokens", "largest request"},
		{`"burstTokens": 3000`, `"burstTokens": 9000000000000000000`, "customers[0].burstTokens", "out of bounds"},
		{`"rateTokensPerSecond": 10`, `"rateTokensPerSecond": 0`, "customers[0].rateTokensPerSecond", "out of bounds"},
		{`"rateTokensPerSecond": 10`, `"rateTokensPerSecond": -1`, "customers[0].rateTokensPerSecond", "out of bounds"},
		{`"rateTokensPerSecond": 10`, `"weight": -1, "rateTokensPerSecond": 10`, "customers[0].weight", "out of bounds"},
		{`"name": "b"`, `"name": "a"`, "customers[1].name", "customers[0]"},
		{`"name": "b"`, `"name": "b c"`, "customers[1].name", "not a valid name"},
		{digestB, digestA, "customers[1].keys[0].sha256", "customers[0].keys[0]"},
		{digestB, strings.ToUpper("a" + digestB[1:]), "customers[1].keys[0].sha256", "not a digest"},
		{digestB, emptyDigest, "customers[1].keys[0].sha256", "empty key"},
		{`"models": ["m"]`, `"models": ["n"]`, "customers[1].models[0]", "no model"},
		{`"models": ["m"]`, `"models": ["m", "m"]`, "customers[1].models[1]", "twice"},
		{`"models": ["m"]`, `"models": "m"`, "customers[1].models", "expected a list"},
		{`"class": "c"`, `"class": "x"`, "models[0].class", "no class"},
		{`"defaultOutputTokens": 10`, `"defaultOutputTokens": 2001`, "models[0].defaultOutputTokens", "out of bounds"},
		{`"maxPromptTokens": 1000`, `"maxPromptTokens": 9000000000000000000`, "models[0].maxPromptTokens", "out of bounds"},
		{`"kind": "batch"`, `"kind": "bulk"`, "classes[0].kind", "not a kind"},
		{`"queuePatienceMs": 1`, `"queuePatienceMs": 0`, "classes[0].queuePatienceMs", "out of bounds"},
		{`"role": "prefill"`, `"role": "cache"`, "pools[0].role", "not a role"},
		{`"role": "decode", "model": "m"`, `"role": "decode", "model": "x"`, "pools[1].model", "no model"},
		{`"blocks": 3`, `"blocks": 2`, "pools[1].blocks", "cannot hold"},
		{`"role": "prefill"`, `"role": "prefill", "slots": 1`, "pools[0]", "do not apply"},
		{`"role": "prefill"`, `"role": "prefill", "blocks": 9, "blockTokens": 100`, "pools[0].blocks", "cannot hold"},
		{`"role": "service"`, `"role": "service", "slots": 1`, "pools[2]", "do not apply"},
		{`{"name": "s"`, `{"name": "p2", "owner": "t", "role": "prefill", "model": "m", "prefillTokensPerSecond": 1}, {"name": "s"`, "models[0]", "2 prefill pools"},
		{`"pool": "s"`, `"pool": "d"`, "routes[0].pool", "no service pool"},
		{`"pathPrefix": "/book"`, `"pathPrefix": "/v1/book"`, "routes[0].pathPrefix", "own paths"},
		{`"pathPrefix": "/book"`, `"pathPrefix": "/a/../book"`, "routes[0].pathPrefix", "not a path prefix"},
		{`"pathPrefix": "/book"`, `"pathPrefix": "/"`, "routes[0].pathPrefix", "not a path prefix"},
		{`{"name": "r"`, route, "routes[1].pathPrefix", "overlaps with routes[0]"},
		{`"repeatable": false`, `"repeatable": false, "open": true`, "routes[0].repeatable", "at most once"},
		{`"repeatable": false`, `"repeatable": false, "costTokens": 3001`, "customers[0].burstTokens", "cost of route"},
		{`"policy": {}`, `"policy": {"scheduling": "best"}`, "policy.scheduling", "not a policy"},
		{`"policy": {}`, `"policy": {"retryBudgetPercent": 101}`, "policy.retryBudgetPercent", "out of bounds"},
		{`"policy": {}`, `"policy": {"maxBodyBytes": 1024}}`, "", "data after"},
		{`"policy": {}`, `"policy": {}, "x": [`, "", "not JSON"},
		{`"policy": {}`, `"policy": {}, "x": "` + strings.Repeat("x", platform.MaxValueBytes) + `"`, "", "bytes"},
	} {
		data := strings.Replace(validCatalogue, c.old, c.new, 1)
		if data == validCatalogue {
			t.Fatalf("%s does not occur in the valid catalogue", c.old)
		}
		_, problems := Check([]byte(data))
		if !reports(problems, c.path, c.message) {
			t.Errorf("%.60s: no problem at %q with %q in:\n%v", c.new, c.path, c.message, problems)
		}
	}
}

func reports(problems Problems, path, message string) bool {
	for _, p := range problems {
		if p.Path == path && strings.Contains(p.Message, message) && p.Remedy != "" {
			return true
		}
	}
	return false
}

// TestAllProblemsAtOnce guards against validation that stops at the first fault.
func TestAllProblemsAtOnce(t *testing.T) {
	r := strings.NewReplacer(`"class": "c"`, `"class": "x"`, `"pool": "s"`, `"pool": "x"`, `"blocks": 3`, `"blocks": -3`, digestB, "clear-key")
	_, problems := Check([]byte(r.Replace(validCatalogue)))
	for _, path := range []string{"models[0].class", "routes[0].pool", "pools[1].blocks", "customers[1].keys[0].sha256"} {
		if !reports(problems, path, "") {
			t.Errorf("no problem at %s in:\n%v", path, problems)
		}
	}
	if strings.Contains(problems.Error(), "clear-key") {
		t.Error("a key written in place of its digest must not be repeated in messages")
	}
}

// FuzzCheck guards against panics on malicious input, and against a catalogue that changes when it is encoded and decoded.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(validCatalogue))
	f.Add([]byte(`{"owner":"a","owner":"b","x":{"y":[1,{}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, problems := Check(data)
		if len(problems) > 0 {
			return
		}
		written, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		again, problems := Check(written)
		if len(problems) > 0 {
			t.Fatalf("valid catalogue is refused when written again: %v", problems)
		}
		rewritten, err := json.Marshal(again)
		if err != nil || !bytes.Equal(written, rewritten) || reflect.DeepEqual(again, Catalogue{}) {
			t.Fatalf("catalogue changed when written again: %v", err)
		}
	})
}
