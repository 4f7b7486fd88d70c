// Command standin runs test stand-ins for the platform and for targets.
package main

import (
	"os"

	"github.com/plantainwheel/plantainwheel/internal/standin/commander"
)

func main() { os.Exit(commander.Main(os.Args, os.Stderr)) }
