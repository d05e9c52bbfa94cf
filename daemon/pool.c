/**
 * @file pool.c
 * Long-lived connections to servers, a small thread each. The engine's
 * thread owns the pools; a connection's thread owns its session.
 */
#include <ne_session.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "libdaemon.h"

#define CONN_STACK ((size_t)256 << 10) /* bytes */
#define CONNECT_TIMEOUT_S 2
#define PROBE_PERIOD USEC_PER_SEC
#define STALE_AFTER (500 * USEC_PER_MSEC) /* idle time of a connection */

typedef enum conn_state { CONN_IDLE, CONN_PROBING, CONN_BUSY } conn_state_t;

struct pool {
	str_t addr; /* owned */
	char host[ADDR_HOST_MAX];
	unsigned port;
	unsigned cap;
	GPtrArray *conns; /* conn_t */
};

typedef struct pool pool_t;

typedef struct conn {
	pools_t *pools;
	pool_t *pool;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	conn_state_t state; /* under lock */
	job_t *job;	    /* under lock */
	bool quit;	    /* under lock */
	bool prober;	    /* keeps the pool's evidence fresh */
	ne_session *session;
	bool connected;
	usec_t used_at;
} conn_t;

struct pools {
	engine_t *engine;
	GHashTable *by_addr; /* char * to pool_t */
	GHashTable *jobs;    /* attempt id to job_t */
	const dialect_t *dialect;
};

static void *conn_thread(void *arg);

static void job_free(job_t *j)
{
	if (!j)
		return;
	body_unref(j->body);
	free(j->service);
	free(j->group);
	free(j->class_name);
	free(j);
}

static conn_t *conn_start(pools_t *ps, pool_t *p, job_t *job)
{
	conn_t *c = xcalloc(1, sizeof(*c));
	pthread_condattr_t ca;
	pthread_attr_t attr;

	c->pools = ps;
	c->pool = p;
	c->job = job;
	c->state = job ? CONN_BUSY : CONN_PROBING;
	c->prober = p->conns->len == 0;
	pthread_mutex_init(&c->lock, NULL);
	pthread_condattr_init(&ca);
	pthread_condattr_setclock(&ca, CLOCK_MONOTONIC);
	pthread_cond_init(&c->wake, &ca);
	pthread_condattr_destroy(&ca);
	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, CONN_STACK);
	if (pthread_create(&c->thread, &attr, conn_thread, c)) {
		log_json(G_LOG_LEVEL_WARNING, "no thread for a connection",
			 "\"server\":\"%s\"", p->addr.s);
		free(c);
		c = NULL;
	} else {
		g_ptr_array_add(p->conns, c);
	}
	pthread_attr_destroy(&attr);
	return c;
}

/* Ends the thread and frees the connection. */
static void conn_join(conn_t *c)
{
	pthread_mutex_lock(&c->lock);
	c->quit = true;
	pthread_cond_signal(&c->wake);
	pthread_mutex_unlock(&c->lock);
	pthread_join(c->thread, NULL);
	pthread_mutex_destroy(&c->lock);
	pthread_cond_destroy(&c->wake);
	job_free(c->job);
	free(c);
}

static void session_open(conn_t *c)
{
	c->session = ne_session_create("http", c->pool->host, c->pool->port);
	engine_bind_session(c->pools->engine, c->session);
	ne_set_connect_timeout(c->session, CONNECT_TIMEOUT_S);
	ne_set_session_flag(c->session, NE_SESSFLAG_PERSIST, 1);
}

static void probe(conn_t *c, bool report)
{
	usec_t began = clock_now();
	evidence_t e = { 0 };
	bool ok = c->pools->dialect->probe(c->session, &e);
	msg_t *m;

	c->connected = ok;
	c->used_at = clock_now();
	if (!ok)
		ne_close_connection(c->session);
	if (!report)
		return;
	m = msg_new(EV_PROBE);
	m->ev.probe.addr = arena_str(&m->mem, c->pool->addr);
	m->ev.probe.ok = ok;
	m->ev.probe.evidence = e;
	m->ev.probe.at = began;
	engine_post(c->pools->engine, m);
}

/* A request is sent only on a connection that is known to be open. */
static bool be_connected(conn_t *c, const job_t *j)
{
	bool stale = clock_now() - c->used_at > STALE_AFTER;

	if (!c->connected || (stale && !j->idempotent))
		probe(c, false);
	return c->connected;
}

