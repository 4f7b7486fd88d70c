// Command plantainwheel runs a node and provides the operator tools.
package main

import (
	"os"

	"github.com/plantainwheel/plantainwheel/internal/operator/commander"
)

func main() { os.Exit(commander.Main(os.Args, os.Stdout, os.Stderr)) }
