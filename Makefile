# Targets that run Python first set up a virtual environment in .venv from the pinned requirements.
PY := .venv/bin/python
READY := .venv/ready

# Quick tests for small steps: they start no process, serve no real client and take seconds.
# `make test` runs all tests.
CHECK := tests/behaviour tests/compatibility tests/routing tests/protocol tests/config tests/admission/test_controller.py \
	tests/soak/test_verdict.py tests/releases/test_rollouts.py tests/releases/test_evidence.py tests/tls/test_credential_store.py \
	tests/membership/test_member_table.py tests/membership/test_peer_links.py \
	tests/leader_election/test_candidates_and_voters.py tests/failover/test_takeover_decisions.py \
	tests/failover/test_response_claims.py tests/failover/test_replication.py \
	tests/zone_drain/test_coordinator.py tests/zone_drain/test_waves.py \
	tests/zone_drain/test_neighbours_and_emptying.py tests/zone_drain/test_operator_commands.py

.PHONY: service rehearse check test lint ci soak bench bench-doors bench-releases fleet fleet-full variants clean
# Installs what the platform's gateway needs and compiles its byte code, because the file system is
# read-only in service.
service:
	test -x $(PY) || python3 -m venv .venv
	$(PY) -m pip install -q --disable-pip-version-check -r requirements-service.txt
	$(PY) -m compileall -q cherrydoor

rehearse: $(READY)
	$(PY) -m cherrydoor rehearse quick

test: $(READY)
	$(PY) -m pytest -q --doctest-modules cherrydoor tests docs

check: $(READY)
	$(PY) -m pytest -q $(CHECK)

lint: $(READY)
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/mypy
	.venv/bin/lint-imports

ci: lint test

$(READY): requirements-service.txt requirements-tools.txt requirements-dev.txt pyproject.toml
	test -x $(PY) || python3 -m venv .venv
	$(PY) -m pip install -q --disable-pip-version-check -r requirements-dev.txt
	$(PY) -m pip install -q --disable-pip-version-check --no-deps -e .
	touch $(READY)

# Runs soaks, BESIDE of them in parallel: make soak SEED=1 RUNS=50 BESIDE=4. CI runs three fixed seeds
# (tests/soak).
SEED := 1
RUNS := 1
BESIDE := 1
soak: $(READY)
	$(PY) -m cherrydoor.rehearsal.soak --seed $(SEED) --runs $(RUNS) --beside $(BESIDE) --logs found/soak

clean:
	rm -rf .venv found

bench: $(READY)
	$(PY) -m bench.gateway --memory

bench-doors: $(READY)
	$(PY) -m bench.admission

bench-releases: $(READY)
	$(PY) -m bench.releases docs/releases.svg

# The regular test of a whole fleet with the operators' kit, which lies next to the checkout; not part
# of CI. The exit code is 0 if the kit's gate passed. KIT and WHY can be set:
# make fleet WHY="what changed"
KIT := ../given/kit/more
WHY := The standing test by make
FLEET = if test ! -x $(KIT)/mass/bin/lbreal; then echo "make $@: needs the operators' kit at $(KIT), none there"; exit 2; fi; \
	mkdir -p found; $(KIT)/mass/bin/lbreal score $(KIT)/node/sites/gent-main.toml $(1) --why "$(WHY)" 2>&1 | tee found/$@.txt; \
	tail -n 3 found/$@.txt | grep -q '^GATE passed'

fleet:
	@$(call FLEET,--quick)

fleet-full:
	@$(call FLEET,)

# The quick fleet test on the sites in deploy/sites: copies each site next to copies of the kit's name
# tables.
variants:
	@if test ! -x $(KIT)/mass/bin/lbreal; then echo "make $@: needs the operators' kit at $(KIT), none there"; exit 2; fi
	@for site in parking-desk port-registry; do \
		mkdir -p found/sites/$$site; \
		cp $(KIT)/node/sites/real.json $(KIT)/node/sites/wire.json unlock.txt deploy/sites/$$site/$$site.toml found/sites/$$site/; \
		$(KIT)/mass/bin/lbreal score found/sites/$$site/$$site.toml --quick --why "$(WHY)" 2>&1 | tee found/$$site.txt; \
		tail -n 3 found/$$site.txt | grep -q '^GATE passed' || exit 1; \
	done
