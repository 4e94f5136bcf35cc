package catalogue

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"path"
	"regexp"
	"strings"
	"unicode"

	"tanagerwood.dev/api/platform"
)

// Limits of the values in a catalogue. They are far above the values of any real deployment, so a greater value is a typing
// error. Within them, the product of two limits fits into 64 bits.
const (
	maxNameBytes     = 63
	maxOwnerBytes    = 200
	maxTokens        = 1e9
	maxRate          = 1e9
	maxWeight        = 1e6
	maxBytesPerToken = 64
	maxKVPerToken    = 1 << 30
	maxMillis        = 24 * 60 * 60 * 1000
	maxPriority      = 1000
	maxSlots         = 1e6
	maxBlocks        = 1e9
	maxBytesRate     = 1e13
	minBodyBytes     = 1 << 10
	maxBodyBytes     = 1 << 30
	// DefaultMaxBodyBytes applies if policy.maxBodyBytes is absent.
	DefaultMaxBodyBytes = 8 << 20
)

var (
	// namePattern keeps names usable in URLs, metrics and log lines without quoting.
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	// modelPattern also allows the organisation prefix and the tag that model names often have.
	modelPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]*$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	emptyDigest   = hex.EncodeToString(sha256.New().Sum(nil))
)

// builtInPaths are the prefixes that the router serves itself.
var builtInPaths = []string{"/v1"}

// Validate returns all problems of a catalogue.
func Validate(c Catalogue) Problems {
	v := &validator{
		catalogue: c,
		models:    index(c.Models, func(m Model) string { return m.Name }),
		classes:   index(c.Classes, func(k Class) string { return k.Name }),
		pools:     index(c.Pools, func(p Pool) string { return p.Name }),
	}
	v.owner("owner", c.Owner)
	v.classList()
	v.modelList()
	v.poolList()
	v.customerList()
	v.routeList()
	v.policy()
	v.size()
	return v.problems
}

type validator struct {
	collector
	catalogue Catalogue
	models    map[string]Model
	classes   map[string]Class
	pools     map[string]Pool
}

func index[T any](list []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(list))
	for _, entry := range list {
		m[name(entry)] = entry
	}
	return m
}

// name checks the syntax of a name and that no other entry of the list has it.
func (v *validator) name(at, name string, pattern *regexp.Regexp, seen map[string]string) {
	if !pattern.MatchString(name) || len(name) > maxNameBytes {
		v.add(at, fmt.Sprintf("use 1 to %d letters, digits, '.', '_' or '-', beginning with a letter or digit", maxNameBytes),
			"%s is not a valid name", quote(name))
		return
	}
	if first, taken := seen[name]; taken {
		v.add(at, "rename one of the two", "%s is already the name of %s", quote(name), first)
		return
	}
	seen[name] = strings.TrimSuffix(at, ".name")
}

func (v *validator) owner(at, owner string) {
	control := strings.ContainsFunc(owner, func(r rune) bool { return unicode.IsControl(r) || r == unicode.ReplacementChar })
	if strings.TrimSpace(owner) == "" || len(owner) > maxOwnerBytes || control {
		v.add(at, fmt.Sprintf("name the team that answers for it, in at most %d bytes", maxOwnerBytes), "the owner is missing or not printable")
	}
}

func (v *validator) bounds(at string, value, least, most int64) {
	if value < least || value > most {
		v.add(at, fmt.Sprintf("set it between %d and %d", least, most), "%d is out of bounds", value)
	}
}

func (v *validator) classList() {
	seen := make(map[string]string)
	for i, class := range v.catalogue.Classes {
		at := fmt.Sprintf("classes[%d]", i)
		v.name(at+".name", class.Name, namePattern, seen)
		if class.Kind != ClassInteractive && class.Kind != ClassBatch {
			v.add(at+".kind", "use interactive or batch", "%s is not a kind of class", quote(string(class.Kind)))
		}
		v.bounds(at+".firstTokenMs", class.FirstTokenMS, 1, maxMillis)
		v.bounds(at+".tokenIntervalMs", class.TokenIntervalMS, 1, maxMillis)
		v.bounds(at+".queuePatienceMs", class.MaxQueueWaitMS, 1, maxMillis)
		v.bounds(at+".priority", int64(class.Priority), -maxPriority, maxPriority)
	}
}

