// Command radishturn is the operators' command line.
package main

import (
	"os"

	"radishturn.example/radishturn/pkg/cli"
)

func main() { os.Exit(int(cli.Main())) }
