/**
 * @file pool.c
 * Persistent connections to servers; each has a thread with a small stack.
 * The engine's thread owns the pools; a connection's thread owns its session.
 */
#include <ne_session.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "libdaemon.h"

#define CONN_STACK_BYTES ((size_t)256 << 10)
#define CONNECT_TIMEOUT_S 2
#define PROBE_PERIOD USEC_PER_SEC /* idle time before a probe */
/* Idle time after which the server may have closed the connection. */
#define STALE_IDLE_TIME (500 * USEC_PER_MSEC)

typedef enum conn_state { CONN_IDLE, CONN_PROBING, CONN_BUSY } conn_state_t;

struct pool {
	str_t addr; /* owned */
	char host[ADDR_HOST_MAX];
	unsigned port;
	unsigned max_connections;
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
	bool is_prober;	    /* probes to keep the pool's evidence recent */
	ne_session *session;
	bool connected;
	usec_t last_used;
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
	c->is_prober = p->conns->len == 0;
	pthread_mutex_init(&c->lock, NULL);
	pthread_condattr_init(&ca);
	pthread_condattr_setclock(&ca, CLOCK_MONOTONIC);
	pthread_cond_init(&c->wake, &ca);
	pthread_condattr_destroy(&ca);
	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, CONN_STACK_BYTES);
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
	engine_bind_source_addr(c->pools->engine, c->session);
	ne_set_connect_timeout(c->session, CONNECT_TIMEOUT_S);
	ne_set_session_flag(c->session, NE_SESSFLAG_PERSIST, 1);
}

static void probe(conn_t *c, bool report)
{
	usec_t sent_at = clock_now();
	evidence_t e = { 0 };
	bool ok = c->pools->dialect->probe(c->session, &e);
	msg_t *m;

	c->connected = ok;
	c->last_used = clock_now();
	if (!ok)
		ne_close_connection(c->session);
	if (!report)
		return;
	m = msg_new(EV_PROBE_ENDED);
	m->ev.probe.addr = arena_str(&m->mem, c->pool->addr);
	m->ev.probe.ok = ok;
	m->ev.probe.evidence = e;
	m->ev.probe.at = sent_at;
	engine_post(c->pools->engine, m);
}

/*
 * A request is sent only on an open connection: probes a connection that is
 * closed, or one that is stale if the request is not idempotent. Returns
 * whether the connection is open.
 */
static bool ensure_connected(conn_t *c, const job_t *j)
{
	bool stale = clock_now() - c->last_used > STALE_IDLE_TIME;

	if (!c->connected || (stale && !j->idempotent))
		probe(c, false);
	return c->connected;
}

/* Marks the connection as idle and returns the job to the engine in m. */
static void finish_job(conn_t *c, job_t *j, msg_t *m)
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
	msg_t *m = msg_new(EV_ATTEMPT_ENDED);
	bool failed = true;
	result_t r = RES_NOT_SENT;

	m->ev.attempt.aid = j->aid;
	if (ensure_connected(c, j))
		r = c->pools->dialect->search(
			c->session, j, &m->ev.attempt.evidence,
			&m->ev.attempt.group_hits, &failed);
	c->last_used = clock_now();
	if (r == RES_LOST || r == RES_MISMATCH)
		c->connected = false;
	m->ev.attempt.result = r;
	m->ev.attempt.connect_failed = r == RES_NOT_SENT && failed;
	/* For a withdrawn job the core has received EV_WITHDRAW_ENDED. */
	m->has_event = atomic_load(&j->state) != JOB_WITHDRAWN;
	finish_job(c, j, m);
}

static void run_cancel(conn_t *c, job_t *j)
{
	msg_t *m = msg_new(EV_TICK);

	c->pools->dialect->cancel(c->session, j);
	c->last_used = clock_now();
	m->has_event = false;
	finish_job(c, j, m);
}

/*
 * Waits for a job, or until a probe is due; *j is NULL then. False if the
 * thread is to end.
 */
static bool wait_for_job(conn_t *c, job_t **j)
{
	usec_t delay = c->last_used + PROBE_PERIOD - clock_now();
	struct timespec ts;
	bool quit;

	pthread_mutex_lock(&c->lock);
	if (!c->job) {
		c->state = CONN_IDLE;
		clock_gettime(CLOCK_MONOTONIC, &ts);
		if (delay < 0)
			delay = 0;
		ts.tv_sec += delay / USEC_PER_SEC;
		ts.tv_nsec += delay % USEC_PER_SEC * 1000;
		if (ts.tv_nsec >= 1000000000) {
			ts.tv_sec++;
			ts.tv_nsec -= 1000000000;
		}
	}
	while (!c->job && !c->quit) {
		if (!c->is_prober)
			pthread_cond_wait(&c->wake, &c->lock);
		else if (pthread_cond_timedwait(&c->wake, &c->lock, &ts))
			break;
	}
	*j = c->job;
	c->state = c->job ? CONN_BUSY : CONN_PROBING;
	quit = c->quit;
	pthread_mutex_unlock(&c->lock);
	return !quit;
}

static void *conn_thread(void *arg)
{
	conn_t *c = arg;
	job_t *j = NULL;

	session_open(c);
	if (c->is_prober)
		probe(c, true);
	while (wait_for_job(c, &j)) {
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

static void close_excess(pool_t *p)
{
	guint i = p->conns->len;

	while (i-- > 0 && p->conns->len > p->max_connections) {
		conn_t *c = p->conns->pdata[i];

		if (!conn_is_free(c))
			continue;
		g_ptr_array_remove_index(p->conns, i);
		conn_join(c);
	}
}

void pools_set_max_connections(pools_t *ps, str_t addr, unsigned max)
{
	pool_t *p = pool_get(ps, addr);

	p->max_connections = max;
	if (max && p->conns->len == 0)
		conn_start(ps, p, NULL);
	close_excess(p);
}

/*
 * Assigns the job to an idle connection. If there is none and may_open is set,
 * opens a new connection or uses one that is being probed. False if neither is
 * possible.
 */
static bool assign_job(pools_t *ps, pool_t *p, job_t *j, bool may_open)
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
	if (p->conns->len < p->max_connections)
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
	j->map_version = act->send.map_version;
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

	if (!assign_job(ps, p, j, true)) {
		job_free(j);
		return false;
	}
	g_hash_table_insert(ps->jobs, &j->aid, j);
	return true;
}

bool pools_withdraw(pools_t *ps, uint64_t aid)
{
	job_t *j = g_hash_table_lookup(ps->jobs, &aid);
	int expected = JOB_QUEUED;

	return j && atomic_compare_exchange_strong(&j->state, &expected,
						   JOB_WITHDRAWN);
}

static void send_cancel(pools_t *ps, pool_t *p, uint64_t aid)
{
	job_t *j = xcalloc(1, sizeof(*j));

	j->aid = aid;
	j->is_cancel = true;
	j->pool = p;
	if (!assign_job(ps, p, j, false))
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
	if (p->conns->len > p->max_connections)
		close_excess(p);
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
