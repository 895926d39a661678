GO ?= go
GO_DIRS = . ./cmd/... ./design/... ./internal/... ./platform/...

.PHONY: build generate format lint test race demo bench fuzz seeds race-proofs check

build: ## build all programs into bin/
	$(GO) build -o bin/ ./cmd/...

generate: ## generate gen/ from design/
	$(GO) tool goa gen github.com/sassafrasrail/sassafrasrail/design

format: ## format the code
	$(GO) tool gofumpt -w $$(git ls-files '*.go' | grep -v '^gen/')

lint: ## check the code with gofumpt, vet, staticcheck and revive
	@test -z "$$($(GO) tool gofumpt -l $$(git ls-files '*.go' | grep -v '^gen/') | tee /dev/stderr)"
	$(GO) vet $(GO_DIRS)
	$(GO) tool staticcheck $(GO_DIRS)
	$(GO) tool revive -config revive.toml -set_exit_status $(GO_DIRS)

test: ## run the tests
	$(GO) test ./...

race: ## run the tests with the race detector, known failures separately
	bash scripts/test.sh

demo: build ## run instances with stand-ins and send them a few requests
	bash scripts/demo.sh

check: lint race demo ## run all checks of CI

race-proofs: ## run the proofs in virtual time with the race detector, one at a time
	$(GO) test -race -parallel 1 -timeout 30m ./internal/proof/srrig

seeds: ## run the proofs in virtual time with SEEDS seeds, 50 by default
	SEEDS=$${SEEDS:-50} $(GO) test -timeout 60m ./internal/proof/srrig

bench: ## run the policy bench with every case and variant
	$(GO) run ./cmd/srbench --all

fuzz: ## run each fuzz target for FUZZTIME, 10 s by default
	bash scripts/fuzz.sh
