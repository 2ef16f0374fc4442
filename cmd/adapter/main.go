// Command adapter serves routing decisions over standard input and output, in the protocol of package wire.
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
