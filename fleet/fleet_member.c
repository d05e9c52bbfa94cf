/**
 * @file fleet_member.c
 * Membership by gossip: each daemon periodically sends a few others a list of
 * members that it knows, with the time since each was heard from. In each data
 * centre one daemon asks the registry often and tells the others that they have
 * all changes; if that confirmation stops, the next ones take over in order of
 * rank. A request that the registry never answers thus delays changes only
 * until the takeover, even if all daemons lost their requests at once.
 */
#include <stdlib.h>

#include "libfleet.h"

/* Period of gossip rounds during STARTUP_TIME, when few members are known. */
#define GOSSIP_STARTUP_PERIOD (300 * USEC_PER_MSEC)
/* Four periods fit into ALIVE_TIMEOUT, so that a member does not count as down
 * after one lost message. */
#define GOSSIP_PERIOD (2 * USEC_PER_SEC)
/* During this time fleet_estimated_hosts() is at least the size from the
 * settings. */
#define STARTUP_TIME (3 * USEC_PER_SEC)
/* After startup one seed is contacted in one of this many rounds. */
#define SEED_ROUNDS 4
#define ALIVE_TIMEOUT (9 * USEC_PER_SEC) /* since a member was heard from */
/* A member that is no longer heard from is kept for as long as the maximum of
 * the host count, HOSTS_HOLD_TIME. */
#define MEMBER_EXPIRY (60 * USEC_PER_SEC)
/* fleet_estimated_hosts() returns the maximum of the last minute: a host that
 * is cut off must not consider itself the only one and use the budgets of all
 * hosts.
 */
#define HOSTS_HOLD_TIME (60 * USEC_PER_SEC)
/* fleet_estimated_hosts() adds one host for this many hosts that are alive. */
#define HOSTS_SPARE_DIVISOR 8
#define FOLLOW_MIN_HOSTS 6 /* in smaller data centres each host reads */
/* Fractions of apply_time, in which a published change must be in force. The
 * host of the second-lowest rank takes over if its state was not confirmed for
 * TAKEOVER_FRACTION, each further host one step later: the registry may refuse
 * seven hosts in a row before apply_time is over. */
#define TAKEOVER_FRACTION 0.45
#define TAKEOVER_STEP_FRACTION 0.07
/* Prevents a host from alternating between two roles. */
#define MIN_CONFIRM_TIME (3 * USEC_PER_SEC)
/* Fraction of apply_time: how long a host waits for a change that is forwarded
 * from host to host before it requests the change. */
#define RELAY_WAIT_FRACTION 0.2
/* Above the design size of 2,600 hosts. */
#define MAX_MEMBERS 4096

uint64_t fleet_rank(str_t addr)
{
	return str_hash(addr, 1);
}

fleet_t *fleet_new(const fleet_params_t *p, usec_t now)
{
	fleet_t *f = xcalloc(1, sizeof(*f));
	size_t i;

	f->addr = str_dup(p->addr);
	f->dc = str_dup(p->dc);
	f->seeds = xcalloc(p->nseeds, sizeof(*f->seeds));
	for (i = 0; i < p->nseeds; i++)
		if (!str_eq(p->seeds[i], p->addr))
			f->seeds[f->nseeds++] = str_dup(p->seeds[i]);
	f->initial_hosts = p->initial_hosts ? p->initial_hosts : 1;
	f->apply_time = p->apply_time;
	f->rng.state = p->seed;
	f->started_at = now;
	f->next_gossip_at = now;
	return f;
}

void fleet_set_apply_time(fleet_t *f, usec_t apply_time)
{
	f->apply_time = apply_time;
}

static void member_clear(fleet_member_t *m)
{
	str_free(m->addr);
	str_free(m->dc);
}

void fleet_free(fleet_t *f)
{
	size_t i;

	if (!f)
		return;
	for (i = 0; i < f->nmembers; i++)
		member_clear(&f->members[i]);
	for (i = 0; i < f->nseeds; i++)
		str_free(f->seeds[i]);
	free(f->seeds);
	free(f->members);
	str_free(f->addr);
	str_free(f->dc);
	free(f);
}

