GO ?= go
GO_DIRS = . ./cmd/... ./design/... ./internal/... ./platform/...

.PHONY: build generate format lint test race demo bench fuzz seeds race-proofs check

build: ## compile every program
	$(GO) build -o bin/ ./cmd/...

generate: ## write gen/ from design/
	$(GO) tool goa gen github.com/sassafrasrail/sassafrasrail/design

format: ## format the code
	$(GO) tool gofumpt -w $$(git ls-files '*.go' | grep -v '^gen/')

lint: ## formatter, vet, staticcheck and revive; prints nothing when clean
	@test -z "$$($(GO) tool gofumpt -l $$(git ls-files '*.go' | grep -v '^gen/') | tee /dev/stderr)"
	$(GO) vet $(GO_DIRS)
	$(GO) tool staticcheck $(GO_DIRS)
	$(GO) tool revive -config revive.toml -set_exit_status $(GO_DIRS)

test: ## run the tests
	$(GO) test ./...

race: ## run the tests with the race detector, known failures apart
	bash scripts/test.sh

demo: build ## run stand-ins and instances, and serve a few requests
	bash scripts/demo.sh

check: lint race demo ## what CI runs

race-proofs: ## run the proofs in virtual time with the race detector, one by one
	$(GO) test -race -parallel 1 -timeout 30m ./internal/proof/srrig

seeds: ## run the proofs under failure with many seeds
	SEEDS=$${SEEDS:-50} $(GO) test -timeout 60m ./internal/proof/srrig

bench: ## compare every variant of the policy in virtual time
	$(GO) run ./cmd/srbench --all

fuzz: ## run each fuzz target for FUZZTIME, 10s by default
	bash scripts/fuzz.sh
