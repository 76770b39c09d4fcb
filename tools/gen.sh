#!/usr/bin/env bash
# Regenerates internal/wire/peerpb from its .proto files. Needs protoc.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools && go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go)
PATH="$bin:$PATH" protoc -I internal/wire/peerpb \
	--go_out=internal/wire/peerpb --go_opt=paths=source_relative \
	--connect-go_out=internal/wire/peerpb --connect-go_opt=paths=source_relative,simple,package_suffix= \
	internal/wire/peerpb/*.proto
