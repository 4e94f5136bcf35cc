package main

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

const (
	// keyBytes is the length of a key before encoding; 256 bits cannot be guessed.
	keyBytes = 32
	// keyPrefix lets scanners for leaked secrets recognize a key.
	keyPrefix = "tw_"
)

// errUnchanged tells editCatalogue that the newest revision already contains the change.
var errUnchanged = errors.New("unchanged")

type keyFlags struct {
	platformFlags
	customer string
	key      string
}

func newKey() *command {
	c := &keyFlags{}
	return &command{
		name:     "key",
		synopsis: "grant or withdraw a customer's key",
		usage: `key grant|withdraw -customer NAME -name NAME

grant makes a new key, stores its digest in the catalogue, and prints the key once; it is kept nowhere else.
withdraw removes the key of that name. Both change the newest revision, and try again if another operator was faster.`,
		hasVerb: true,
		setFlags: func(f *flag.FlagSet) {
			c.register(f)
			f.StringVar(&c.customer, "customer", "", "customer's `name`")
			f.StringVar(&c.key, "name", "", "key's `name`, such as 2026-autumn")
		},
		run: c.run,
	}
}

func (c *keyFlags) run(ctx context.Context, out io.Writer, arguments []string) error {
	if len(arguments) != 1 || c.customer == "" || c.key == "" {
		return fmt.Errorf("%w: key grant|withdraw -customer NAME -name NAME", errUsage)
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	switch arguments[0] {
	case "grant":
		return c.grant(ctx, out, client)
	case "withdraw":
		return c.withdraw(ctx, out, client)
	}
	return fmt.Errorf("%w: %q is neither grant nor withdraw", errUsage, arguments[0])
}

func (c *keyFlags) grant(ctx context.Context, out io.Writer, client port.Platform) error {
	random := make([]byte, keyBytes)
	rand.Read(random) // never fails
	key := keyPrefix + base64.RawURLEncoding.EncodeToString(random)
	digest := config.DigestKey(key)
	version, err := editCatalogue(ctx, client, func(k *catalogue.Catalogue, _ bool) error {
		return addKey(k, c.customer, catalogue.Key{Name: c.key, SHA256: hex.EncodeToString(digest[:])})
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "granted to %s as %s in version %d; the key is shown only now:\n%s\n", c.customer, c.key, version, key)
	return nil
}

func (c *keyFlags) withdraw(ctx context.Context, out io.Writer, client port.Platform) error {
	version, err := editCatalogue(ctx, client, func(k *catalogue.Catalogue, maybeApplied bool) error {
		return removeKey(k, c.customer, c.key, maybeApplied)
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "withdrawn from %s: %s in version %d\n", c.customer, c.key, version)
	return nil
}

func addKey(c *catalogue.Catalogue, customer string, key catalogue.Key) error {
	entry, err := findCustomer(c, customer)
	if err != nil {
		return err
	}
	for _, k := range entry.Keys {
		if k.SHA256 == key.SHA256 {
			return errUnchanged // an earlier write took effect, but its reply was lost
		}
		if k.Name == key.Name {
			return fault.New(fault.BadRequest, fmt.Sprintf("%s already has a key %s; choose another name, or withdraw it first", customer, key.Name))
		}
	}
	entry.Keys = append(entry.Keys, key)
	return nil
}

// removeKey removes a key by name. If an earlier attempt may have removed it, its absence counts as success.
func removeKey(c *catalogue.Catalogue, customer, name string, maybeApplied bool) error {
	entry, err := findCustomer(c, customer)
	if err != nil {
		return err
	}
	for i, k := range entry.Keys {
		if k.Name == name {
			entry.Keys = append(entry.Keys[:i:i], entry.Keys[i+1:]...)
			return nil
		}
	}
	if maybeApplied {
		return errUnchanged
	}
	return fault.New(fault.NotFound, fmt.Sprintf("%s has no key %s; 'tanagerwood get' shows its keys", customer, name))
}

func findCustomer(c *catalogue.Catalogue, name string) (*catalogue.Customer, error) {
	for i := range c.Customers {
		if c.Customers[i].Name == name {
			return &c.Customers[i], nil
		}
	}
	return nil, fault.New(fault.NotFound, fmt.Sprintf("there is no customer %s in the catalogue; correct the name", name))
}

// editCatalogue changes the newest revision and returns the version that contains the change. After a conflict, a lost reply or
// status 429 it reads the catalogue and calls edit again. maybeApplied tells edit that an earlier write may have taken effect.
func editCatalogue(ctx context.Context, client port.Platform, edit func(c *catalogue.Catalogue, maybeApplied bool) error) (uint64, error) {
	maybeApplied := false
	var last error
	for range maxAttempts {
		version, err := editOnce(ctx, client, edit, maybeApplied)
		if err == nil {
			return version, nil
		}
		faultErr := fault.As(err)
		last = err
		switch {
		case faultErr.Kind == fault.Conflict:
			// A stale read leads to conflicts until the platform returns the newest version.
			if sleep(ctx, conflictDelay) != nil {
				return 0, withUnknownOutcome(err, maybeApplied)
			}
			continue
		case faultErr.Kind != fault.PlatformUnavailable:
			return 0, err
		case faultErr.Outcome == openai.Unknown:
			maybeApplied = true
		case faultErr.RetryAfter == 0 && !maybeApplied:
			return 0, err
		}
		if sleep(ctx, retryDelay) != nil {
			break
		}
	}
	return 0, withUnknownOutcome(last, maybeApplied)
}

// withUnknownOutcome returns the error with an unknown outcome if an earlier write may have taken effect.
func withUnknownOutcome(err error, maybeApplied bool) error {
	faultErr := fault.As(err)
	if !maybeApplied {
		return faultErr
	}
	const message = "a reply was lost and the catalogue cannot be read back; check it with 'tanagerwood get' before trying again"
	return fault.Wrap(err, fault.PlatformUnavailable, openai.Unknown, message)
}

func editOnce(ctx context.Context, client port.Platform, edit func(*catalogue.Catalogue, bool) error, maybeApplied bool) (uint64, error) {
	o, err := client.Get(ctx, platform.KindCatalogue, platform.SingletonName)
	if err != nil {
		return 0, err
	}
	c, problems := catalogue.Check(o.Value)
	if len(problems) > 0 {
		return 0, invalidRevisionError(fmt.Sprintf("the newest revision %d", o.Version), problems)
	}
	if err := edit(&c, maybeApplied); err != nil {
		if errors.Is(err, errUnchanged) {
			return o.Version, nil
		}
		return 0, err
	}
	if problems := catalogue.Validate(c); len(problems) > 0 {
		return 0, invalidRevisionError("the changed catalogue", problems)
	}
	value, err := catalogue.Marshal(c)
	if err != nil {
		return 0, err
	}
	return client.Replace(ctx, platform.KindCatalogue, platform.SingletonName, o.Version, value)
}

// invalidRevisionError returns the error for a change that would never take effect, because instances reject invalid revisions.
func invalidRevisionError(what string, problems catalogue.Problems) error {
	cause := problemsError(what, problems)
	return fault.Wrap(cause, fault.InvalidCatalogue, openai.NotRun, "the change would not come into force; apply a valid catalogue first")
}
