/**
 * @file edge_turn.c
 * Turns of the event loop, and how long input may have waited unread. See
 * docs/design/unread-time.md.
 */
#include "libedge.h"

/* Shortest wait that counts as one. The loop's clock has steps of up to 4 ms,
 * and two readings of it are compared. */
#define MIN_WAIT (8 * USEC_PER_MSEC)
/* A wait that ends this long after a timer was due: the process was stopped or
 * had no processor. Sleeping processes wake some milliseconds late on any busy
 * machine. */
#define WAKE_SLACK (25 * USEC_PER_MSEC)
/* Error of the age that the kernel reports: its clock has steps of 4 ms, and
 * the age is in whole milliseconds. */
#define KERNEL_AGE_ERROR (5 * USEC_PER_MSEC)

static bool overslept(const turn_times_t *t)
{
	return t->wait_ended - t->wake_due > WAKE_SLACK;
}

usec_t turn_earliest_arrival(const turn_times_t *t)
{
	bool waited = t->wait_ended - t->wait_began >= MIN_WAIT;

	return waited && !overslept(t) ? t->wait_ended : t->looked_before;
}

void turn_begin(turn_times_t *t, usec_t wake_due, usec_t now)
{
	t->looked_before = overslept(t) ? t->ended_before : t->wait_ended;
	t->ended_before = t->wait_ended;
	t->wait_began = now;
	t->wake_due = wake_due;
}

usec_t input_earliest_arrival(usec_t earliest, usec_t kernel_age,
			      usec_t last_seen, usec_t now)
{
	usec_t at = now - kernel_age;

	if (kernel_age <= 0 || at < last_seen - KERNEL_AGE_ERROR)
		return earliest;
	if (at < last_seen)
		at = last_seen;
	return at < earliest ? at : earliest;
}

bool input_times_has_new(const input_times_t *t, size_t unread)
{
	return t->consumed + unread > t->received;
}

void input_times_add(input_times_t *t, size_t unread, size_t most,
		     usec_t earliest, usec_t now)
{
	bool rest = t->was_full && t->last_earliest < earliest;

	if (rest)
		earliest = t->last_earliest;
	t->received = t->consumed + unread;
	t->was_full = unread >= most;
	t->last_earliest = earliest;
	t->last_seen = now;
	if (t->nmarks == INPUT_MARKS)
		t->marks[t->nmarks - 1].end = t->received;
	else
		t->marks[t->nmarks++] = (input_mark_t){ t->received, earliest };
}

usec_t input_times_earliest(const input_times_t *t, usec_t now)
{
	return t->nmarks ? t->marks[0].earliest : now;
}

void input_times_consume(input_times_t *t, size_t n)
{
	unsigned i, gone = 0;

	t->consumed += n;
	while (gone < t->nmarks && t->marks[gone].end <= t->consumed)
		gone++;
	t->nmarks -= gone;
	for (i = 0; i < t->nmarks; i++)
		t->marks[i] = t->marks[i + gone];
}

void edge_turn_mark(edge_t *e)
{
	turn_times_t *t = &e->turn;
	usec_t now = clock_now(), since;
	struct timeval ended, tv;

	if (e->turn_marked)
		return;
	e->turn_marked = true;
	/* The loop's own clock stands still from the end of the wait until it
	 * is updated here. */
	event_base_gettimeofday_cached(e->base, &ended);
	event_base_update_cache_time(e->base);
	event_base_gettimeofday_cached(e->base, &tv);
	since = (tv.tv_sec - ended.tv_sec) * USEC_PER_SEC +
		(tv.tv_usec - ended.tv_usec);
	/* It follows the wall clock, which may be set at any time. */
	if (since < 0)
		since = 0;
	t->wait_ended = now - since;
	if (t->wait_ended < t->wait_began)
		t->wait_ended = t->wait_began;
}

usec_t edge_turn_earliest_arrival(edge_t *e)
{
	edge_turn_mark(e);
	return turn_earliest_arrival(&e->turn);
}

int edge_turn_run(edge_t *e, int flags, usec_t wake_due)
{
	turn_times_t *t = &e->turn;
	usec_t now;
	int result;

	e->turn_number++;
	e->turn_marked = false;
	turn_begin(t, wake_due, clock_now());
	result = event_base_loop(e->base, flags);
	now = clock_now();
	/* Only short callbacks of the libraries run without a mark: a turn that
	 * took long without one waited until its end. */
	if (!e->turn_marked)
		t->wait_ended =
			now - t->wait_began < MIN_WAIT ? t->wait_began : now;
	return result;
}
