# Every target works on a clean clone with Go and a C compiler; tools are built at fixed versions into .bin.

GOLANGCI_VERSION := v2.15.0
GOPLS_VERSION := v0.23.0
BUF_VERSION := v1.75.0
PROTOC_GEN_GO_VERSION := v1.36.12
PROTOC_GEN_CONNECT_VERSION := v1.21.1
VERSION := 0.1.0

SHELL := /bin/bash

BIN := $(CURDIR)/.bin
LDFLAGS := -ldflags "-X teaselbank.example/teaselbank/version.Version=$(VERSION)"

.PHONY: all build test lint gopls format format-check demo bench report generate fuzz clean

all: build

build:
	go build $(LDFLAGS) -o bin/ ./cmd/... ./standin/cmd/...

# Runs with the race detector. Only the tests listed in KNOWN-RED.txt are skipped, and their names are printed.
test:
	@./.ci/test

$(BIN)/golangci-lint-$(GOLANGCI_VERSION):
	GOBIN=$(BIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	mv $(BIN)/golangci-lint $@

lint: $(BIN)/golangci-lint-$(GOLANGCI_VERSION)
	$< run ./...

$(BIN)/gopls-$(GOPLS_VERSION):
	GOBIN=$(BIN) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	mv $(BIN)/gopls $@

# Installs gopls, for renames that reach every use of an identifier.
gopls: $(BIN)/gopls-$(GOPLS_VERSION)

format:
	gofmt -w $$(git ls-files -co --exclude-standard '*.go')

format-check:
	@out=$$(gofmt -l $$(git ls-files -co --exclude-standard '*.go')); if [ -n "$$out" ]; then echo "gofmt would change:"; echo "$$out"; exit 1; fi

demo: build
	./bin/demo

# The results are also written to out/bench.txt; the exit status is that of the benchmarks.
bench: build
	@mkdir -p out
	@set -o pipefail; go run ./benchmarks | tee out/bench.txt

report:
	go run ./benchmarks/report --commit "$$(git rev-parse --short HEAD)" --date "$$(date -u +%F)"

generate:
	GOBIN=$(BIN) go install github.com/bufbuild/buf/cmd/buf@$(BUF_VERSION)
	GOBIN=$(BIN) go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)
	GOBIN=$(BIN) go install connectrpc.com/connect/cmd/protoc-gen-connect-go@$(PROTOC_GEN_CONNECT_VERSION)
	PATH=$(BIN):$$PATH $(BIN)/buf generate

clean:
	rm -rf bin out
