// Package deploy embeds the example settings and scripted days, so that the program runs without a file. It
// does nothing by itself; cmd/cherryhub and tests use it.
package deploy

import "embed"

// Files are the examples and days, by their path below deploy/.
//
//go:embed examples/*.textproto days/*.textproto labs/*.textproto
var Files embed.FS
