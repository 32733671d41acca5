// Command standin runs simple replacements for the platform and for endpoints in demos and tests.
package main

import (
	"os"

	"auburnstack/standin/command"
)

func main() {
	os.Exit(command.Execute())
}
