# Builds the libraries, the programs, the tests and the measurements.
#
#   make            everything, optimised, in build/release
#   make help       lists the targets

MODE ?= release
OUT = build/$(MODE)
PREFIX ?= /usr/local
DESTDIR ?=
VERSION = 0.1.0

LIB_PACKAGES = base config coord steer
NET_PACKAGES = net platform
DEPS = libwebsockets libtirpc argtable2 json-c libxxhash libzstd

WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
    -Wmissing-prototypes -Wpointer-arith -Wwrite-strings -Wformat=2 \
    -Wno-format-truncation
CFLAGS_release = -O2 -g
CFLAGS_asan = -O1 -g -fsanitize=address,undefined -fno-sanitize-recover=all \
    -fno-omit-frame-pointer
CFLAGS_ALL = -std=gnu11 $(WARN) $(CFLAGS_$(MODE)) $(CFLAGS) -Iinclude \
    -Ibench -Itests/support $(shell pkg-config --cflags $(DEPS) 2>/dev/null)
LIBS = $(shell pkg-config --libs $(DEPS) 2>/dev/null) -llog4c -lhttp_parser -lbsd -lm
# Warnings raised by the output of rpcgen, which is not edited.
GENERATED_CFLAGS = -Wno-unused-variable -Wno-cast-function-type \
    -Wno-missing-prototypes -Wno-incompatible-pointer-types