static fleet_member_t *find_member(const fleet_t *f, str_t addr)
{
	size_t i;

	for (i = 0; i < f->nmembers; i++)
		if (str_eq(f->members[i].addr, addr))
			return &f->members[i];
	return NULL;
}

static void set_later(usec_t *at, usec_t t)
{
	if (t > *at)
		*at = t;
}

static void update_member(fleet_t *f, str_t addr, str_t dc, usec_t at)
{
	fleet_member_t *m = find_member(f, addr);
	char host[ADDR_HOST_MAX];
	unsigned port;

	if (str_eq(addr, f->addr))
		return;
	if (!m) {
		if (f->nmembers == MAX_MEMBERS ||
		    !addr_split(addr, host, &port))
			return;
		f->members = xrealloc(f->members,
				      (f->nmembers + 1) * sizeof(*f->members));
		m = &f->members[f->nmembers++];
		*m = (fleet_member_t){ .addr = str_dup(addr),
				       .dc = str_dup(dc),
				       .rank = fleet_rank(addr) };
	}
	set_later(&m->last_seen_at, at);
}

bool fleet_member_alive(const fleet_member_t *m, usec_t now)
{
	return now - m->last_seen_at < ALIVE_TIMEOUT;
}

static void remove_expired(fleet_t *f, usec_t now)
{
	size_t i;

	for (i = 0; i < f->nmembers;) {
		if (now - f->members[i].last_seen_at < MEMBER_EXPIRY) {
			i++;
			continue;
		}
		member_clear(&f->members[i]);
		f->members[i] = f->members[--f->nmembers];
	}
}

static void remove_member(fleet_t *f, str_t addr)
{
	fleet_member_t *m = find_member(f, addr);

	if (!m)
		return;
	member_clear(m);
	*m = f->members[--f->nmembers];
}

/* Handles the time of the sender's last read. Only a FLEET_STATE_UPDATE of the
 * own data centre shows that its sender reads for this daemon too. */
static void update_confirmations(fleet_t *f, const fleet_msg_t *m,
				 uint64_t revision, usec_t now)
{
	usec_t at = now - m->last_read_age;
	bool same_dc = m->kind == FLEET_STATE_UPDATE && str_eq(m->dc, f->dc);

	if (m->revision <= revision) {
		set_later(&f->confirmed_at, at);
		if (same_dc)
			set_later(&f->dc_confirmed_at, at);
	}
	if (same_dc && fleet_rank(m->from) < fleet_rank(f->addr))
		set_later(&f->lower_rank_confirmed_at, at);
}

void fleet_on_message(fleet_t *f, const fleet_msg_t *m, uint64_t revision,
		      usec_t now)
{
	fleet_member_t *from;
	size_t i;

	if (m->kind == FLEET_LEAVE) {
		remove_member(f, m->from);
		return;
	}
	update_member(f, m->from, m->dc, now);
	for (i = 0; i < m->nmembers; i++)
		if (m->members[i].last_seen_age >= 0 &&
		    m->members[i].last_seen_age < MEMBER_EXPIRY)
			update_member(f, m->members[i].addr, m->members[i].dc,
				      now - m->members[i].last_seen_age);
	from = find_member(f, m->from);
	if (from)
		from->revision = m->revision;
	if (m->last_read_age >= 0)
		update_confirmations(f, m, revision, now);
}

void fleet_on_registry_read(fleet_t *f, usec_t as_of)
{
	set_later(&f->registry_read_at, as_of);
	set_later(&f->confirmed_at, as_of);
	set_later(&f->dc_confirmed_at, as_of);
}

size_t fleet_alive_count(const fleet_t *f, usec_t now)
{
	size_t n = 1, i;

	for (i = 0; i < f->nmembers; i++)
		n += fleet_member_alive(&f->members[i], now);
	return n;
}

unsigned fleet_estimated_hosts(fleet_t *f, usec_t now)
{
	unsigned n = (unsigned)fleet_alive_count(f, now);

	/* Reserve for hosts that join: an estimate slightly too high is
	 * safe. */
	n += n / HOSTS_SPARE_DIVISOR;
	if (n >= f->max_hosts || now - f->max_hosts_at > HOSTS_HOLD_TIME) {
		f->max_hosts = n;
		f->max_hosts_at = now;
	}
	if (now - f->started_at < STARTUP_TIME &&
	    f->max_hosts < f->initial_hosts)
		return f->initial_hosts;
	return f->max_hosts;
}

