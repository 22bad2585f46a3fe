# `make test` runs all tests; `make help` lists the other targets.
GO ?= go
LINT = $(GO) run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
GOPLS = $(GO) run golang.org/x/tools/gopls@v0.23.0
BUF = $(GO) tool -modfile=tools.mod buf
BIN ?= bin

.PHONY: self-check help dev build test generate docs generated-check format-check lint rename slopes soak

help: ## list the targets
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

dev: ## run the whole system on loopback in one process
	$(GO) run ./cmd/jay-dev

build: ## build every binary into bin/
	$(GO) build -o $(BIN)/ ./cmd/... ./tools/knownred

test: ## run all tests with the race detector; only tests in KNOWN-RED.txt may fail
	$(GO) test -race -json -timeout 30m ./... | $(GO) run ./tools/knownred -list KNOWN-RED.txt

generate: ## regenerate api/gen from the .proto files
	$(BUF) generate

soak: ## run the whole system for ten minutes under seeded random faults and check its invariants
	$(GO) run -race ./tools/soak -for 10m -seed 1

slopes: ## measure how costs grow with load (about six minutes) and regenerate docs/CAPACITY.md
	$(GO) run ./tools/slopes -out docs/slopes.json
	$(GO) run ./tools/capacity

docs: ## regenerate the pages in docs that are generated from code and measurements
	$(GO) run ./tools/settingsdoc
	$(GO) run ./tools/capacity

generated-check: generate docs ## fail when committed generated code or pages are not up to date
	git diff --exit-code --stat -- api/gen docs/operating/settings.md docs/CAPACITY.md

format-check: ## fail when a file is not formatted
	@files=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$files" ]; then echo "not formatted: $$files"; exit 1; fi

lint: ## run the linters
	$(LINT) run ./...
	$(BUF) lint

rename: ## rename an identifier and all its uses: make rename AT=FILE:LINE:COLUMN TO=NAME
	$(GOPLS) rename -w $(AT) $(TO)

self-check: ## send one request through each entry of a small cluster on loopback
	$(GO) run ./cmd/jay-dev --self-check
