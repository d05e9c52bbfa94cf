/**
 * @file platform.c
 * A stand-in for the platform: serves a configuration and a list of hosts to
 * readers and watchers, counts requests, and simulates outages and stale
 * reads on command. docs/PROTOCOLS.md describes it.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "conf.h"
#include "standin.h"

#define MAX_CONNECTIONS 4096
#define SECTION_PATH "/v1/config/sections/"
#define BLOCKED_MAX 16

/* A request that waits until the version differs from the caller's. */
typedef struct watch {
	http_request_t *r;
	usec_t until;	/* then the request is answered without a value */
	uint64_t after; /* version that the caller has */
	bool hosts;	/* watches the list of hosts, not the configuration */
} watch_t;

/* Published state. */
typedef struct published {
	conf_store_t *config;
	char *hosts;
	uint64_t hosts_version;
} published_t;

static struct {
	GMutex lock;
	GCond wake;
	published_t current;
	published_t stale_copy; /* state at the time when stale was set */
	bool stale;		/* serve stale_copy */
	bool outage;
	bool silent; /* requests that come now are never answered */
	bool odd;    /* the list of hosts begins with an odd entry */
	uint64_t requests;
	GPtrArray *watches;
	char blocked[BLOCKED_MAX][ADDR_HOST_MAX];
	unsigned nblocked;
} state;

static published_t *served_state(void)
{
	return state.stale ? &state.stale_copy : &state.current;
}

static uint64_t served_version(bool hosts)
{
	return hosts ? served_state()->hosts_version
		     : served_state()->config->revision;
}

static void reply_hosts(http_request_t *r)
{
	static const char before[] = "\"daemons\":[";
	static const char odd[] =
		"{\"name\":\"odd\",\"dc\":\"dc1\",\"peer\":\"127.0.0.1:70000\","
		"\"load\":1e999},";
	const char *hosts = served_state()->hosts;
	GString *text = g_string_new(hosts ? hosts : "{}");
	char *at = strstr(text->str, before);

	if (state.odd && at)
		g_string_insert(text, at - text->str + (gssize)strlen(before),
				odd);
	http_reply_text(r, 200, text->str);
	g_string_free(text, TRUE);
}

static void reply_value(http_request_t *r, bool hosts)
{
	char *text;

	if (hosts) {
		reply_hosts(r);
		return;
	}
	text = conf_store_index_text(served_state()->config);
	http_reply_text(r, 200, text);
	free(text);
}

static void handle_watch(http_request_t *r, bool hosts)
{
	uint64_t after = strtoull(
		http_arg(r, "after") ? http_arg(r, "after") : "0", NULL, 10);
	long wait_ms = http_arg_number(r, "wait_ms", 0);
	watch_t *w;

	if (served_version(hosts) > after ||
	    (served_version(hosts) && served_version(hosts) < after)) {
		reply_value(r, hosts);
		return;
	}
	if (wait_ms <= 0) {
		http_reply_text(r, served_version(hosts) ? 304 : 404, "");
		return;
	}
	w = g_new0(watch_t, 1);
	w->r = r;
	w->hosts = hosts;
	w->after = after;
	w->until = standin_now() + wait_ms * USEC_PER_MSEC;
	http_suspend(r);
	g_ptr_array_add(state.watches, w);
	g_cond_signal(&state.wake);
}

/* Answers and frees a watch if the version changed, the wait is over, or an
 * outage is simulated; returns false otherwise. */
