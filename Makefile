# The two commands of the README are `make demo` and `make test`.
GO ?= go
PKGS = ./mesh/... ./bench/...

.PHONY: all build test demo walkthrough fmt lint soak fuzz

all: build

build:
	$(GO) build -o bin/ ./mesh/cmd/... ./bench/cmd/...

test:
	$(GO) test -timeout 300s $(PKGS)

demo: build
	./bin/bench demo --bin bin

walkthrough: build
	./examples/walkthrough.sh

fmt:
	gofmt -l -w mesh bench

lint:
	golangci-lint run $(PKGS)
