// Package deploy embeds the example settings, scripted days and experiments, so that the program can run without files.
package deploy

import "embed"

// Files holds the embedded files, by their paths below deploy/.
//
//go:embed examples/*.textproto days/*.textproto labs/*.textproto
var Files embed.FS