static bool answer_watch(watch_t *w, usec_t now)
{
	if (state.outage) {
		w->r->abort_connection = true;
	} else if (served_version(w->hosts) != w->after &&
		   served_version(w->hosts) != 0) {
		reply_value(w->r, w->hosts);
	} else if (now >= w->until) {
		http_reply_text(w->r, served_version(w->hosts) ? 304 : 404, "");
	} else {
		return false;
	}
	http_resume(w->r);
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
		for (i = 0; i < state.watches->len;) {
			watch_t *w = state.watches->pdata[i];

			if (answer_watch(w, now)) {
				g_ptr_array_remove_index_fast(state.watches, i);
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

static void handle_section(http_request_t *r)
{
	const conf_store_t *s = served_state()->config;
	str_t name = str_of(r->url + strlen(SECTION_PATH));
	size_t i;

	for (i = 0; i < s->n; i++) {
		char *text;

		if (!str_eq(s->v[i].name, name))
			continue;
		text = g_strdup_printf("{\"rev\":%llu,\"value\":%.*s}",
				       (unsigned long long)s->v[i].revision,
				       STR_ARG(s->v[i].text));
		http_reply_text(r, 200, text);
		g_free(text);
		return;
	}
	http_reply_text(r, 404, "{}");
}

/* Sets a section of the configuration and adds its revision to names. A section
 * whose text is unchanged keeps its revision. */
static void set_section(conf_store_t *s, const char *name, json_t *o,
			uint64_t rev, json_t *names)
{
	char *text = json_dumps(o, JSON_COMPACT | JSON_SORT_KEYS);
	size_t i;

	for (i = 0; i < s->n; i++)
		if (str_eq(s->v[i].name, str_of(name)) &&
		    str_eq(s->v[i].text, str_of(text)))
			rev = s->v[i].revision;
	conf_store_set(s, str_of(name), rev, str_of(text));
	json_object_set_new(names, name, json_integer((json_int_t)rev));
	free(text);
}

/* Publishes a configuration: splits it into sections but does not validate
 * it, as the platform does not know the format. Returns false if the text is
 * not a JSON object.
 */
static bool publish_config(const char *text, size_t sz)
{
	conf_store_t *s = state.current.config;
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
	set_section(s, "fleet", json_object_get(root, "fleet"), rev, names);
	json_object_foreach(services, key, o) {
		char *name = g_strconcat("service/", key, NULL);

		set_section(s, name, o, rev, names);
		g_free(name);
	}
	o = json_pack("{sI sO}", "revision", (json_int_t)rev, "sections",
		      names);
	index = json_dumps(o, JSON_COMPACT);
	conf_store_apply_index(s, str_of(index), need, 0, &mem);
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

	free(state.current.hosts);
	state.current.hosts = strndup(text, sz);
	state.current.hosts_version =
		(uint64_t)json_integer_value(json_object_get(root, "version"));
	json_decref(root);
}

static void set_stale(bool on)
{
	if (on && !state.stale) {
		state.stale_copy.config = conf_store_copy(state.current.config);
		state.stale_copy.hosts = state.current.hosts
						 ? strdup(state.current.hosts)
						 : NULL;
		state.stale_copy.hosts_version = state.current.hosts_version;
	}
	if (!on && state.stale) {
		conf_store_free(state.stale_copy.config);
		free(state.stale_copy.hosts);
	}
	state.stale = on;
}

static void handle_control(http_request_t *r)
{
	const char *body = (const char *)r->body->data;
	const char *cut = http_arg(r, "cut");
	char text[64];

	if (strcmp(r->url, "/control/publish") == 0 &&
	    !publish_config(body, r->body->len)) {
		http_reply_text(r, 400, "{}");
		return;
	}
	if (strcmp(r->url, "/control/hosts") == 0)
		publish_hosts(body, r->body->len);
	state.outage = http_arg_number(r, "outage", state.outage);
	state.silent = http_arg_number(r, "silent", state.silent);
	state.odd = http_arg_number(r, "odd", state.odd);
	set_stale(http_arg_number(r, "stale", state.stale));
	if (cut && state.nblocked < BLOCKED_MAX)
		g_strlcpy(state.blocked[state.nblocked++], cut, ADDR_HOST_MAX);
	if (http_arg(r, "heal"))
		state.nblocked = 0;
	snprintf(text, sizeof(text), "{\"calls\":%llu}",
		 (unsigned long long)state.requests);
	http_reply_text(r, 200, text);
	g_cond_signal(&state.wake);
}

static bool is_blocked(const http_request_t *r)
{
	unsigned i;

	for (i = 0; i < state.nblocked; i++)
		if (strcmp(state.blocked[i], r->client_ip) == 0)
			return true;
	return false;
}

static void handle(http_request_t *r)
{
	g_mutex_lock(&state.lock);
	if (g_str_has_prefix(r->url, "/control")) {
		handle_control(r);
		goto out;
	}
	state.requests++;
	if (state.outage || is_blocked(r))
		r->abort_connection = true;
	else if (state.silent)
		http_suspend(r);
	else if (strcmp(r->url, "/v1/config/index") == 0)
		handle_watch(r, false);
	else if (strcmp(r->url, "/v1/hosts") == 0)
		handle_watch(r, true);
	else if (g_str_has_prefix(r->url, SECTION_PATH))
		handle_section(r);
	else
		http_reply_text(r, 404, "{}");
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
	standin_block_stop_signals();
	state.current.config = conf_store_new();
	state.watches = g_ptr_array_new();
	g_thread_unref(g_thread_new("watch", watch_thread, NULL));
	if (!http_serve(listen, handle, NULL, MAX_CONNECTIONS)) {
		fprintf(stderr, "standin-platform: cannot listen at %s\n",
			listen);
		return EXIT_FAILURE;
	}
	standin_wait_for_stop();
	_exit(EXIT_SUCCESS);
}
