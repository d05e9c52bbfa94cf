/**
 * @file platform.c
 * A stand-in for the platform: a configuration and a list of hosts that can
 * be read and watched, with a count of calls, staleness and outages on
 * command. docs/PROTOCOLS.md describes it.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "conf.h"
#include "standin.h"

#define CONNECTIONS 4096
#define SECTION_PATH "/v1/config/sections/"
#define CUT_MAX 16

/* A watch that waits for news. */
typedef struct waiter {
	http_request_t *r;
	usec_t until;
	uint64_t after;
	bool hosts;
} waiter_t;

/* What is published, and a copy that is served while stale. */
typedef struct published {
	conf_store_t *config;
	char *hosts;
	uint64_t hosts_version;
} published_t;

static struct {
	GMutex lock;
	GCond wake;
	published_t now;
	published_t old;
	bool stale;
	bool outage;
	uint64_t calls;
	GPtrArray *waiters;
	char cut[CUT_MAX][ADDR_HOST_MAX];
	unsigned ncut;
} state;

static published_t *served(void)
{
	return state.stale ? &state.old : &state.now;
}

static uint64_t version_of(bool hosts)
{
	return hosts ? served()->hosts_version : served()->config->revision;
}

static void set_value(http_request_t *r, bool hosts)
{
	char *text;

	if (hosts) {
		http_text(r, 200, served()->hosts ? served()->hosts : "{}");
		return;
	}
	text = conf_store_index_text(served()->config);
	http_text(r, 200, text);
	free(text);
}

static void watch(http_request_t *r, bool hosts)
{
	uint64_t after = strtoull(
		http_arg(r, "after") ? http_arg(r, "after") : "0", NULL, 10);
	long wait_ms = http_num(r, "wait_ms", 0);
	waiter_t *w;

	if (version_of(hosts) > after ||
	    (version_of(hosts) && version_of(hosts) < after)) {
		set_value(r, hosts);
		return;
	}
	if (wait_ms <= 0) {
		http_text(r, version_of(hosts) ? 304 : 404, "");
		return;
	}
	w = g_new0(waiter_t, 1);
	w->r = r;
	w->hosts = hosts;
	w->after = after;
	w->until = standin_now() + wait_ms * USEC_PER_MSEC;
	http_hold(r);
	g_ptr_array_add(state.waiters, w);
	g_cond_signal(&state.wake);
}

/* Answers a watch if there is news, its time is over, or in an outage. */
static bool settle(waiter_t *w, usec_t now)
{
	if (state.outage) {
		w->r->close = true;
	} else if (version_of(w->hosts) != w->after &&
		   version_of(w->hosts) != 0) {
		set_value(w->r, w->hosts);
	} else if (now >= w->until) {
		http_text(w->r, version_of(w->hosts) ? 304 : 404, "");
	} else {
		return false;
	}
	http_release(w->r);
	g_free(w);
	return true;
}

static gpointer watch_thread(gpointer arg)
{
	usec_t now, next;
	guint i;

	(void)arg;
	g_mutex_lock(&state.lock);
	for (;;) {
		now = standin_now();
		next = now + USEC_PER_SEC;
		for (i = 0; i < state.waiters->len;) {
			waiter_t *w = state.waiters->pdata[i];

			if (settle(w, now)) {
				g_ptr_array_remove_index_fast(state.waiters, i);
				continue;
			}
			if (w->until < next)
				next = w->until;
			i++;
		}
		g_cond_wait_until(&state.wake, &state.lock,
				  g_get_monotonic_time() + (next - now));
	}
	return NULL;
}

static void section(http_request_t *r)
{
	const conf_store_t *s = served()->config;
	str_t name = str_of(r->url + strlen(SECTION_PATH));
	size_t i;

	for (i = 0; i < s->n; i++) {
		char *text;

		if (!str_eq(s->v[i].name, name))
			continue;
		text = g_strdup_printf("{\"rev\":%llu,\"value\":%.*s}",
				       (unsigned long long)s->v[i].rev,
				       STR_ARG(s->v[i].text));
		http_text(r, 200, text);
		g_free(text);
		return;
	}
	http_text(r, 404, "{}");
}

/* Sets a section; its revision rises only when its text changes. */
static void put(conf_store_t *s, const char *name, json_t *o, uint64_t rev,
		json_t *names)
{
	char *text = json_dumps(o, JSON_COMPACT | JSON_SORT_KEYS);
	size_t i;

	for (i = 0; i < s->n; i++)
		if (str_eq(s->v[i].name, str_of(name)) &&
		    str_eq(s->v[i].text, str_of(text)))
			rev = s->v[i].rev;
	conf_store_set(s, str_of(name), rev, str_of(text));
	json_object_set_new(names, name, json_integer((json_int_t)rev));
	free(text);
}

