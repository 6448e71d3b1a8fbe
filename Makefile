export CGO_ENABLED = 1
PACKAGES = ./... ./cmd/pomelobench/... ./cmd/pomeloctl/... ./cmd/pomelorelayd/...

.PHONY: build test race format lint generate tables demo bench proofs operate

build:
	mkdir -p bin
	go build -o bin/ ./cmd/pomelorelayd ./cmd/pomeloctl ./cmd/pomelobench

test: build
	sh scripts/test.sh $(PACKAGES)

race: build
	sh scripts/test.sh -race $(PACKAGES)

format:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); test -z "$$unformatted" || { echo "not formatted: $$unformatted"; exit 1; }

lint:
	go vet $(PACKAGES)
	go tool staticcheck $(PACKAGES)
	go tool revive -config revive.toml -set_exit_status -exclude pomelomesh/pomelowire/... $(PACKAGES)

generate:
	sh scripts/generate.sh

tables:
	POMELORELAY_UPDATE_DOCS=1 go test -count=1 -run TestTablesMatchDocs .

demo: build
	sh scripts/demo.sh

proofs: build
	sh scripts/proofs.sh

# Benchmarks whose figures are bounded, or compared between commits; one command of go test a line.
bench: build
	sh scripts/bench.sh bin/bench.txt
	bin/pomelobench bounds bin/bench.txt

# Compares with an earlier commit: make bench-compare REV=main
bench-compare:
	sh scripts/bench-compare.sh $(REV)

operate: build
	sh scripts/operate.sh
