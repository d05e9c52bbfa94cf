/**
 * @file fleet_member.c
 * Members by gossip: each daemon greets a few others now and then and tells
 * of some that it knows, with the age of that knowledge. In a data centre of
 * many hosts one reads the registry and tells the others; when it is silent
 * the next ones take over in a fixed order, one after the other.
 */
#include <stdlib.h>

#include "libfleet.h"

#define GREET_EARLY (300 * USEC_PER_MSEC) /* while few are known */
/* Four of them fit into ALIVE_TIME, so that one lost message does not count. */
#define GREET_PERIOD (2 * USEC_PER_SEC)
/* Until then the size in the settings counts if it is the larger one. */
#define EARLY_TIME (3 * USEC_PER_SEC)
#define ALIVE_TIME (9 * USEC_PER_SEC) /* since a member was heard of */
/* As long as the fleet's size is remembered. */
#define FORGET_TIME (60 * USEC_PER_SEC)
/* The fleet is taken for as large as it was in the last minute: one that is
 * cut off must not think that it is alone with all budgets. */
#define HOSTS_TIME (60 * USEC_PER_SEC)
/* Hosts that come on top of those that are there, as part of them. */
#define HOSTS_SPARE 8
#define FOLLOW_MIN 6 /* in smaller data centres each host reads */
/* Parts of the time in which what is published must be in force: without a
 * word for so long the second host in order reads; each further one a little
 * later, so that seven in a row may be turned away by the registry. */
#define WORD_PART 0.45
#define NEXT_PART 0.07
/* Keeps a follower from changing to and fro. */
#define READ_AT_LEAST (3 * USEC_PER_SEC)
/* Part of the same time: a change that goes on from host to host is waited for
 * so long before somebody is asked for it. */
#define BEHIND_PART 0.2
/* Above the 2,600 hosts of the size to design for. */
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
	f->hosts = p->hosts ? p->hosts : 1;
	f->apply_time = p->apply_time;
	f->rng.state = p->seed;
	f->started_at = now;
	f->greet_at = now;
	return f;
}

static void member_clear(member_t *m)
{
	str_free(m->addr);
	str_free(m->dc);
}

void fleet_free(fleet_t *f)
{
	size_t i;

	if (!f)
		return;
	for (i = 0; i < f->n; i++)
		member_clear(&f->v[i]);
	for (i = 0; i < f->nseeds; i++)
		str_free(f->seeds[i]);
	free(f->seeds);
	free(f->v);
	str_free(f->addr);
	str_free(f->dc);
	free(f);
}

static member_t *find(const fleet_t *f, str_t addr)
{
	size_t i;

	for (i = 0; i < f->n; i++)
		if (str_eq(f->v[i].addr, addr))
			return &f->v[i];
	return NULL;
}

static void note(fleet_t *f, str_t addr, str_t dc, usec_t at)
{
	member_t *m = find(f, addr);

	if (str_eq(addr, f->addr) || addr.sz == 0)
		return;
	if (!m) {
		if (f->n == MAX_MEMBERS)
			return;
		f->v = xrealloc(f->v, (f->n + 1) * sizeof(*f->v));
		m = &f->v[f->n++];
		*m = (member_t){ .addr = str_dup(addr),
				 .dc = str_dup(dc),
				 .rank = fleet_rank(addr) };
	}
	if (at > m->heard_at)
		m->heard_at = at;
}

bool fleet_member_alive(const member_t *m, usec_t now)
{
	return now - m->heard_at < ALIVE_TIME;
}

static void forget_old(fleet_t *f, usec_t now)
{
	size_t i;

	for (i = 0; i < f->n;) {
		if (now - f->v[i].heard_at < FORGET_TIME) {
			i++;
			continue;
		}
		member_clear(&f->v[i]);
		f->v[i] = f->v[--f->n];
	}
}

static void forget(fleet_t *f, str_t addr)
{
	member_t *m = find(f, addr);

	if (!m)
		return;
	member_clear(m);
	*m = f->v[--f->n];
}

