# Targets for newcomers and for CI. Every target runs from a fresh clone.

MODULES := $(shell awk '/^\t\.\//{print $$1}' go.work)
PACKAGES := $(addsuffix /...,$(MODULES))

.PHONY: build test lint bench demo model fmt

build:
	go build -o bin/rattanspur ./cmd/rattanspur
	go build -o bin/standin ./standin/cmd/standin

# All tests, with fixed seeds; those in KNOWN-RED.txt do not fail the run. CI
# calls this.
test:
	tools/check-imports
	go vet $(PACKAGES)
	tools/run-tests $(PACKAGES)

# Checks the specification and that dropping any of its rules is noticed.
model:
	model/run

lint:
	golangci-lint run $(PACKAGES)

fmt:
	gofmt -w $(MODULES)

# Shows a burst, a switch and a failure domain move; KEEP=1 keeps it running.
demo: build
	go run ./bench/cmd/demo --binary bin/rattanspur $(if $(KEEP),--keep)

# Prints one line for each figure; takes several minutes.
bench: build
	go run ./bench/cmd/bench --binary bin/rattanspur
