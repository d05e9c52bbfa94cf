# Builds everything into build/. "./dev build" installs the packages needed and
# runs make.

CC ?= cc
BUILD ?= build
PREFIX ?= /usr/local
SAN ?=
OPT ?= -O2 -g

# pkg-config modules: those of all programs and of geraniumslip-routed, which
# needs no others; those that the other installed programs need too; those that
# only tests need. make runs pkg-config for a list only if what it builds needs
# it.
PKGS = glib-2.0 jansson libxxhash liblz4 msgpack libevent_extra libevent_core
SEARCH_PKGS = libmicrohttpd neon liburcu-bp libzmq
TEST_PKGS = cunit
INCLUDES = base conf core wire route fleet daemon platform
TEST_INCLUDES = standin tests

# Flags of the modules $(1). pkg-config prints no flags at all if one of several
# modules is unknown: stop make here rather than in each compile.
pkg_check = $(if $(filter 0,$(.SHELLSTATUS)),$(1),$(error pkg-config failed for \
	one of: $(2)))
pkg_cflags = $(call pkg_check,$(shell pkg-config --cflags $(1)),$(1))
pkg_libs = $(call pkg_check,$(shell pkg-config --libs $(1)),$(1))

# Each of these variables runs pkg-config once, when it is first used.
CFLAGS_PKGS = $(eval CFLAGS_PKGS := $(call pkg_cflags,$(PKGS)))$(CFLAGS_PKGS)
LIBS_PKGS = $(eval LIBS_PKGS := $(call pkg_libs,$(PKGS)))$(LIBS_PKGS)
CFLAGS_SEARCH_PKGS = $(eval CFLAGS_SEARCH_PKGS := \
	$(call pkg_cflags,$(SEARCH_PKGS)))$(CFLAGS_SEARCH_PKGS)
LIBS_SEARCH_PKGS = $(eval LIBS_SEARCH_PKGS := \
	$(call pkg_libs,$(SEARCH_PKGS)))$(LIBS_SEARCH_PKGS)
CFLAGS_TEST_PKGS = $(eval CFLAGS_TEST_PKGS := \
	$(call pkg_cflags,$(TEST_PKGS)))$(CFLAGS_TEST_PKGS)
LIBS_TEST_PKGS = $(eval LIBS_TEST_PKGS := \
	$(call pkg_libs,$(TEST_PKGS)))$(LIBS_TEST_PKGS)

CPPFLAGS_ALL = -std=gnu11 -D_GNU_SOURCE $(addprefix -I,$(INCLUDES)) $(CFLAGS_PKGS)
CPPFLAGS_SEARCH = $(CFLAGS_SEARCH_PKGS)
CPPFLAGS_TEST = $(addprefix -I,$(TEST_INCLUDES)) $(CFLAGS_TEST_PKGS)
CFLAGS_ALL = $(CPPFLAGS_ALL) $(OPT) -Wall -Wextra -Werror -Wshadow \
	-Wstrict-prototypes -Wmissing-prototypes -Wformat=2 -pthread $(SAN) $(CFLAGS)
# geraniumslip-routed has its libraries in itself, but for the C library: only the
# pages that are used take memory, 0.7 MB less at rest (docs/design/programs.md).
# The C library's exp() cannot be linked without the rest of it.
LIBS_ROUTED = $(SAN) -Wl,--gc-sections,-Bstatic $(LIBS_PKGS) -lhttp_parser \
	-Wl,-Bdynamic -lm -pthread
LIBS = $(SAN) $(LIBS_SEARCH_PKGS) $(LIBS_PKGS) -lhttp_parser -lm -pthread

