# Targets for developers and CI. Every target works on a new machine that has Go and access to a module proxy.
MODULES := core io platform standin cmd bench
LINTER_VERSION := v2.15.0
LINTER := bin/golangci-lint
GOPLS_VERSION := v0.23.0
GOPLS := bin/gopls
SITE ?= kingston

.PHONY: build test unit lint fmt demo bench bench-decisions bench-graphs capacity generate known-red

build:
	cd cmd && go build -o ../bin/ ./auburnstack ./standin

test: lint unit known-red

# Tests of memory and connections start processes and measure them, so they run one at a time and after all others.
PROCESS_TESTS := overload listeners
empty :=
space := $(empty) $(empty)

unit:
	@for module in $(MODULES); do echo "== $$module"; \
		(cd $$module && go test $$(go list ./... | grep -vE '/platform/($(subst $(space),|,$(PROCESS_TESTS)))$$')) || exit 1; done
	@echo "== platform, process tests"
	@cd platform && go test -p 1 $(addprefix ./,$(PROCESS_TESTS))

lint: $(LINTER)
	@test -z "$$(gofmt -l $(MODULES))" || { gofmt -l $(MODULES); echo "run make fmt"; exit 1; }
	@for module in $(MODULES); do echo "== lint $$module"; (cd $$module && ../$(LINTER) run ./...) || exit 1; done

$(LINTER):
	GOBIN=$(CURDIR)/bin go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINTER_VERSION)

$(GOPLS):
	GOBIN=$(CURDIR)/bin go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

fmt: $(LINTER)
	@for module in $(MODULES); do (cd $$module && ../$(LINTER) fmt ./...); done

known-red:
	@if [ -s KNOWN-RED.txt ]; then echo "== known failures, see KNOWN-RED.txt"; cat KNOWN-RED.txt; fi

demo: build
	demo/run.sh $(SITE)

bench: build
	cd io && go test -run '^$$' -bench . -benchtime 2s ./...

bench-decisions:
	cd bench && go run ./decisions --out ../out

bench-graphs:
	cd bench && go run ./graphs --out ../out

capacity:
	cd bench && go run ./decisions --capacity
	cd io && go test -run '^$$' -bench 'Capacity' -benchtime 200x ./...

generate:
	cd io/peer && protoc --go_out=peerpb --go_opt=paths=source_relative --go-grpc_out=peerpb --go-grpc_opt=paths=source_relative peer.proto
	cd io/relay && protoc --go_out=relaypb --go_opt=paths=source_relative --go-grpc_out=relaypb --go-grpc_opt=paths=source_relative relay.proto
