package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"tanagerwood.dev/lab/standin/engine"
)

// engineCommand runs one stand-in for a model engine.
type engineCommand struct {
	listen    string
	role      string
	zeroDelay bool
	opts      engine.Options
}

// Name implements subcommands.Command.
func (*engineCommand) Name() string { return "engine" }

// Synopsis implements subcommands.Command.
func (*engineCommand) Synopsis() string { return "run a stand-in for a model engine" }

// Usage implements subcommands.Command.
func (*engineCommand) Usage() string {
	return "engine [flags]\n  Every flag can be set as TANAGERLAB_<FLAG>, for instance TANAGERLAB_PREFILL_RATE.\n"
}

// SetFlags implements subcommands.Command.
func (c *engineCommand) SetFlags(f *flag.FlagSet) {
	d := engine.DefaultOptions()
	f.StringVar(&c.listen, "listen", "127.0.0.1:7100", "address to listen on")
	f.StringVar(&c.role, "role", string(d.Role), "prefill, decode or both")
	f.BoolVar(&c.zeroDelay, "zero-delay", false, "answer without any delay, to measure the router's own cost")
	f.StringVar(&c.opts.Name, "name", d.Name, "name of the endpoint")
	f.StringVar(&c.opts.Model, "model", d.Model, "model that is served")
	f.StringVar(&c.opts.URL, "url", "", "base URL that other engines fetch KV cache from; the request's Host if empty")
	f.IntVar(&c.opts.Slots, "slots", d.Slots, "requests that decode at once")
	f.Int64Var(&c.opts.Blocks, "blocks", d.Blocks, "KV cache memory, in blocks")
	f.Int64Var(&c.opts.BlockTokens, "block-tokens", d.BlockTokens, "tokens per block")
	f.Int64Var(&c.opts.BytesPerToken, "bytes-per-token", d.BytesPerToken, "prompt bytes per token")
	f.Int64Var(&c.opts.KVBytesPerToken, "kv-bytes-per-token", d.KVBytesPerToken, "size of the KV cache of a token, in bytes")
	f.Float64Var(&c.opts.PrefillRate, "prefill-rate", d.PrefillRate, "prefill speed in tokens a second")
	f.DurationVar(&c.opts.TokenInterval, "token-interval", d.TokenInterval, "time between tokens of a request that decodes alone")
	f.Float64Var(&c.opts.IntervalGrowth, "interval-growth", d.IntervalGrowth, "part of the interval that each further request adds")
	f.Float64Var(&c.opts.LinkRate, "link-rate", d.LinkRate, "rate of the KV cache link in bytes a second")
	f.DurationVar(&c.opts.KVExpiry, "kv-expiry", d.KVExpiry, "how long unused exported KV cache is kept")
	f.IntVar(&c.opts.PrefixCacheBlocks, "cache-blocks", d.PrefixCacheBlocks, "prefix cache size, in blocks of prompt text")
	f.DurationVar(&c.opts.CacheEventDelay, "cache-event-delay", d.CacheEventDelay, "age at which cache events become visible")
	f.Float64Var(&c.opts.CacheEventLoss, "cache-event-loss", d.CacheEventLoss, "part of the cache events that is lost")
	f.DurationVar(&c.opts.LoadReportInterval, "load-interval", d.LoadReportInterval, "time between load reports")
	f.DurationVar(&c.opts.OrderDuration, "load-time", d.OrderDuration, "how long an order takes")
	f.BoolVar(&c.opts.ChecksFencing, "checks-fencing", d.ChecksFencing, "refuse orders with an old fencing number")
}

// Execute implements subcommands.Command.
func (c *engineCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := parseEnvironment(f); err != nil {
		return usageError(err)
	}
	c.opts.Role = engine.Role(c.role)
	if c.zeroDelay {
		c.opts.PrefillRate, c.opts.TokenInterval, c.opts.LinkRate, c.opts.OrderDuration = 0, 0, 0, 0
	}
	e := engine.New(c.opts)
	defer e.Close()
	return serveHTTP(ctx, c.opts.Name, c.listen, e.Handler())
}