BASE = $(wildcard base/*.c)
CONF = $(wildcard conf/*.c)
CORE = $(wildcard core/*.c)
WIRE = $(wildcard wire/*.c)
ROUTE = $(wildcard route/*.c)
FLEET = $(wildcard fleet/*.c)
PLATFORM = $(wildcard platform/*.c)
DAEMON = $(wildcard daemon/*.c)
# Sources of the daemons: those of routed requests, the two main programs and
# transports, and the rest, which is for searches.
DAEMON_ROUTED = $(wildcard daemon/edge*.c daemon/outside*.c) daemon/clock.c \
	daemon/daemon_main.c daemon/listen.c daemon/load_header.c daemon/log.c \
	daemon/settings.c
MAIN_ROUTED = daemon/geraniumslip-routed.c daemon/peers_socket.c
DAEMON_SEARCH = $(filter-out $(DAEMON_ROUTED) $(MAIN_ROUTED),$(DAEMON))
CTL = $(wildcard ctl/*.c)
LAB = $(wildcard standin/lab*.c) standin/relay.c standin/http.c

obj = $(patsubst %.c,$(BUILD)/%.o,$(1))

PROGRAMS = geraniumslipd geraniumslip-routed standin-upstream standin-platform scenario edge-test ctl-test soak \
	experiment spread bench footprint parts unit deploy-marea-viva deploy-balapan
ifneq ($(CTL),)
PROGRAMS += geraniumslip
endif

all: programs $(BUILD)/libgeraniumslip-conf.a

programs: $(addprefix $(BUILD)/,$(PROGRAMS))

$(BUILD)/%.o: %.c Makefile
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) -MMD -MP -c -o $@ $<

$(BUILD)/tests/%.o $(BUILD)/standin/%.o: CFLAGS_ALL += $(CPPFLAGS_SEARCH) \
	$(CPPFLAGS_TEST)
$(call obj,$(CTL) $(DAEMON_SEARCH)): CFLAGS_ALL += $(CPPFLAGS_SEARCH)

# Prints the preprocessor flags for all sources, for linters.
print-cppflags:
	@echo $(CPPFLAGS_ALL) $(CPPFLAGS_SEARCH) $(CPPFLAGS_TEST)

$(BUILD)/geraniumslipd: $(call obj,$(BASE) $(CONF) $(CORE) $(WIRE) $(ROUTE) $(FLEET) \
	$(DAEMON_ROUTED) $(DAEMON_SEARCH) $(PLATFORM))
	$(CC) -o $@ $^ $(LIBS)

$(BUILD)/geraniumslip-routed: $(call obj,$(BASE) $(CONF) core/policy.c \
	wire/wire_scan.c $(ROUTE) $(FLEET) $(DAEMON_ROUTED) $(MAIN_ROUTED) \
	$(PLATFORM))
	$(CC) -o $@ $^ $(LIBS_ROUTED)

$(BUILD)/geraniumslip: $(call obj,$(BASE) $(CONF) $(CTL))
	$(CC) -o $@ $^ $(LIBS)

$(BUILD)/standin-upstream: $(call obj,$(BASE) standin/http.c standin/upstream.c)
	$(CC) -o $@ $^ $(LIBS)

$(BUILD)/standin-platform: $(call obj,$(BASE) $(CONF) standin/http.c standin/platform.c)
	$(CC) -o $@ $^ $(LIBS)

SCENARIO = $(wildcard tests/scenario_*.c)
$(BUILD)/scenario: $(call obj,$(BASE) $(CONF) $(LAB) $(SCENARIO) tests/known_red.c)
	$(CC) -o $@ $^ $(LIBS) $(LIBS_TEST_PKGS)

EDGE_STANDINS = $(wildcard standin/world*.c)
# Sources of the daemon that edge-test and soak also use: message formats and
# HTTP parsing.
EDGE_SHARED = $(BASE) $(CONF) $(ROUTE) $(FLEET) wire/wire_scan.c $(PLATFORM) \
	daemon/edge_http.c daemon/outside.c daemon/outside_items.c \
	daemon/outside_own.c daemon/listen.c

$(BUILD)/edge-test: $(call obj,$(EDGE_SHARED) $(EDGE_STANDINS) standin/http.c \
	$(wildcard tests/edge_*.c) tests/known_red.c)
	$(CC) -o $@ $^ $(LIBS) $(LIBS_TEST_PKGS)

$(BUILD)/soak: $(call obj,$(EDGE_SHARED) $(EDGE_STANDINS) standin/http.c \
	tests/soak/soak.c)
	$(CC) -o $@ $^ $(LIBS)

$(BUILD)/footprint: $(call obj,$(EDGE_SHARED) $(EDGE_STANDINS) standin/http.c \
	standin/footprint.c)
	$(CC) -o $@ $^ $(LIBS)

$(BUILD)/parts: $(call obj,$(EDGE_SHARED) $(EDGE_STANDINS) standin/http.c \
	standin/parts.c)
	$(CC) -o $@ $^ $(LIBS)

$(BUILD)/ctl-test: $(call obj,tests/ctl_main.c)
	$(CC) -o $@ $^ $(LIBS) $(LIBS_TEST_PKGS)

SCENARIO_SHARED = $(filter-out tests/scenario_main.c,$(SCENARIO))
$(BUILD)/experiment: $(call obj,$(BASE) $(CONF) $(LAB) $(SCENARIO_SHARED) \
	standin/experiment.c)
	$(CC) -o $@ $^ $(LIBS)

$(BUILD)/spread: $(call obj,$(BASE) $(CONF) $(LAB) standin/spread.c)
	$(CC) -o $@ $^ $(LIBS)

$(BUILD)/bench: $(call obj,$(BASE) $(CONF) $(CORE) $(WIRE) standin/http.c standin/bench.c)
	$(CC) -o $@ $^ $(LIBS)

UNIT = $(wildcard tests/unit_*.c) tests/known_red.c tests/route_rig.c
$(BUILD)/unit: $(call obj,$(BASE) $(CONF) $(CORE) $(WIRE) $(ROUTE) $(FLEET) \
	$(PLATFORM) daemon/body.c daemon/clock.c daemon/dialect.c daemon/job.c \
	daemon/host_list.c daemon/edge_http.c daemon/outside.c \
	daemon/outside_items.c daemon/outside_own.c daemon/load_header.c \
	daemon/settings.c daemon/edge_turn.c daemon/edge_request.c $(UNIT))
	$(CC) -o $@ $^ $(LIBS) $(LIBS_TEST_PKGS)

# Library for programs that generate configurations.
$(BUILD)/libgeraniumslip-conf.a: $(call obj,$(BASE) $(CONF))
	$(AR) rcs $@ $^

# libFuzzer program for one parser; needs clang.
$(BUILD)/fuzz-%: tests/fuzz_%.c $(BASE) $(CONF) $(WIRE) core/merge.c
	@mkdir -p $(@D)
	clang -std=gnu11 -D_GNU_SOURCE -O1 -g \
		-fsanitize=fuzzer,address,undefined \
		$(addprefix -I,base conf core wire) $(CFLAGS_PKGS) -o $@ $^ \
		$(call pkg_libs,jansson msgpack libxxhash) -lm

$(BUILD)/fuzz-http: tests/fuzz_http.c daemon/edge_http.c $(BASE)
	@mkdir -p $(@D)
	clang -std=gnu11 -D_GNU_SOURCE -O1 -g \
		-fsanitize=fuzzer,address,undefined \
		$(addprefix -I,$(INCLUDES)) $(CFLAGS_PKGS) -o $@ $^ \
		$(call pkg_libs,glib-2.0 libevent_core libxxhash) -lhttp_parser -lm

$(BUILD)/deploy-%: $(BUILD)/deploy/%.o $(call obj,$(BASE) $(CONF))
	$(CC) -o $@ $^ $(LIBS)

install: $(BUILD)/geraniumslip $(BUILD)/geraniumslipd \
		$(BUILD)/geraniumslip-routed $(BUILD)/libgeraniumslip-conf.a
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/sbin \
		$(DESTDIR)$(PREFIX)/lib/pkgconfig \
		$(DESTDIR)$(PREFIX)/include/geraniumslip \
		$(DESTDIR)$(PREFIX)/share/man/man1 \
		$(DESTDIR)$(PREFIX)/share/man/man3 \
		$(DESTDIR)$(PREFIX)/share/man/man5 \
		$(DESTDIR)$(PREFIX)/share/man/man8 \
		$(DESTDIR)$(PREFIX)/share/bash-completion/completions
	install $(BUILD)/geraniumslip $(DESTDIR)$(PREFIX)/bin
	install $(BUILD)/geraniumslipd $(BUILD)/geraniumslip-routed \
		$(DESTDIR)$(PREFIX)/sbin
	install -m 644 $(BUILD)/libgeraniumslip-conf.a $(DESTDIR)$(PREFIX)/lib
	install -m 644 base/base.h conf/conf.h conf/routes.h \
		$(DESTDIR)$(PREFIX)/include/geraniumslip
	sed 's|@PREFIX@|$(PREFIX)|' conf/geraniumslip-conf.pc.in > \
		$(DESTDIR)$(PREFIX)/lib/pkgconfig/geraniumslip-conf.pc
	install -m 644 man/*.1 $(DESTDIR)$(PREFIX)/share/man/man1
	install -m 644 man/*.3 $(DESTDIR)$(PREFIX)/share/man/man3
	install -m 644 man/*.5 $(DESTDIR)$(PREFIX)/share/man/man5
	install -m 644 man/*.8 $(DESTDIR)$(PREFIX)/share/man/man8
	install -m 644 ctl/completion.bash \
		$(DESTDIR)$(PREFIX)/share/bash-completion/completions/geraniumslip
	for daemon in geraniumslipd geraniumslip-routed; do \
		install -m 644 ctl/completion-daemon.bash \
		$(DESTDIR)$(PREFIX)/share/bash-completion/completions/$$daemon \
		|| exit 1; \
	done

clean:
	rm -rf $(BUILD)

.PHONY: all programs clean install print-cppflags
.SECONDARY:
-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