/* The connection is free; the engine gets the job back with the word. */
static void job_ended(conn_t *c, job_t *j, msg_t *m)
{
	pthread_mutex_lock(&c->lock);
	c->job = NULL;
	c->state = CONN_IDLE;
	pthread_mutex_unlock(&c->lock);
	m->job = j;
	engine_post(c->pools->engine, m);
}

static void run_search(conn_t *c, job_t *j)
{
	msg_t *m = msg_new(EV_ATTEMPT);
	bool failed = true;
	result_t r = RES_NOT_SENT;

	m->ev.attempt.aid = j->aid;
	if (be_connected(c, j))
		r = c->pools->dialect->search(c->session, j,
					      &m->ev.attempt.evidence,
					      &m->ev.attempt.part, &failed);
	c->used_at = clock_now();
	if (r == RES_LOST || r == RES_CROSSED)
		c->connected = false;
	m->ev.attempt.result = r;
	m->ev.attempt.connect_failed = r == RES_NOT_SENT && failed;
	/* Withdrawn meanwhile: the engine knows already. */
	m->has_event = atomic_load(&j->state) != JOB_WITHDRAWN;
	job_ended(c, j, m);
}

static void run_cancel(conn_t *c, job_t *j)
{
	msg_t *m = msg_new(EV_TICK);

	c->pools->dialect->cancel(c->session, j);
	c->used_at = clock_now();
	m->has_event = false;
	job_ended(c, j, m);
}

/* Waits for a job or for the time of a probe; false to quit. */
static bool wait_for_work(conn_t *c, job_t **j)
{
	usec_t left = c->used_at + PROBE_PERIOD - clock_now();
	struct timespec ts;

	pthread_mutex_lock(&c->lock);
	if (!c->job) {
		c->state = CONN_IDLE;
		clock_gettime(CLOCK_MONOTONIC, &ts);
		if (left < 0)
			left = 0;
		ts.tv_sec += left / USEC_PER_SEC;
		ts.tv_nsec += left % USEC_PER_SEC * 1000;
		if (ts.tv_nsec >= 1000000000) {
			ts.tv_sec++;
			ts.tv_nsec -= 1000000000;
		}
	}
	while (!c->job && !c->quit) {
		if (!c->prober)
			pthread_cond_wait(&c->wake, &c->lock);
		else if (pthread_cond_timedwait(&c->wake, &c->lock, &ts))
			break;
	}
	*j = c->job;
	c->state = c->job ? CONN_BUSY : CONN_PROBING;
	left = c->quit;
	pthread_mutex_unlock(&c->lock);
	return !left;
}

static void *conn_thread(void *arg)
{
	conn_t *c = arg;
	job_t *j = NULL;

	session_open(c);
	if (c->prober)
		probe(c, true);
	while (wait_for_work(c, &j)) {
		if (!j)
			probe(c, true);
		else if (j->is_cancel)
			run_cancel(c, j);
		else
			run_search(c, j);
	}
	ne_session_destroy(c->session);
	return NULL;
}

static void pool_close(pool_t *p)
{
	while (p->conns->len) {
		conn_join(p->conns->pdata[0]);
		g_ptr_array_remove_index_fast(p->conns, 0);
	}
}

static void pool_free(gpointer data)
{
	pool_t *p = data;

	g_ptr_array_free(p->conns, TRUE);
	str_free(p->addr);
	free(p);
}

pools_t *pools_new(engine_t *e)
{
	pools_t *ps = xcalloc(1, sizeof(*ps));

	ps->engine = e;
	ps->dialect = &dialect_plain;
	ps->by_addr =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	ps->jobs =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, NULL);
	return ps;
}

static pool_t *pool_get(pools_t *ps, str_t addr)
{
	pool_t *p = g_hash_table_lookup(ps->by_addr, addr.s);

	if (p)
		return p;
	p = xcalloc(1, sizeof(*p));
	p->addr = str_dup(addr);
	addr_split(addr, p->host, &p->port);
	p->conns = g_ptr_array_new();
	g_hash_table_insert(ps->by_addr, (char *)p->addr.s, p);
	return p;
}

static bool conn_is_free(conn_t *c)
{
	bool is_free;

	pthread_mutex_lock(&c->lock);
	is_free = !c->job && c->state == CONN_IDLE;
	pthread_mutex_unlock(&c->lock);
	return is_free;
}

