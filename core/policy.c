/** @file policy.c Names of the policies that choose a server of a group. */
#include "core.h"

static const char *const names[POLICY_MAX] = {
	[POLICY_EXPECTED] = "expected",	      [POLICY_RANDOM] = "random",
	[POLICY_ROUND_ROBIN] = "round_robin", [POLICY_LEAST] = "least",
	[POLICY_TWO_CHOICES] = "two",	      [POLICY_PACK] = "pack",
};

policy_t policy_by_name(str_t name)
{
	policy_t p;

	for (p = 0; p < POLICY_MAX; p++)
		if (str_eq(name, str_of(names[p])))
			break;
	return p;
}

const char *policy_name(policy_t p)
{
	return p < POLICY_MAX ? names[p] : "?";
}
