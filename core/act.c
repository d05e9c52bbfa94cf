/** @file act.c Action list of a step and texts of the enums. */
#include <stdlib.h>
#include <string.h>

#include "libcore.h"

static const char *const outcomes[OUT_MAX] = {
	[OUT_COMPLETE] = "complete",
	[OUT_PARTIAL] = "partial",
	[OUT_NOT_RUN] = "not_run",
	[OUT_UNKNOWN] = "unknown",
};

static const char *const whys[WHY_MAX] = {
	[WHY_NONE] = "none",
	[WHY_CHOSEN] = "chosen",
	[WHY_ONLY_ONE] = "only_one",
	[WHY_RETRY] = "retry",
	[WHY_HEDGE] = "hedge",
	[WHY_BUSY] = "busy",
	[WHY_DEADLINE] = "deadline",
	[WHY_SOFT_DEADLINE] = "soft_deadline",
	[WHY_NO_CONFIG] = "no_configuration",
	[WHY_NO_SERVICE] = "no_such_service",
	[WHY_NO_CLASS] = "no_such_class",
	[WHY_NO_ROUTE] = "no_route",
	[WHY_NO_SERVER] = "no_server",
	[WHY_NO_COMMON_SNAPSHOT] = "no_common_snapshot",
	[WHY_STOPPING] = "stopping",
	[WHY_OVERLOAD] = "overload",
	[WHY_NOT_SENT] = "not_sent",
	[WHY_SHED] = "shed",
	[WHY_SNAPSHOT_MISSING] = "miss",
	[WHY_LOST] = "lost",
	[WHY_MISMATCH] = "crossed",
	[WHY_ERROR] = "error",
	[WHY_LEAVING] = "leaving",
	[WHY_STALE_LIST] = "stale_list",
	[WHY_DUPLICATE] = "duplicate",
	[WHY_KEY_HOME_UNAVAILABLE] = "key_home_away",
	[WHY_KEY_HOME_CHANGED] = "key_home_new",
	[WHY_PAUSED] = "paused",
	[WHY_BUDGET] = "budget",
	[WHY_LOWER_REVISION] = "lower_revision",
	[WHY_SAME_REVISION] = "same_revision",
	[WHY_NEWER_REVISION] = "newer_revision",
	[WHY_KEY_REUSED] = "key_reused",
	[WHY_FORWARDED] = "forwarded",
};

static const char *const results[RES_MAX] = {
	[RES_OK] = "ok",       [RES_NOT_SENT] = "not_sent",
	[RES_SHED] = "shed",   [RES_SNAPSHOT_MISSING] = "miss",
	[RES_LOST] = "lost",   [RES_MISMATCH] = "crossed",
	[RES_ERROR] = "error", [RES_CANCELLED] = "cancelled",
};

static const char *const decisions[DEC_MAX] = {
	[DEC_PIN] = "pin",	     [DEC_ROUTE] = "route",
	[DEC_WAIT] = "wait",	     [DEC_SHARD_FAILED] = "shard_failed",
	[DEC_RESTART] = "restart",   [DEC_ANSWER] = "answer",
	[DEC_LEAVING] = "leaving",   [DEC_CONFIG] = "config",
	[DEC_PAUSE] = "pause",	     [DEC_HOLDER] = "holder",
	[DEC_KEY_HOME] = "key_home", [DEC_READ] = "read",
};

static const char *const counters[CNT_MAX] = {
	[CNT_QUERIES] = "queries",
	[CNT_ANSWERED_COMPLETE] = "answered_complete",
	[CNT_ANSWERED_PARTIAL] = "answered_partial",
	[CNT_ANSWERED_NOT_RUN] = "answered_not_run",
	[CNT_ANSWERED_UNKNOWN] = "answered_unknown",
	[CNT_FIRST_ATTEMPTS] = "first_attempts",
	[CNT_RETRIES] = "retries",
	[CNT_HEDGES] = "hedges",
	[CNT_HEDGES_WON] = "hedges_won",
	[CNT_SHED] = "shed",
	[CNT_SNAPSHOT_MISSING] = "miss",
	[CNT_LOST] = "lost",
	[CNT_MISMATCH] = "crossed",
	[CNT_NOT_SENT] = "not_sent",
	[CNT_RESTARTS] = "restarts",
	[CNT_LATE_RESULTS] = "late",
	[CNT_BUDGET_DENIED] = "budget_denied",
	[CNT_PAUSES] = "pauses",
	[CNT_PEER_SENT] = "peer_sent",
	[CNT_PEER_RECEIVED] = "peer_received",
	[CNT_FORWARDS] = "forwards",
	[CNT_FORWARDED_GROUPS] = "forwarded_groups",
	[CNT_KEYS_FORWARDED] = "keyed_away",
	[CNT_KEY_DUPLICATES] = "key_duplicates",
};

const char *outcome_name(outcome_t o)
{
	return o < OUT_MAX ? outcomes[o] : "?";
}

const char *why_name(why_t w)
{
	return w < WHY_MAX ? whys[w] : "?";
}

const char *result_name(result_t r)
{
	return r < RES_MAX ? results[r] : "?";
}

const char *decision_name(decision_t d)
{
	return d < DEC_MAX ? decisions[d] : "?";
}

const char *counter_name(counter_t k)
{
	return k < CNT_MAX ? counters[k] : "?";
}

act_t *act_add(core_t *c, act_kind_t kind)
{
	acts_t *a = c->acts;
	act_t *act;

	if (a->n == a->capacity) {
		a->capacity = a->capacity ? a->capacity * 2 : 64;
		a->v = xrealloc(a->v, a->capacity * sizeof(*a->v));
	}
	act = &a->v[a->n++];
	memset(act, 0, sizeof(*act));
	act->kind = kind;
	return act;
}

void act_log(core_t *c, const decision_line_t *line)
{
	act_add(c, ACT_LOG)->log = *line;
}

void acts_free(acts_t *a)
{
	free(a->v);
	*a = (acts_t){ 0 };
}
