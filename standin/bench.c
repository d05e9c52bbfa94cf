/**
 * @file bench.c
 * Measures in one process how the costs of configurations, host lists, gossip
 * and queries grow with size, and prints them with the slope of a
 * least-squares line. docs/CAPACITY.md calculates with these slopes.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core.h"
#include "standin.h"
#include "wire.h"

#define SIZES 5
#define REPLICAS 3
#define REPEATS 200
#define QUERIES 2000

/* The results of one measurement: a cost at each size. */
typedef struct row {
	const char *name;
	const char *unit;
	const char *size_unit;
	double size[SIZES];
	double cost[SIZES];
} row_t;

static void print(const row_t *r)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0, slope, base;
	int i;

	for (i = 0; i < SIZES; i++) {
		sx += r->size[i];
		sy += r->cost[i];
		sxx += r->size[i] * r->size[i];
		sxy += r->size[i] * r->cost[i];
	}
	slope = (SIZES * sxy - sx * sy) / (SIZES * sxx - sx * sx);
	base = (sy - slope * sx) / SIZES;
	printf("%-34s", r->name);
	for (i = 0; i < SIZES; i++)
		printf(" %8.0f:%-10.1f", r->size[i], r->cost[i]);
	printf(" %.4g %s per %s + %.4g\n", slope, r->unit, r->size_unit, base);
	fflush(stdout);
}

static char *make_conf(unsigned services, unsigned groups, unsigned holders,
		       uint64_t revision)
{
	conf_builder_t *b = conf_new(revision, 9);
	char *text = NULL;
	size_t sz = 0;
	FILE *out = open_memstream(&text, &sz);
	char name[24], ip[24];
	unsigned s, g, i, at = 0;

	conf_add_dc(b, "a", "r");
	for (s = 0; s < services; s++) {
		snprintf(name, sizeof(name), "s%u", s);
		conf_add_service(b, name, 3, 30);
		conf_set_holders(b, holders);
		for (g = 0; g < groups; g++) {
			snprintf(name, sizeof(name), "g%05u", g);
			conf_add_group(b, name);
			for (i = 0; i < REPLICAS; i++, at++) {
				snprintf(ip, sizeof(ip), "10.%u.%u.%u",
					 at >> 16, at >> 8 & 255, at & 255);
				conf_add_server(b, "a", ip, 9000);
			}
		}
		conf_add_class(b, &(conf_class_spec_t){ .name = "all",
							.kind = CONF_BROAD,
							.idempotent = true,
							.deadline_ms = 1000 });
	}
	if (conf_emit(b, out, stderr))
		exit(EXIT_FAILURE);
	fclose(out);
	return text;
}

static conf_t *parse(const char *text)
{
	static conf_faults_t f;

	return conf_parse(str_of(text), &f);
}

static core_t *make_core(usec_t now)
{
	core_params_t p;

	core_params_init(&p);
	p.name = STR("d0");
	p.dc = STR("a");
	p.peer = STR("127.0.0.1:1");
	p.seed = 1;
	p.require_list_lease = false;
	return core_new(&p, now);
}

static void step(core_t *c, event_t *ev, usec_t now, acts_t *acts)
{
	acts->n = 0;
	core_step(c, ev, now, acts);
}

static void apply_conf(core_t *c, conf_t *conf, acts_t *acts)
{
	event_t ev = { .kind = EV_CONF };

	ev.conf = conf;
	step(c, &ev, 1, acts);
}

static host_list_t make_list(unsigned daemons, uint64_t version)
{
	host_list_t l = { .version = version, .ndaemons = daemons };
	unsigned i;

	l.daemons = xcalloc(daemons, sizeof(*l.daemons));
	for (i = 0; i < daemons; i++) {
		char *name = xmalloc(16), *peer = xmalloc(24);

		snprintf(name, 16, "d%u", i);
		snprintf(peer, 24, "10.9.%u.%u:8002", i >> 8, i & 255);
		l.daemons[i].name = str_of(name);
		l.daemons[i].dc = STR("a");
		l.daemons[i].peer = str_of(peer);
	}
	return l;
}

static void apply_list(core_t *c, const host_list_t *l, acts_t *acts)
{
	event_t ev = { .kind = EV_LIST };

	ev.list.list = l;
	ev.list.at = 1;
	step(c, &ev, 1, acts);
}

/* Returns the memory in bytes that a configuration with this number of groups
 * takes in a daemon that is a holder of none of them. */
static double memory_held_elsewhere(unsigned groups)
{
	char *text = make_conf(1, groups, 1, 1);
	size_t before = mallinfo2().uordblks;
	host_list_t l = make_list(2, 1);
	acts_t acts = { 0 };
	core_t *c = make_core(0);
	double cost;

	/* Neither name is that of the core (d0), so the core holds none. */
	l.daemons[0].name = STR("other1");
	l.daemons[1].name = STR("other2");
	apply_list(c, &l, &acts);
	apply_conf(c, parse(text), &acts);
	acts_free(&acts);
	cost = (double)(mallinfo2().uordblks - before);
	core_free(c);
	free(text);
	return cost;
}