func (v *validator) modelList() {
	seen := make(map[string]string)
	for i, m := range v.catalogue.Models {
		at := fmt.Sprintf("models[%d]", i)
		v.name(at+".name", m.Name, modelPattern, seen)
		v.owner(at+".owner", m.Owner)
		if _, ok := v.classes[m.Class]; !ok {
			v.add(at+".class", "name a class of this catalogue", "there is no class %s", quote(m.Class))
		}
		v.bounds(at+".bytesPerToken", m.BytesPerToken, 1, maxBytesPerToken)
		v.bounds(at+".kvBytesPerToken", m.KVBytesPerToken, 1, maxKVPerToken)
		v.bounds(at+".maxPromptTokens", m.MaxPromptTokens, 1, maxTokens)
		v.bounds(at+".maxOutputTokens", m.MaxOutputTokens, 1, maxTokens)
		if m.DefaultOutputTokens < 1 || m.DefaultOutputTokens > m.MaxOutputTokens {
			v.add(at+".defaultOutputTokens", "set it between 1 and maxOutputTokens", "%d is out of bounds", m.DefaultOutputTokens)
		}
		v.onePool(at, m.Name, RolePrefill)
		v.onePool(at, m.Name, RoleDecode)
	}
}

// onePool checks that a model has exactly one pool of the role; the scheduler pairs endpoints of the two.
func (v *validator) onePool(at, model string, role PoolRole) {
	count := 0
	for _, p := range v.catalogue.Pools {
		if p.Model == model && p.Role == role {
			count++
		}
	}
	if count != 1 {
		v.add(at, fmt.Sprintf("give the model exactly one pool of role %s", role), "the model has %d %s pools", count, role)
	}
}

func (v *validator) poolList() {
	seen := make(map[string]string)
	for i, p := range v.catalogue.Pools {
		at := fmt.Sprintf("pools[%d]", i)
		v.name(at+".name", p.Name, namePattern, seen)
		v.owner(at+".owner", p.Owner)
		switch p.Role {
		case RolePrefill:
			v.modelOf(at, p)
			v.bounds(at+".prefillTokensPerSecond", p.PrefillRate, 1, maxRate)
			v.bounds(at+".blocks", p.Blocks, 0, maxBlocks)
			v.bounds(at+".blockTokens", p.BlockTokens, 0, maxBlocks)
			v.checkCapacity(at, p, func(m Model) int64 { return m.MaxPromptTokens })
			v.absent(at, p.Role, p.Slots != 0 || p.LinkRate != 0, "slots and linkBytesPerSecond")
		case RoleDecode:
			v.modelOf(at, p)
			v.decodePool(at, p)
			v.absent(at, p.Role, p.PrefillRate != 0, "prefillTokensPerSecond")
		case RoleService:
			v.absent(at, p.Role, p.Model != "" || p.Slots != 0 || p.Blocks != 0 || p.BlockTokens != 0 ||
				p.LinkRate != 0 || p.PrefillRate != 0, "model and the fields of engines")
		default:
			v.add(at+".role", "use prefill, decode or service", "%s is not a role", quote(string(p.Role)))
		}
	}
}

func (v *validator) modelOf(at string, p Pool) {
	if _, ok := v.models[p.Model]; !ok {
		v.add(at+".model", "name a model of this catalogue", "there is no model %s", quote(p.Model))
	}
}

func (v *validator) absent(at string, role PoolRole, present bool, fields string) {
	if present {
		v.add(at, "remove "+fields, "the pool has fields that do not apply to role %s", role)
	}
}

func (v *validator) decodePool(at string, p Pool) {
	v.bounds(at+".slots", int64(p.Slots), 1, maxSlots)
	v.bounds(at+".blocks", p.Blocks, 1, maxBlocks)
	v.bounds(at+".blockTokens", p.BlockTokens, 1, maxBlocks)
	v.bounds(at+".linkBytesPerSecond", p.LinkRate, 1, maxBytesRate)
	v.checkCapacity(at, p, largestRequest)
}