size_t fleet_dc_peers(const fleet_t *f, size_t *lower_ranked, usec_t now)
{
	uint64_t own = fleet_rank(f->addr);
	size_t n = 0, i;

	*lower_ranked = 0;
	for (i = 0; i < f->nmembers; i++) {
		if (!fleet_member_alive(&f->members[i], now) ||
		    !str_eq(f->members[i].dc, f->dc))
			continue;
		n++;
		*lower_ranked += f->members[i].rank < own;
	}
	return n;
}

usec_t fleet_apply_fraction(const fleet_t *f, double fraction)
{
	return (usec_t)(fraction * (double)f->apply_time);
}

/* Whether this host, of which lower_ranked others have a lower rank, must do
 * their work: no confirmation came, or none of them has confirmed since. */
static bool has_taken_over(fleet_t *f, size_t lower_ranked, usec_t now)
{
	usec_t takeover_age = fleet_apply_fraction(f, TAKEOVER_FRACTION);
	usec_t step = fleet_apply_fraction(f, TAKEOVER_STEP_FRACTION);
	usec_t max_age = takeover_age + step * (usec_t)(lower_ranked - 1);
	usec_t since = f->dc_confirmed_at ? f->dc_confirmed_at : f->started_at;
	bool overdue = now - since > max_age;
	bool unrelieved = now < f->confirm_until &&
			  now - f->lower_rank_confirmed_at > takeover_age;

	if (overdue || unrelieved)
		f->confirm_until = now + MIN_CONFIRM_TIME;
	return now < f->confirm_until;
}

fleet_role_t fleet_role(fleet_t *f, usec_t now)
{
	size_t lower_ranked, n = fleet_dc_peers(f, &lower_ranked, now);

	if (lower_ranked == 0 || has_taken_over(f, lower_ranked, now))
		return FLEET_CONFIRMER;
	/* Without a confirmation, as at the start, it is not known whether
	 * another host reads. */
	if (n + 1 < FOLLOW_MIN_HOSTS || fleet_state_age(f, now) < 0)
		return FLEET_READER;
	return FLEET_FOLLOWER;
}

usec_t fleet_state_age(const fleet_t *f, usec_t now)
{
	return f->confirmed_at ? now - f->confirmed_at : -1;
}

/* Returns a random alive member of the own data centre or of another one; NULL
 * if there is none. */
static const fleet_member_t *random_member(fleet_t *f, bool same_dc, usec_t now)
{
	size_t first, i;

	if (f->nmembers == 0)
		return NULL;
	first = rng_below(&f->rng, f->nmembers);
	for (i = 0; i < f->nmembers; i++) {
		const fleet_member_t *m =
			&f->members[(first + i) % f->nmembers];

		if (fleet_member_alive(m, now) &&
		    str_eq(m->dc, f->dc) == same_dc)
			return m;
	}
	return NULL;
}

size_t fleet_gossip_targets(fleet_t *f, str_t *to, size_t max, usec_t now)
{
	bool starting = now - f->started_at < STARTUP_TIME;
	const fleet_member_t *m;
	size_t n = 0, i;

	if (now < f->next_gossip_at)
		return 0;
	remove_expired(f, now);
	f->next_gossip_at =
		now + (starting ? GOSSIP_STARTUP_PERIOD : GOSSIP_PERIOD);
	f->next_gossip_at +=
		(usec_t)rng_below(&f->rng, GOSSIP_STARTUP_PERIOD / 2);
	m = random_member(f, true, now);
	if (m && n < max)
		to[n++] = m->addr;
	m = random_member(f, false, now);
	if (m && n < max)
		to[n++] = m->addr;
	/* Gossip with seeds rejoins the parts of a partitioned fleet. Seeds may
	 * be down or outdated. */
	if (starting || n == 0) {
		for (i = 0; i < f->nseeds && n < max; i++)
			to[n++] = f->seeds[i];
	} else if (f->nseeds && n < max &&
		   rng_below(&f->rng, SEED_ROUNDS) == 0) {
		to[n++] = f->seeds[rng_below(&f->rng, f->nseeds)];
	}
	return n;
}

