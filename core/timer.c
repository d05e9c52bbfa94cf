/** @file timer.c Heap of timers; handlers ignore obsolete timers. */
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
	size_t parent;

	if (i == c->timer_capacity) {
		c->timer_capacity = i ? i * 2 : 256;
		c->timers = xrealloc(c->timers,
				     c->timer_capacity * sizeof(*c->timers));
	}
	t.seq = c->timer_seq++;
	c->timers[i] = t;
	c->ntimers++;
	while (i > 0) {
		parent = (i - 1) / 2;
		if (!before(&c->timers[i], &c->timers[parent]))
			break;
		swap(&c->timers[i], &c->timers[parent]);
		i = parent;
	}
}

static void sift_down(core_t *c)
{
	size_t i = 0;
	size_t child;

	for (;;) {
		child = i * 2 + 1;
		if (child >= c->ntimers)
			return;
		if (child + 1 < c->ntimers &&
		    before(&c->timers[child + 1], &c->timers[child]))
			child++;
		if (!before(&c->timers[child], &c->timers[i]))
			return;
		swap(&c->timers[i], &c->timers[child]);
		i = child;
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
