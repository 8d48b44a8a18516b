# Targets to build, test and check the project. .ci/run calls "make lint build" and the README's test command.
.PHONY: all build test race lint fmt generate bench check demo soak

all: check

build:
	go build ./...

test:
	go test ./...

race:
	go test -race ./...

lint:
	test -z "$$(go tool gofumpt -l $$(git ls-files '*.go' | grep -vE '\.(pb|twirp)\.go$$'))"
	go vet ./...
	go tool revive -config revive.toml -set_exit_status $$(go list ./... )

fmt:
	go tool gofumpt -w $$(git ls-files -co --exclude-standard '*.go' | grep -vE '\.(pb|twirp)\.go$$')

# Needs protoc 3.21.12. The versions of the protoc plug-ins are in go.mod.
generate:
	go build -o .bin/ google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
	PATH="$$PWD/.bin:$$PATH" protoc --proto_path=. --go_out=. --go_opt=module=oleanderlever --twirp_out=. --twirp_opt=module=oleanderlever io/operator/operator.proto
	PATH="$$PWD/.bin:$$PATH" protoc --proto_path=. --go_out=. --go_opt=module=oleanderlever io/host/host.proto

bench:
	go test -run '^$$' -bench . -benchmem ./...

check: lint build race

# Runs 50 seeded series of faults against real host processes. SEED is the first seed.
SEED ?= 1000
soak:
	go build -o .bin/ ./cmd/...
	.bin/soak --binary .bin/oleanderlever --first $(SEED) --seeds 50 --keep .bin

demo:
	go run ./cmd/oleanderlever demo