LIB_SOURCES = $(foreach p,$(LIB_PACKAGES),$(wildcard source/$(p)/*.c))
NET_SOURCES = $(foreach p,$(NET_PACKAGES),$(wildcard source/$(p)/*.c)) \
    $(wildcard platform/*.c)
DAEMON_SOURCES = $(wildcard source/spindled/*.c)
CTL_SOURCES = $(wildcard source/spindlectl/*.c)
# Simulations and fixtures that tests and measurements share.
SUPPORT_SOURCES = $(wildcard bench/*.c tests/support/*.c)
STANDIN_SHARED = $(wildcard standins/shared/*.c)
STANDINS = $(patsubst standins/%.c,%,$(wildcard standins/*.c))
MEASURES = $(patsubst measure/%.c,%,$(wildcard measure/*.c))
EXAMPLES = $(patsubst examples/%.c,%,$(wildcard examples/*.c))
TESTS = $(patsubst tests/%.c,%,$(wildcard tests/*/test_*.c))
# Libraries that the soak preloads into the daemon.
PRELOADS = $(patsubst tests/preload/%.c,%,$(wildcard tests/preload/*.c))
GENERATED = $(wildcard source/*/*_xdr.c include/monsoonspindle/*/*_xdr.h)
HANDWRITTEN = $(filter-out $(GENERATED),$(wildcard source/*/*.[ch] \
    platform/*.[ch] \
    include/*.h include/monsoonspindle/*.h include/monsoonspindle/*/*.h \
    bench/*.[ch] tests/*/*.[ch] standins/*.[ch] standins/*/*.[ch] measure/*.[ch] \
    measure/*/*.[ch] examples/*.c))

obj = $(patsubst %.c,$(OUT)/obj/%.o,$(1))
LIB = $(OUT)/libmonsoonspindle.a
NETLIB = $(OUT)/libmonsoonspindle-net.a
SUPPORT = $(OUT)/libsupport.a
BINARIES = $(OUT)/bin/spindled $(OUT)/bin/spindlectl
TOOLS = $(STANDINS:%=$(OUT)/bin/%) $(MEASURES:%=$(OUT)/measure/%) \
    $(PRELOADS:%=$(OUT)/preload/%.so)
TEST_BINARIES = $(TESTS:%=$(OUT)/tests/%)

.PHONY: all help setup check demo lint format measure measure-capacity loc \
    install clean tests
.SECONDARY:

all: setup
	@$(MAKE) --no-print-directory build-all

.PHONY: build-all
build-all: $(BINARIES) $(TOOLS) $(EXAMPLES:%=$(OUT)/examples/%)

help:
	@echo "make           build everything, optimised"
	@echo "make demo      run the end-to-end demo with separate processes"
	@echo "make check     build with sanitizers and run all tests"
	@echo "make lint      check the format, lint the sources and manual pages"
	@echo "make format    rewrite the sources in the project's format"
	@echo "make measure   run the measurements of docs/MEASUREMENTS.md"
	@echo "make measure-capacity   run the measurements of docs/CAPACITY.md"
	@echo "make loc       count lines of code by kind"
	@echo "make install   install into PREFIX ($(PREFIX))"

# Installs missing build dependencies with apt-get.
setup:
	@sh scripts/install-packages

$(OUT)/obj/%_xdr.o: %_xdr.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) $(GENERATED_CFLAGS) -MMD -MP -c -o $@ $<

$(OUT)/obj/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) -MMD -MP -c -o $@ $<

$(LIB): $(call obj,$(LIB_SOURCES))
	@rm -f $@
	ar rcs $@ $^

$(NETLIB): $(call obj,$(NET_SOURCES))
	@rm -f $@
	ar rcs $@ $^

$(SUPPORT): $(call obj,$(SUPPORT_SOURCES))
	@rm -f $@
	ar rcs $@ $^

$(OUT)/bin/spindled: $(call obj,$(DAEMON_SOURCES)) $(NETLIB) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) -o $@ $^ $(LIBS)

$(OUT)/bin/spindlectl: $(call obj,$(CTL_SOURCES)) $(NETLIB) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) -o $@ $^ $(LIBS)

$(OUT)/bin/%: $(OUT)/obj/standins/%.o $(call obj,$(STANDIN_SHARED)) \
    $(NETLIB) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) -o $@ $^ $(LIBS)

$(OUT)/measure/%: $(OUT)/obj/measure/%.o $(SUPPORT) $(NETLIB) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) -o $@ $^ $(LIBS)

$(OUT)/examples/%: $(OUT)/obj/examples/%.o $(LIB)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) -o $@ $^ $(LIBS)

$(OUT)/preload/%.so: tests/preload/%.c
	@mkdir -p $(@D)
	$(CC) -std=gnu11 $(WARN) -O2 -g -fPIC -shared -o $@ $<

$(OUT)/tests/%: $(OUT)/obj/tests/%.o $(SUPPORT) $(NETLIB) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) -o $@ $^ -lcmocka $(LIBS)

tests: $(TEST_BINARIES) $(BINARIES) $(TOOLS)

check: setup
	@$(MAKE) --no-print-directory MODE=asan tests
	@OUT=build/asan sh scripts/run-tests

demo: all
	@OUT=$(OUT) sh scripts/demo

measure: all
	@OUT=$(OUT) sh scripts/measure

measure-capacity: all
	@OUT=$(OUT) sh scripts/measure-capacity

lint: setup
	@sh scripts/lint $(HANDWRITTEN)

format: setup
	clang-format -i $(HANDWRITTEN)

loc:
	@sh scripts/loc

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/lib/pkgconfig \
	    $(DESTDIR)$(PREFIX)/include $(DESTDIR)$(PREFIX)/share/man/man8
	install $(BINARIES) $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(LIB) $(DESTDIR)$(PREFIX)/lib
	cp -R include/. $(DESTDIR)$(PREFIX)/include
	sed -e 's|@PREFIX@|$(PREFIX)|' -e 's|@VERSION@|$(VERSION)|' \
	    monsoonspindle.pc.in \
	    > $(DESTDIR)$(PREFIX)/lib/pkgconfig/monsoonspindle.pc
	install -m 644 man/*.8 $(DESTDIR)$(PREFIX)/share/man/man8

clean:
	rm -rf build

-include $(shell find $(sort build $(OUT)) -name '*.d' 2>/dev/null)
