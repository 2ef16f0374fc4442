// Package pb holds the schema of settings, scripted days and records, and the code generated from it. It
// does nothing by itself. internal/config reads settings with it, internal/record records.
//
// After a change of a .proto file: go generate ./proto (buf and protoc-gen-go come from the module proxy).
package pb

//go:generate sh -c "GOBIN=$(mktemp -d) && export GOBIN && go install github.com/bufbuild/buf/cmd/buf@v1.55.1 && go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12 && PATH=$GOBIN:$PATH buf generate"