/* Takes a whole document; the platform knows nothing of its meaning. */
static bool publish(const char *text, size_t sz)
{
	conf_store_t *s = state.now.config;
	json_t *root = json_loadb(text, sz, 0, NULL);
	json_t *services = json_object_get(root, "services");
	uint64_t rev =
		(uint64_t)json_integer_value(json_object_get(root, "revision"));
	json_t *names = json_object();
	arena_t mem = { 0 };
	str_t need[1];
	const char *key;
	char *index;
	json_t *o;

	if (!json_is_object(root)) {
		json_decref(names);
		return false;
	}
	put(s, "fleet", json_object_get(root, "fleet"), rev, names);
	json_object_foreach(services, key, o) {
		char *name = g_strconcat("service/", key, NULL);

		put(s, name, o, rev, names);
		g_free(name);
	}
	o = json_pack("{sI sO}", "revision", (json_int_t)rev, "sections",
		      names);
	index = json_dumps(o, JSON_COMPACT);
	conf_store_index(s, str_of(index), need, 0, &mem);
	free(index);
	arena_free(&mem);
	json_decref(o);
	json_decref(names);
	json_decref(root);
	return true;
}

static void publish_hosts(const char *text, size_t sz)
{
	json_t *root = json_loadb(text, sz, 0, NULL);

	free(state.now.hosts);
	state.now.hosts = strndup(text, sz);
	state.now.hosts_version =
		(uint64_t)json_integer_value(json_object_get(root, "version"));
	json_decref(root);
}

static void set_stale(bool on)
{
	if (on && !state.stale) {
		state.old.config = conf_store_copy(state.now.config);
		state.old.hosts =
			state.now.hosts ? strdup(state.now.hosts) : NULL;
		state.old.hosts_version = state.now.hosts_version;
	}
	if (!on && state.stale) {
		conf_store_free(state.old.config);
		free(state.old.hosts);
	}
	state.stale = on;
}

static void control(http_request_t *r)
{
	const char *body = (const char *)r->body->data;
	const char *cut = http_arg(r, "cut");
	char text[64];

	if (strcmp(r->url, "/control/publish") == 0 &&
	    !publish(body, r->body->len)) {
		http_text(r, 400, "{}");
		return;
	}
	if (strcmp(r->url, "/control/hosts") == 0)
		publish_hosts(body, r->body->len);
	state.outage = http_num(r, "outage", state.outage);
	set_stale(http_num(r, "stale", state.stale));
	if (cut && state.ncut < CUT_MAX)
		g_strlcpy(state.cut[state.ncut++], cut, ADDR_HOST_MAX);
	if (http_arg(r, "heal"))
		state.ncut = 0;
	snprintf(text, sizeof(text), "{\"calls\":%llu}",
		 (unsigned long long)state.calls);
	http_text(r, 200, text);
	g_cond_signal(&state.wake);
}

static bool is_cut(const http_request_t *r)
{
	unsigned i;

	for (i = 0; i < state.ncut; i++)
		if (strcmp(state.cut[i], r->from) == 0)
			return true;
	return false;
}

static void handle(http_request_t *r)
{
	g_mutex_lock(&state.lock);
	if (g_str_has_prefix(r->url, "/control")) {
		control(r);
		goto out;
	}
	state.calls++;
	if (state.outage || is_cut(r))
		r->close = true;
	else if (strcmp(r->url, "/v1/config/index") == 0)
		watch(r, false);
	else if (strcmp(r->url, "/v1/hosts") == 0)
		watch(r, true);
	else if (g_str_has_prefix(r->url, SECTION_PATH))
		section(r);
	else
		http_text(r, 404, "{}");
out:
	g_mutex_unlock(&state.lock);
}

int main(int argc, char **argv)
{
	gchar *listen = NULL;
	const GOptionEntry entries[] = { { "listen", 'l', 0,
					   G_OPTION_ARG_STRING, &listen,
					   "Listen at an address", "IP:PORT" },
					 G_OPTION_ENTRY_NULL };
	GOptionContext *ctx = g_option_context_new("- stand in for a platform");
	GError *error = NULL;

	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &error) || !listen) {
		fprintf(stderr, "standin-platform: %s\n",
			error ? error->message : "--listen is needed");
		return EXIT_FAILURE;
	}
	standin_block_signals();
	state.now.config = conf_store_new();
	state.waiters = g_ptr_array_new();
	g_thread_unref(g_thread_new("watch", watch_thread, NULL));
	if (!http_serve(listen, handle, NULL, CONNECTIONS)) {
		fprintf(stderr, "standin-platform: cannot listen at %s\n",
			listen);
		return EXIT_FAILURE;
	}
	standin_wait();
	_exit(EXIT_SUCCESS);
}