/* Somebody of the own data centre read the registry at that time. */
static void note_word(fleet_t *f, const fleet_msg_t *m, usec_t at)
{
	if (at > f->word_at)
		f->word_at = at;
	if (at > f->before_at && fleet_rank(m->from) < fleet_rank(f->addr))
		f->before_at = at;
}

void fleet_heard(fleet_t *f, const fleet_msg_t *m, usec_t now)
{
	member_t *from;
	size_t i;

	if (m->kind == FLEET_LEAVE) {
		forget(f, m->from);
		return;
	}
	note(f, m->from, m->dc, now);
	for (i = 0; i < m->ntold; i++)
		if (m->told[i].age >= 0 && m->told[i].age < FORGET_TIME)
			note(f, m->told[i].addr, m->told[i].dc,
			     now - m->told[i].age);
	from = find(f, m->from);
	if (from)
		from->revision = m->revision;
	/* Only who is in the same place reads for this one. */
	if (m->kind == FLEET_STATE && m->age >= 0 && str_eq(m->dc, f->dc))
		note_word(f, m, now - m->age);
}

void fleet_read(fleet_t *f, usec_t now)
{
	f->read_at = now;
}

size_t fleet_alive(const fleet_t *f, usec_t now)
{
	size_t n = 1, i;

	for (i = 0; i < f->n; i++)
		n += fleet_member_alive(&f->v[i], now);
	return n;
}

unsigned fleet_hosts(fleet_t *f, usec_t now)
{
	unsigned n = (unsigned)fleet_alive(f, now);

	/* Hosts may be added; a few more than there are is on the safe side. */
	n += n / HOSTS_SPARE;
	if (n >= f->most || now - f->most_at > HOSTS_TIME) {
		f->most = n;
		f->most_at = now;
	}
	if (now - f->started_at < EARLY_TIME && f->most < f->hosts)
		return f->hosts;
	return f->most;
}

size_t fleet_neighbours(const fleet_t *f, size_t *before, usec_t now)
{
	uint64_t own = fleet_rank(f->addr);
	size_t n = 0, i;

	*before = 0;
	for (i = 0; i < f->n; i++) {
		if (!fleet_member_alive(&f->v[i], now) ||
		    !str_eq(f->v[i].dc, f->dc))
			continue;
		n++;
		*before += f->v[i].rank < own;
	}
	return n;
}

usec_t fleet_part(const fleet_t *f, double part)
{
	return (usec_t)(part * (double)f->apply_time);
}

bool fleet_should_read(fleet_t *f, usec_t now)
{
	size_t before, n = fleet_neighbours(f, &before, now);
	usec_t age = fleet_age(f, now), patience;

	if (n + 1 < FOLLOW_MIN || before == 0)
		return true;
	patience = fleet_part(f, WORD_PART + NEXT_PART * (double)(before - 1));
	if (age < 0 || age > patience)
		f->own_until = now + READ_AT_LEAST;
	/* Who took over goes on until somebody before it is heard again. */
	if (now < f->own_until && now - f->before_at > fleet_part(f, WORD_PART))
		f->own_until = now + READ_AT_LEAST;
	return now < f->own_until;
}

bool fleet_has_followers(const fleet_t *f, usec_t now)
{
	size_t before;

	if (fleet_neighbours(f, &before, now) + 1 < FOLLOW_MIN)
		return false;
	/* At the start nobody was heard yet, and every host reads. */
	return before == 0 ||
	       (now - f->started_at > EARLY_TIME && now < f->own_until);
}

usec_t fleet_age(const fleet_t *f, usec_t now)
{
	usec_t at = f->read_at > f->word_at ? f->read_at : f->word_at;

	return at ? now - at : -1;
}

/* A random member that is alive, of the own data centre or of another. */
static const member_t *random_member(fleet_t *f, bool same_dc, usec_t now)
{
	size_t first, i;

	if (f->n == 0)
		return NULL;
	first = rng_below(&f->rng, f->n);
	for (i = 0; i < f->n; i++) {
		const member_t *m = &f->v[(first + i) % f->n];

		if (fleet_member_alive(m, now) &&
		    str_eq(m->dc, f->dc) == same_dc)
			return m;
	}
	return NULL;
}

