/** @file timer.c Timers as a heap; a stale one is found out when it fires. */
#include "libcore.h"

static bool before(const timer_entry_t *a, const timer_entry_t *b)
{
	if (a->at != b->at)
		return a->at < b->at;
	return a->seq < b->seq;
}

static void swap(timer_entry_t *a, timer_entry_t *b)
{
	timer_entry_t t = *a;

	*a = *b;
	*b = t;
}

void timer_arm(core_t *c, timer_entry_t t)
{
	size_t i = c->ntimers;
	size_t up;

	if (i == c->timer_room) {
		c->timer_room = i ? i * 2 : 256;
		c->timers =
			xrealloc(c->timers, c->timer_room * sizeof(*c->timers));
	}
	t.seq = c->timer_seq++;
	c->timers[i] = t;
	c->ntimers++;
	while (i > 0) {
		up = (i - 1) / 2;
		if (!before(&c->timers[i], &c->timers[up]))
			break;
		swap(&c->timers[i], &c->timers[up]);
		i = up;
	}
}

static void sift_down(core_t *c)
{
	size_t i = 0;
	size_t kid;

	for (;;) {
		kid = i * 2 + 1;
		if (kid >= c->ntimers)
			return;
		if (kid + 1 < c->ntimers &&
		    before(&c->timers[kid + 1], &c->timers[kid]))
			kid++;
		if (!before(&c->timers[kid], &c->timers[i]))
			return;
		swap(&c->timers[i], &c->timers[kid]);
		i = kid;
	}
}

bool timer_pop(core_t *c, usec_t now, timer_entry_t *t)
{
	if (c->ntimers == 0 || c->timers[0].at > now)
		return false;
	*t = c->timers[0];
	c->timers[0] = c->timers[--c->ntimers];
	sift_down(c);
	return true;
}
