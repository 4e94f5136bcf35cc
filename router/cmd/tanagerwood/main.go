// Command tanagerwood runs and operates the router.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range []*command{newServe(), newNode(), newCheck(), newApply(), newGet(), newStatus(), newKey(), newDrain(), newTimeline()} {
		subcommands.Register(c, "operators")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
