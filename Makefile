# Builds everything into build/. "./dev" installs what is needed and calls it.

CC ?= cc
BUILD ?= build
PREFIX ?= /usr/local
SAN ?=
OPT ?= -O2 -g

PKGS = glib-2.0 libmicrohttpd neon jansson liburcu-bp libxxhash libzmq msgpack
CFLAGS_ALL = -std=gnu11 -D_GNU_SOURCE $(OPT) -Wall -Wextra -Werror -Wshadow \
	-Wstrict-prototypes -Wmissing-prototypes -Wformat=2 -pthread \
	$(SAN) $(addprefix -I,base conf core wire daemon standin tests) \
	$(shell pkg-config --cflags $(PKGS) cunit) $(CFLAGS)
LIBS = $(SAN) $(shell pkg-config --libs $(PKGS)) -lm -pthread

BASE = $(wildcard base/*.c)
CONF = $(wildcard conf/*.c)
CORE = $(wildcard core/*.c)
WIRE = $(wildcard wire/*.c)
DAEMON = $(wildcard daemon/*.c)
CTL = $(wildcard ctl/*.c)
LAB = standin/lab.c standin/http.c

obj = $(patsubst %.c,$(BUILD)/%.o,$(1))

PROGRAMS = geraniumslipd standin-upstream standin-platform scenario \
	experiment unit deploy-marea-viva deploy-balapan
ifneq ($(CTL),)
PROGRAMS += geraniumslip
endif

all: $(addprefix $(BUILD)/,$(PROGRAMS))

$(BUILD)/%.o: %.c Makefile
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) -MMD -MP -c -o $@ $<

$(BUILD)/geraniumslipd: $(call obj,$(BASE) $(CONF) $(CORE) $(WIRE) $(DAEMON))
	$(CC) -o $@ $^ $(LIBS)

$(BUILD)/geraniumslip: $(call obj,$(BASE) $(CONF) $(CTL))
	$(CC) -o $@ $^ $(LIBS)

$(BUILD)/standin-upstream: $(call obj,$(BASE) standin/http.c standin/upstream.c)
	$(CC) -o $@ $^ $(LIBS)

$(BUILD)/standin-platform: $(call obj,$(BASE) $(CONF) standin/http.c standin/platform.c)
	$(CC) -o $@ $^ $(LIBS)

SCENARIO = $(wildcard tests/scenario_*.c)
$(BUILD)/scenario: $(call obj,$(BASE) $(CONF) $(LAB) $(SCENARIO))
	$(CC) -o $@ $^ $(LIBS) $(shell pkg-config --libs cunit)

PLAY = $(filter-out tests/scenario_main.c,$(SCENARIO))
$(BUILD)/experiment: $(call obj,$(BASE) $(CONF) $(LAB) $(PLAY) standin/experiment.c)
	$(CC) -o $@ $^ $(LIBS)

UNIT = $(wildcard tests/unit_*.c)
$(BUILD)/unit: $(call obj,$(BASE) $(CONF) $(CORE) $(WIRE) $(UNIT))
	$(CC) -o $@ $^ $(LIBS) $(shell pkg-config --libs cunit)

$(BUILD)/deploy-%: $(BUILD)/deploy/%.o $(call obj,$(BASE) $(CONF))
	$(CC) -o $@ $^ $(LIBS)

clean:
	rm -rf $(BUILD)

.PHONY: all clean
.SECONDARY:
-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