// checkCapacity checks that one endpoint can hold the largest request. Blocks of different requests are not shared, so the
// request needs its blocks rounded up. A prefill pool need not state its memory.
func (v *validator) checkCapacity(at string, p Pool, tokens func(Model) int64) {
	m, ok := v.models[p.Model]
	if ok && p.BlockTokens > 0 && (tokens(m)+p.BlockTokens-1)/p.BlockTokens > p.Blocks {
		v.add(at+".blocks", "raise blocks, or lower the model's maxPromptTokens or maxOutputTokens",
			"an endpoint cannot hold the largest request of model %s, which has %d tokens there", quote(m.Name), tokens(m))
	}
}

func largestRequest(m Model) int64 { return m.MaxPromptTokens + m.MaxOutputTokens }

func (v *validator) customerList() {
	seen := make(map[string]string)
	digests := make(map[string]string)
	for i, c := range v.catalogue.Customers {
		at := fmt.Sprintf("customers[%d]", i)
		v.name(at+".name", c.Name, namePattern, seen)
		v.owner(at+".owner", c.Owner)
		v.bounds(at+".rateTokensPerSecond", c.RateTokens, 1, maxRate)
		v.bounds(at+".burstTokens", c.BurstTokens, 1, maxRate)
		v.bounds(at+".weight", c.Weight, 0, maxWeight)
		v.keys(at, c, digests)
		v.modelsOf(at, c)
		v.burst(at, c)
	}
}

func (v *validator) keys(at string, c Customer, digests map[string]string) {
	seen := make(map[string]string)
	for i, k := range c.Keys {
		keyAt := fmt.Sprintf("%s.keys[%d]", at, i)
		v.name(keyAt+".name", k.Name, namePattern, seen)
		if !digestPattern.MatchString(k.SHA256) {
			// The message does not contain the value, which may be a plain-text key that was entered by mistake.
			v.add(keyAt+".sha256", "write the SHA-256 digest of the key as 64 lower-case hexadecimal digits", "not a digest")
			continue
		}
		if k.SHA256 == emptyDigest {
			v.add(keyAt+".sha256", "grant a new key with 'tanagerwood key grant'", "this is the digest of an empty key")
		}
		if first, taken := digests[k.SHA256]; taken {
			v.add(keyAt+".sha256", "grant each customer its own key; withdraw one of the two", "the same digest is at %s", first)
			continue
		}
		digests[k.SHA256] = keyAt
	}
}

func (v *validator) modelsOf(at string, c Customer) {
	seen := make(map[string]bool)
	for i, name := range c.Models {
		modelAt := fmt.Sprintf("%s.models[%d]", at, i)
		if _, ok := v.models[name]; !ok {
			v.add(modelAt, "name a model of this catalogue", "there is no model %s", quote(name))
		}
		if seen[name] {
			v.add(modelAt, "remove one of the two", "model %s appears twice", quote(name))
		}
		seen[name] = true
	}
}

// burst checks that no request and no call within the other limits can exceed the burst; it would never be admitted.
func (v *validator) burst(at string, c Customer) {
	allowed := make(map[string]bool, len(c.Models))
	for _, name := range c.Models {
		allowed[name] = true
	}
	for _, m := range v.catalogue.Models {
		if (len(allowed) == 0 || allowed[m.Name]) && c.BurstTokens < largestRequest(m) {
			v.add(at+".burstTokens", fmt.Sprintf("raise it to at least %d, or leave the model out of the customer's models", largestRequest(m)),
				"%d is less than the largest request of model %s, which would never be admitted", c.BurstTokens, quote(m.Name))
		}
	}
	for _, r := range v.catalogue.Routes {
		if !r.Open && c.BurstTokens < r.CostTokens {
			v.add(at+".burstTokens", "raise it, or lower the route's costTokens",
				"%d is less than the cost of route %s, which would never be admitted", c.BurstTokens, quote(r.Name))
		}
	}
}

