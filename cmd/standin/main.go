// Command standin runs stand-ins of the platform and of targets.
package main

import (
	"os"

	"github.com/plantainwheel/plantainwheel/internal/standin/commander"
)

func main() { os.Exit(commander.Main(os.Args, os.Stderr)) }