static void bench_conf(void)
{
	static const unsigned groups[SIZES] = { 100, 300, 1000, 2000, 4000 };
	row_t bytes = { .name = "configuration text",
			.unit = "bytes",
			.size_unit = "server" };
	row_t time = { .name = "parse and check",
		       .unit = "us",
		       .size_unit = "server" };
	row_t apply = { .name = "apply configuration",
			.unit = "us",
			.size_unit = "server" };
	row_t mem = { .name = "memory, groups held here",
		      .unit = "bytes",
		      .size_unit = "server" };
	row_t elsewhere = { .name = "memory, groups held elsewhere",
			    .unit = "bytes",
			    .size_unit = "server" };
	int i;

	for (i = 0; i < SIZES; i++) {
		char *text = make_conf(1, groups[i], 0, 1);
		size_t before = mallinfo2().uordblks;
		acts_t acts = { 0 };
		usec_t t0 = standin_now(), t1, t2;
		conf_t *conf = parse(text);
		core_t *c = make_core(0);

		t1 = standin_now();
		apply_conf(c, conf, &acts);
		t2 = standin_now();
		acts_free(&acts);
		bytes.size[i] = time.size[i] = apply.size[i] = mem.size[i] =
			groups[i] * REPLICAS;
		elsewhere.size[i] = groups[i] * REPLICAS;
		elsewhere.cost[i] = memory_held_elsewhere(groups[i]);
		bytes.cost[i] = (double)strlen(text);
		time.cost[i] = (double)(t1 - t0);
		apply.cost[i] = (double)(t2 - t1);
		mem.cost[i] = (double)(mallinfo2().uordblks - before);
		core_free(c);
		free(text);
	}
	print(&bytes);
	print(&time);
	print(&apply);
	print(&mem);
	print(&elsewhere);
}

static void bench_delta(void)
{
	static const unsigned services[SIZES] = { 10, 50, 100, 200, 400 };
	row_t bytes = { .name = "delta of one section of 30 servers",
			.unit = "bytes",
			.size_unit = "section" };
	row_t time = { .name = "apply that delta, parse all",
		       .unit = "us",
		       .size_unit = "section" };
	int i;

	for (i = 0; i < SIZES; i++) {
		char *text = make_conf(services[i], 10, 0, 1);
		conf_t *conf = parse(text);
		conf_store_t *s = conf_store_from_conf(conf);
		conf_store_t *other = conf_store_copy(s);
		static conf_faults_t f;
		char *delta;
		usec_t t0;

		s->revision = 2;
		conf_store_set(s, s->v[1].name, 2, s->v[1].text);
		delta = conf_store_delta_text(s, 1);
		bytes.size[i] = time.size[i] = services[i];
		bytes.cost[i] = (double)strlen(delta);
		t0 = standin_now();
		conf_store_apply_delta(other, str_of(delta));
		conf_free(conf_store_parse(other, &f));
		time.cost[i] = (double)(standin_now() - t0);
		free(delta);
		free(text);
		conf_free(conf);
		conf_store_free(s);
		conf_store_free(other);
	}
	print(&bytes);
	print(&time);
}

static void bench_list(void)
{
	static const unsigned daemons[SIZES] = { 9, 100, 500, 1300, 2600 };
	row_t bytes = { .name = "list of hosts, message",
			.unit = "bytes",
			.size_unit = "daemon" };
	row_t time = { .name = "apply list, 84 blocks of holders",
		       .unit = "us",
		       .size_unit = "daemon" };
	row_t mem = { .name = "memory of a list",
		      .unit = "bytes",
		      .size_unit = "daemon" };
	char *text = make_conf(84, 36, 3, 1);
	int i;

	for (i = 0; i < SIZES; i++) {
		host_list_t l = make_list(daemons[i], 1);
		core_t *c = make_core(0);
		acts_t acts = { 0 };
		peer_msg_t m = { .kind = PEER_LIST,
				 .from = STR("d0"),
				 .reply_to = STR("127.0.0.1:1"),
				 .list = l };
		size_t sz, before;
		usec_t t0;

		free(wire_encode(&m, &sz));
		before = mallinfo2().uordblks;
		apply_list(c, &l, &acts);
		mem.cost[i] = (double)(mallinfo2().uordblks - before);
		apply_conf(c, parse(text), &acts);
		l.version++;
		t0 = standin_now();
		apply_list(c, &l, &acts);
		time.cost[i] = (double)(standin_now() - t0);
		bytes.cost[i] = (double)sz;
		bytes.size[i] = time.size[i] = mem.size[i] = daemons[i];
		core_free(c);
		acts_free(&acts);
	}
	free(text);
	print(&bytes);
	print(&time);
	print(&mem);
}

