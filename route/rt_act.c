/** @file rt_act.c The list of actions, the texts of the enums, and replies. */
#include <stdlib.h>
#include <string.h>

#include "libroute.h"

static const char *const whys[RT_WHY_MAX] = {
	[RT_WHY_NONE] = "none",
	[RT_WHY_FIRST] = "first",
	[RT_WHY_RETRY] = "retry",
	[RT_WHY_HEDGE] = "hedge",
	[RT_WHY_PROBE] = "probe",
	[RT_WHY_NO_CONFIG] = "no_configuration",
	[RT_WHY_NO_ROUTE] = "no_route",
	[RT_WHY_STATE_OLD] = "state_old",
	[RT_WHY_NO_SERVER] = "no_server",
	[RT_WHY_OVERLOAD] = "overload",
	[RT_WHY_DEADLINE] = "deadline",
	[RT_WHY_OBJECTIVE] = "objective",
	[RT_WHY_COVERAGE] = "coverage",
	[RT_WHY_BUDGET] = "budget",
	[RT_WHY_COMPLETE] = "complete",
	[RT_WHY_CALLER_CLOSED] = "caller_left",
	[RT_WHY_NOT_RUN] = "not_run",
	[RT_WHY_LOST] = "lost",
	[RT_WHY_FAILED] = "failed",
	[RT_WHY_SLOW] = "slow",
	[RT_WHY_DRAINING] = "draining",
	[RT_WHY_REMOVED] = "gone",
	[RT_WHY_NEW] = "new",
	[RT_WHY_MOVED] = "moved",
	[RT_WHY_RECOVERED] = "well",
	[RT_WHY_STALE_REPORT] = "old_word",
	[RT_WHY_HOST_SUSPENDED] = "stood_still",
	[RT_WHY_LAPSED] = "lapsed",
	[RT_WHY_SAID_LEAVING] = "said_leaving",
	[RT_WHY_STOPPING] = "stopping",
	[RT_WHY_PAUSED] = "paused",
	[RT_WHY_SCARCE] = "scarce",
	[RT_WHY_EVACUATED] = "evacuated",
	[RT_WHY_WITHDRAWN] = "withdrawn",
	[RT_WHY_UNKNOWN_DC] = "unknown_data_centre",
	[RT_WHY_COLD] = "cold",
};

static const char *const results[RT_RESULT_MAX] = {
	[RT_ANSWERED] = "answered", [RT_FAILED] = "failed",
	[RT_NOT_RUN] = "not_run",   [RT_MOVED] = "moved",
	[RT_NOT_SENT] = "not_sent", [RT_LOST] = "lost",
	[RT_EXPIRED] = "expired",
};

static const char *const outcomes[RT_OUT_MAX] = {
	[RT_OUT_PASS] = "pass",	      [RT_OUT_MERGED] = "merged",
	[RT_OUT_NOT_RUN] = "not_run", [RT_OUT_UNKNOWN] = "unknown",
	[RT_OUT_TIMEOUT] = "timeout", [RT_OUT_NO_ROUTE] = "no_route",
};

static const char *const counters[RT_CNT_MAX] = {
	[RT_CNT_REQUESTS] = "requests",
	[RT_CNT_PASSED] = "passed",
	[RT_CNT_COMPLETE] = "complete",
	[RT_CNT_PARTIAL] = "partial",
	[RT_CNT_REFUSED] = "refused",
	[RT_CNT_UNKNOWN] = "unknown",
	[RT_CNT_NO_ROUTE] = "no_route",
	[RT_CNT_CALLER_CLOSED] = "left",
	[RT_CNT_FIRST_SENDS] = "first_sends",
	[RT_CNT_RETRIES] = "retries",
	[RT_CNT_HEDGES] = "hedges",
	[RT_CNT_HEDGES_WON] = "hedges_won",
	[RT_CNT_PROBES] = "probes",
	[RT_CNT_NO_BUDGET] = "no_budget",
	[RT_CNT_WAITED] = "waited",
	[RT_CNT_SAID_LEAVING] = "servers_said_leaving",
	[RT_CNT_PAUSES] = "server_pauses",
	[RT_CNT_PARTS_LEFT_OUT] = "parts_left_out",
	[RT_CNT_REFUSED_SCARCE] = "refused_scarce",
	[RT_CNT_LEAVING_SENDS] = "leaving_sends",
	[RT_CNT_LOAD_REPORTS] = "load_reports",
	[RT_CNT_COLD_SENDS] = "cold_sends",
};

const char *rt_why_name(rt_why_t w)
{
	return w < RT_WHY_MAX ? whys[w] : "?";
}

const char *rt_result_name(rt_result_t r)
{
	return r < RT_RESULT_MAX ? results[r] : "?";
}

const char *rt_outcome_name(rt_outcome_t o)
{
	return o < RT_OUT_MAX ? outcomes[o] : "?";
}

const char *rt_counter_name(rt_counter_t k)
{
	return k < RT_CNT_MAX ? counters[k] : "?";
}

uint64_t rt_counter(const rt_t *rt, rt_counter_t k)
{
	return rt->counters[k];
}

rt_act_t *rt_act_add(rt_t *rt, rt_act_kind_t kind)
{
	rt_act_t *a;

	if (rt->nacts == rt->act_capacity) {
		rt->act_capacity = rt->act_capacity ? rt->act_capacity * 2 : 64;
		rt->acts = xrealloc(rt->acts, rt->act_capacity * sizeof(*a));
	}
	a = &rt->acts[rt->nacts++];
	memset(a, 0, sizeof(*a));
	a->kind = kind;
	return a;
}

bool rt_next_act(rt_t *rt, rt_act_t *act)
{
	if (rt->next_act == rt->nacts) {
		rt->next_act = 0;
		rt->nacts = 0;
		arena_reset(&rt->scratch);
		return false;
	}
	*act = rt->acts[rt->next_act++];
	return true;
}

void rt_log(rt_t *rt, const rt_log_line_t *line)
{
	rt_log_line_t *to;

	if (!line->info && !rt->p.debug_lines)
		return;
	to = &rt_act_add(rt, RT_ACT_LOG)->line;
	*to = *line;
	/* The request or server may be freed before the line is written. */
	to->id = arena_str(&rt->scratch, line->id);
	to->service = arena_str(&rt->scratch, line->service);
	to->server = arena_str(&rt->scratch, line->server);
	to->dc = arena_str(&rt->scratch, line->dc);
}

rt_reply_t *rt_reply_ref(rt_reply_t *r)
{
	r->refs++;
	return r;
}

void rt_reply_unref(rt_reply_t *r)
{
	if (!r || --r->refs)
		return;
	if (r->held)
		*r->held -= r->held_sz;
	str_free(r->body);
	free(r->mem);
	free(r);
}
