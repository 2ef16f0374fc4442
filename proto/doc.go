// Package pb holds the schema of settings, scripted days and records, and the Go code generated from it.
//
// Run go generate ./proto after changing a .proto file (buf and protoc-gen-go are fetched from the module proxy).
package pb

//go:generate sh -c "GOBIN=$(mktemp -d) && export GOBIN && go install github.com/bufbuild/buf/cmd/buf@v1.55.1 && go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12 && PATH=$GOBIN:$PATH buf generate"