/* Measures encoding, decoding and handling a digest, including the reply. */
static void bench_digest(void)
{
	static const unsigned daemons[SIZES] = { 9, 100, 500, 1300, 2600 };
	row_t time = { .name = "handle digest and reply",
		       .unit = "us",
		       .size_unit = "daemon" };
	size_t sz = 0;
	int i, j;

	for (i = 0; i < SIZES; i++) {
		host_list_t l = make_list(daemons[i], 1);
		core_t *c = make_core(0);
		acts_t acts = { 0 };
		peer_msg_t m = { .kind = PEER_DIGEST,
				 .from = STR("dc07-host0123"),
				 .reply_to = STR("10.9.0.1:8002"),
				 .token = 1ULL << 40,
				 .revision = 1 << 20,
				 .conf_hash = ~0ULL,
				 .list_version = 1 << 20,
				 .list_age = 1 << 20,
				 .clock = 1LL << 40,
				 .incarnation = ~0ULL };
		usec_t t0;

		apply_list(c, &l, &acts);
		t0 = standin_now();
		for (j = 0; j < REPEATS; j++) {
			event_t ev = { .kind = EV_PEER };
			arena_t mem = { 0 };
			peer_msg_t got;
			char *bytes = wire_encode(&m, &sz);

			wire_decode(bytes, sz, &got, &mem);
			ev.peer.msg = &got;
			step(c, &ev, 1, &acts);
			free(bytes);
			arena_free(&mem);
		}
		time.size[i] = daemons[i];
		time.cost[i] = (double)(standin_now() - t0) / REPEATS;
		core_free(c);
		acts_free(&acts);
	}
	printf("a digest is %zu bytes\n", sz);
	print(&time);
}

static void bench_tick(void)
{
	static const unsigned groups[SIZES] = { 10, 36, 100, 300, 1000 };
	row_t time = { .name = "tick with nothing to do",
		       .unit = "us",
		       .size_unit = "group" };
	int i, j;

	for (i = 0; i < SIZES; i++) {
		char *text = make_conf(1, groups[i], 0, 1);
		core_t *c = make_core(0);
		acts_t acts = { 0 };
		usec_t t0;

		apply_conf(c, parse(text), &acts);
		t0 = standin_now();
		for (j = 0; j < REPEATS; j++) {
			event_t ev = { .kind = EV_TICK };

			step(c, &ev, 2, &acts);
		}
		time.size[i] = groups[i];
		time.cost[i] = (double)(standin_now() - t0) / REPEATS;
		core_free(c);
		acts_free(&acts);
		free(text);
	}
	print(&time);
}

static void report_probes(core_t *c, unsigned servers, acts_t *acts)
{
	char addr[32];
	unsigned i;

	for (i = 0; i < servers; i++) {
		event_t ev = { .kind = EV_PROBE_ENDED };

		snprintf(addr, sizeof(addr), "10.%u.%u.%u:9000", i >> 16,
			 i >> 8 & 255, i & 255);
		ev.probe.addr = str_of(addr);
		ev.probe.ok = true;
		ev.probe.at = 1;
		ev.probe.evidence = (evidence_t){ .valid = true,
						  .slots = 3,
						  .nheld = 1,
						  .held = { { 1, 1 } } };
		step(c, &ev, 2, acts);
	}
}

/* Runs one query; all servers answer it 1 ms later. */
static void run_query(core_t *c, usec_t now, acts_t *acts)
{
	static uint64_t aids[8192];
	event_t ev = { .kind = EV_REQUEST };
	size_t n = 0, i;

	ev.request.service = STR("s0");
	ev.request.class_name = STR("all");
	ev.request.caller = c;
	step(c, &ev, now, acts);
	for (i = 0; i < acts->n; i++)
		if (acts->v[i].kind == ACT_SEND)
			aids[n++] = acts->v[i].send.aid;
	for (i = 0; i < n; i++) {
		event_t end = { .kind = EV_ATTEMPT_ENDED };

		end.attempt.aid = aids[i];
		end.attempt.result = RES_OK;
		end.attempt.group_hits = group_hits_new();
		step(c, &end, now + 1000, acts);
	}
}

static void bench_query(void)
{
	static const unsigned groups[SIZES] = { 1, 10, 25, 100, 360 };
	row_t time = { .name = "decisions for a query",
		       .unit = "us",
		       .size_unit = "group" };
	int i, j;

	for (i = 0; i < SIZES; i++) {
		char *text = make_conf(1, groups[i], 0, 1);
		core_t *c = make_core(0);
		acts_t acts = { 0 };
		usec_t now = 10, t0;

		apply_conf(c, parse(text), &acts);
		report_probes(c, groups[i] * REPLICAS, &acts);
		t0 = standin_now();
		for (j = 0; j < QUERIES; j++, now += 2000)
			run_query(c, now, &acts);
		time.size[i] = groups[i];
		time.cost[i] = (double)(standin_now() - t0) / QUERIES;
		core_free(c);
		acts_free(&acts);
		free(text);
	}
	print(&time);
}

int main(void)
{
	printf("%-34s size:cost at five sizes, then the slope\n", "measure");
	bench_conf();
	bench_delta();
	bench_list();
	bench_digest();
	bench_tick();
	bench_query();
	return EXIT_SUCCESS;
}