usec_t fleet_next_gossip_at(const fleet_t *f)
{
	return f->next_gossip_at;
}

static int by_last_seen(const void *a, const void *b)
{
	const fleet_member_t *x = *(const fleet_member_t *const *)a;
	const fleet_member_t *y = *(const fleet_member_t *const *)b;

	if (x->last_seen_at != y->last_seen_at)
		return x->last_seen_at > y->last_seen_at ? -1 : 1;
	return str_cmp(x->addr, y->addr);
}

/* A message lists FLEET_MAX_MSG_MEMBERS members. In a fleet of a hundred hosts
 * some that run are not heard of within ALIVE_TIMEOUT; without the changes and
 * confirmations they would take over. */
size_t fleet_followers(const fleet_t *f, str_t *to, size_t max)
{
	const fleet_member_t **v = xcalloc(f->nmembers, sizeof(*v));
	size_t n = 0, i;

	for (i = 0; i < f->nmembers; i++)
		if (str_eq(f->members[i].dc, f->dc))
			v[n++] = &f->members[i];
	qsort(v, n, sizeof(*v), by_last_seen);
	if (n > max)
		n = max;
	for (i = 0; i < n; i++)
		to[i] = v[i]->addr;
	free(v);
	return n;
}

/* Returns an alive member with a higher revision, of the own data centre if
 * there is one; NULL if there is none. The choice is random because all hosts
 * that are behind send their requests at the same time. */
static const fleet_member_t *random_newer_member(fleet_t *f, uint64_t revision,
						 usec_t now)
{
	const fleet_member_t *best = NULL;
	bool best_same_dc = false;
	uint64_t n = 0;
	size_t i;

	for (i = 0; i < f->nmembers; i++) {
		const fleet_member_t *m = &f->members[i];
		bool same_dc = str_eq(m->dc, f->dc);

		if (!fleet_member_alive(m, now) || m->revision <= revision ||
		    same_dc < best_same_dc)
			continue;
		if (same_dc > best_same_dc)
			n = 0;
		best_same_dc = same_dc;
		if (rng_below(&f->rng, ++n) == 0)
			best = m;
	}
	return best;
}

/* Returns whether a change after revision may still arrive from a host that
 * forwards it. The wait starts at the first call with this revision. */
static bool relay_pending(fleet_t *f, uint64_t revision, usec_t now)
{
	size_t lower_ranked;

	if (!f->behind_since || f->behind_revision != revision) {
		f->behind_since = now;
		f->behind_revision = revision;
	}
	return fleet_dc_peers(f, &lower_ranked, now) + 1 >= FOLLOW_MIN_HOSTS &&
	       now - f->behind_since <
		       fleet_apply_fraction(f, RELAY_WAIT_FRACTION);
}

str_t fleet_request_target(fleet_t *f, uint64_t revision, bool silent,
			   usec_t now)
{
	const fleet_member_t *m = random_newer_member(f, revision, now);

	if (!m)
		f->behind_since = 0;
	else if (relay_pending(f, revision, now))
		m = NULL;
	if (!m && silent)
		m = random_member(f, rng_below(&f->rng, 2), now);
	return m ? m->addr : STR("");
}

void fleet_fill_message(fleet_t *f, fleet_msg_t *m, uint64_t revision,
			usec_t now)
{
	size_t first, i;

	m->from = f->addr;
	m->dc = f->dc;
	m->revision = revision;
	m->last_read_age = f->registry_read_at ? now - f->registry_read_at : -1;
	m->nmembers = 0;
	if (f->nmembers == 0 ||
	    (m->kind != FLEET_HELLO && m->kind != FLEET_HELLO_REPLY))
		return;
	first = rng_below(&f->rng, f->nmembers);
	for (i = 0; i < f->nmembers && m->nmembers < FLEET_MAX_MSG_MEMBERS;
	     i++) {
		const fleet_member_t *o =
			&f->members[(first + i) % f->nmembers];

		if (fleet_member_alive(o, now))
			m->members[m->nmembers++] =
				(fleet_member_info_t){ o->addr, o->dc,
						       now - o->last_seen_at };
	}
}