static void shrink(pool_t *p)
{
	guint i = p->conns->len;

	while (i-- > 0 && p->conns->len > p->cap) {
		conn_t *c = p->conns->pdata[i];

		if (!conn_is_free(c))
			continue;
		g_ptr_array_remove_index(p->conns, i);
		conn_join(c);
	}
}

void pools_set(pools_t *ps, str_t addr, unsigned cap)
{
	pool_t *p = pool_get(ps, addr);

	p->cap = cap;
	if (cap && p->conns->len == 0)
		conn_start(ps, p, NULL);
	shrink(p);
}

/* Gives the job to an idle connection, else to a new or a probing one. */
static bool give(pools_t *ps, pool_t *p, job_t *j, bool may_open)
{
	conn_t *c, *probing = NULL;
	guint i;

	for (i = 0; i < p->conns->len; i++) {
		c = p->conns->pdata[i];
		pthread_mutex_lock(&c->lock);
		if (!c->job && c->state == CONN_IDLE) {
			c->job = j;
			c->state = CONN_BUSY;
			pthread_cond_signal(&c->wake);
			pthread_mutex_unlock(&c->lock);
			return true;
		}
		if (!c->job && c->state == CONN_PROBING)
			probing = c;
		pthread_mutex_unlock(&c->lock);
	}
	if (!may_open)
		return false;
	if (p->conns->len < p->cap)
		return conn_start(ps, p, j) != NULL;
	if (!probing)
		return false;
	pthread_mutex_lock(&probing->lock);
	probing->job = j;
	pthread_cond_signal(&probing->wake);
	pthread_mutex_unlock(&probing->lock);
	return true;
}

static job_t *job_new(pool_t *p, const act_t *act)
{
	job_t *j = xcalloc(1, sizeof(*j));

	j->aid = act->send.aid;
	j->service = strndup(act->send.service.s, act->send.service.sz);
	j->group = strndup(act->send.group.s, act->send.group.sz);
	j->class_name =
		strndup(act->send.class_name.s, act->send.class_name.sz);
	j->snapshot = act->send.snapshot;
	j->map = act->send.map;
	j->limit = act->send.limit;
	j->send_by = act->send.send_by;
	j->deadline = act->send.deadline;
	j->queued_at = clock_now();
	j->idempotent = act->send.idempotent;
	j->pool = p;
	j->body = body_ref(act->send.body);
	return j;
}

bool pools_send(pools_t *ps, const act_t *act)
{
	pool_t *p = pool_get(ps, act->send.addr);
	job_t *j = job_new(p, act);

	if (!give(ps, p, j, true)) {
		job_free(j);
		return false;
	}
	g_hash_table_insert(ps->jobs, &j->aid, j);
	return true;
}

bool pools_withdraw(pools_t *ps, uint64_t aid)
{
	job_t *j = g_hash_table_lookup(ps->jobs, &aid);
	int want = JOB_QUEUED;

	return j &&
	       atomic_compare_exchange_strong(&j->state, &want, JOB_WITHDRAWN);
}

static void send_cancel(pools_t *ps, pool_t *p, uint64_t aid)
{
	job_t *j = xcalloc(1, sizeof(*j));

	j->aid = aid;
	j->is_cancel = true;
	j->pool = p;
	if (!give(ps, p, j, false))
		job_free(j);
}

bool pools_cancel(pools_t *ps, uint64_t aid)
{
	job_t *j = g_hash_table_lookup(ps->jobs, &aid);

	if (!j)
		return false;
	if (pools_withdraw(ps, aid))
		return true;
	if (j->idempotent)
		send_cancel(ps, j->pool, aid);
	return false;
}

void pools_job_done(pools_t *ps, job_t *j)
{
	pool_t *p = j->pool;

	if (!j->is_cancel)
		g_hash_table_remove(ps->jobs, &j->aid);
	job_free(j);
	if (p->conns->len > p->cap)
		shrink(p);
}

void pools_close(pools_t *ps)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, ps->by_addr);
	while (g_hash_table_iter_next(&it, NULL, &v))
		pool_close(v);
}

void pools_free(pools_t *ps)
{
	g_hash_table_destroy(ps->by_addr);
	g_hash_table_destroy(ps->jobs);
	free(ps);
}