size_t fleet_greet(fleet_t *f, str_t *to, size_t max, usec_t now)
{
	bool early = now - f->started_at < EARLY_TIME;
	const member_t *m;
	size_t n = 0, i;

	if (now < f->greet_at)
		return 0;
	forget_old(f, now);
	f->greet_at = now + (early ? GREET_EARLY : GREET_PERIOD);
	f->greet_at += (usec_t)rng_below(&f->rng, GREET_EARLY / 2);
	m = random_member(f, true, now);
	if (m && n < max)
		to[n++] = m->addr;
	m = random_member(f, false, now);
	if (m && n < max)
		to[n++] = m->addr;
	/* Seeds heal a split; they may be down or not of today. */
	if (early || n == 0) {
		for (i = 0; i < f->nseeds && n < max; i++)
			to[n++] = f->seeds[i];
	} else if (f->nseeds && n < max && rng_below(&f->rng, 4) == 0) {
		to[n++] = f->seeds[rng_below(&f->rng, f->nseeds)];
	}
	return n;
}

usec_t fleet_next(const fleet_t *f)
{
	return f->greet_at;
}

size_t fleet_followers(const fleet_t *f, str_t *to, size_t max, usec_t now)
{
	size_t n = 0, i;

	for (i = 0; i < f->n && n < max; i++)
		if (fleet_member_alive(&f->v[i], now) &&
		    str_eq(f->v[i].dc, f->dc))
			to[n++] = f->v[i].addr;
	return n;
}

/* Of those who know more, one of the own data centre if there is any: a random
 * one, since all who are behind ask at the same time. */
static const member_t *who_knows(fleet_t *f, uint64_t revision, usec_t now)
{
	const member_t *best = NULL;
	bool near_best = false;
	uint64_t n = 0;
	size_t i;

	for (i = 0; i < f->n; i++) {
		const member_t *m = &f->v[i];
		bool near = str_eq(m->dc, f->dc);

		if (!fleet_member_alive(m, now) || m->revision <= revision ||
		    near < near_best)
			continue;
		if (near > near_best)
			n = 0;
		near_best = near;
		if (rng_below(&f->rng, ++n) == 0)
			best = m;
	}
	return best;
}

/* Whether a change may still be on its way from host to host. */
static bool may_come(fleet_t *f, uint64_t revision, usec_t now)
{
	size_t before;

	if (!f->behind_at || f->behind_with != revision) {
		f->behind_at = now;
		f->behind_with = revision;
	}
	return fleet_neighbours(f, &before, now) + 1 >= FOLLOW_MIN &&
	       now - f->behind_at < fleet_part(f, BEHIND_PART);
}

str_t fleet_ask(fleet_t *f, uint64_t revision, bool silent, usec_t now)
{
	const member_t *m = who_knows(f, revision, now);

	if (!m)
		f->behind_at = 0;
	else if (may_come(f, revision, now))
		m = NULL;
	if (!m && silent)
		m = random_member(f, rng_below(&f->rng, 2), now);
	return m ? m->addr : STR("");
}

void fleet_tell(fleet_t *f, fleet_msg_t *m, uint64_t revision, usec_t now)
{
	size_t first, i;

	m->from = f->addr;
	m->dc = f->dc;
	m->revision = revision;
	m->age = f->read_at ? now - f->read_at : -1;
	m->ntold = 0;
	if (f->n == 0 || (m->kind != FLEET_HELLO && m->kind != FLEET_WELCOME))
		return;
	first = rng_below(&f->rng, f->n);
	for (i = 0; i < f->n && m->ntold < FLEET_MAX_TOLD; i++) {
		const member_t *o = &f->v[(first + i) % f->n];

		if (fleet_member_alive(o, now))
			m->told[m->ntold++] =
				(fleet_told_t){ o->addr, o->dc,
						now - o->heard_at };
	}
}
