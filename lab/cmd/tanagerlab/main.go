// Command tanagerlab runs the stand-ins for engines, services and the platform, and the load and experiment tools.
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
	subcommands.Register(&engineCommand{}, "stand-ins")
	subcommands.Register(&serviceCommand{}, "stand-ins")
	subcommands.Register(&platformCommand{}, "stand-ins")
	subcommands.Register(&loadCommand{}, "experiments")
	subcommands.Register(&experimentCommand{}, "experiments")
	subcommands.Register(&reportCommand{}, "experiments")
	subcommands.Register(&capacityCommand{}, "experiments")
	subcommands.Register(&soakCommand{}, "experiments")
	subcommands.Register(&slotUseCommand{}, "experiments")
	subcommands.Register(&lossesCommand{}, "experiments")
	subcommands.Register(&costCommand{}, "experiments")
	subcommands.Register(&endpointsCommand{}, "stand-ins")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
