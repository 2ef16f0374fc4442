// Command adapter hosts routers' decisions on the wire of standard input and output.
package main

import (
	"fmt"
	"os"

	"cherryhub/internal/wire"
)

func main() {
	if err := wire.NewHost().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