func (v *validator) routeList() {
	seen := make(map[string]string)
	prefixes := make(map[string]string)
	for i, r := range v.catalogue.Routes {
		at := fmt.Sprintf("routes[%d]", i)
		v.name(at+".name", r.Name, namePattern, seen)
		v.owner(at+".owner", r.Owner)
		v.prefix(at+".pathPrefix", r.PathPrefix, prefixes)
		if p, ok := v.pools[r.Pool]; !ok || p.Role != RoleService {
			v.add(at+".pool", "name a pool of role service", "there is no service pool %s", quote(r.Pool))
		}
		v.bounds(at+".timeoutMs", r.TimeoutMS, 1, maxMillis)
		v.bounds(at+".costTokens", r.CostTokens, 0, maxTokens)
		if r.Open && r.CostTokens > 0 {
			v.add(at+".costTokens", "remove costTokens, or close the route", "an open route has no customer to charge")
		}
		if r.Open && !r.Repeatable {
			v.add(at+".repeatable", "make the route repeatable, or close it",
				"an open route has no customer to whom a stored answer could be bound, so its calls cannot run at most once")
		}
	}
}

// prefix checks the form of a path prefix. Nested prefixes are allowed, because the longest match wins.
func (v *validator) prefix(at, prefix string, seen map[string]string) {
	trimmed := strings.TrimSuffix(prefix, "/")
	if trimmed == "" || trimmed[0] != '/' || path.Clean(trimmed) != trimmed || strings.ContainsFunc(trimmed, notInPath) {
		v.add(at, "write an absolute path such as /bookings, without '..', '//', query or escapes", "%s is not a path prefix", quote(prefix))
		return
	}
	for _, builtIn := range builtInPaths {
		if trimmed == builtIn || strings.HasPrefix(trimmed, builtIn+"/") {
			v.add(at, "use a path outside "+builtIn, "%s overlaps the router's own paths", quote(prefix))
		}
	}
	if first, taken := seen[trimmed]; taken {
		v.add(at, "remove one of the two routes or change its prefix", "the prefix overlaps with %s", first)
		return
	}
	seen[trimmed] = strings.TrimSuffix(at, ".pathPrefix")
}

func notInPath(r rune) bool {
	return r <= ' ' || r >= unicode.MaxASCII || strings.ContainsRune(`%?#*{}\"`, r)
}

func (v *validator) policy() {
	p := v.catalogue.Policy
	switch p.Scheduling {
	case "", PolicyReserve, PolicyTwoChoices, PolicyRandom, PolicyLeastLoaded, PolicyPrefillFirst:
	default:
		v.add("policy.scheduling", "use reserve, two-choices, random, least-loaded or prefill-first", "%s is not a policy", quote(string(p.Scheduling)))
	}
	v.bounds("policy.retryBudgetPercent", int64(p.RetryBudgetPercent), 0, 100)
	limit := p.MaxBodyBytes
	if limit == 0 {
		limit = DefaultMaxBodyBytes
	}
	v.bounds("policy.maxBodyBytes", limit, minBodyBytes, maxBodyBytes)
	for i, m := range v.catalogue.Models {
		if m.MaxPromptTokens > 0 && m.BytesPerToken > 0 && m.MaxPromptTokens > limit/m.BytesPerToken {
			v.add(fmt.Sprintf("models[%d].maxPromptTokens", i), "raise policy.maxBodyBytes or lower maxPromptTokens",
				"a prompt of %d tokens does not fit into a body of %d bytes", m.MaxPromptTokens, limit)
		}
	}
}

func (v *validator) size() {
	data, err := json.Marshal(v.catalogue)
	if err == nil && len(data) > platform.MaxValueBytes {
		v.add("", fmt.Sprintf("shorten it to the platform's limit of %d bytes", platform.MaxValueBytes), "the catalogue has %d bytes", len(data))
	}
}

// quote shortens and escapes a value of unknown origin for a message.
func quote(s string) string {
	if len(s) > maxNameBytes {
		s = s[:maxNameBytes] + "…"
	}
	return fmt.Sprintf("%q", s)
}
