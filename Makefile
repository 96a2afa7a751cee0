# Targets of azurehatch. "make test" is what CI runs.
GO ?= go
LINT := $(GO) run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

.PHONY: build test fmt-check vet lint unit race demo bench fuzz generate

build:
	$(GO) build -o bin/azurehatch ./cmd/azurehatch

test: fmt-check vet lint race

fmt-check:
	@out=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "gofmt would change:"; echo "$$out"; exit 1; fi

vet:
	$(GO) vet ./...

lint:
	$(LINT) run --allow-parallel-runners ./...

unit:
	$(GO) test ./...

race:
	$(GO) test -race -timeout 30m ./...

generate:
	protoc --go_out=. --go_opt=module=github.com/azurehatch/azurehatch \
		--go-grpc_out=. --go-grpc_opt=module=github.com/azurehatch/azurehatch \
		internal/peer/peerpb/peer.proto
