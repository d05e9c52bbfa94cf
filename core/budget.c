/** @file budget.c Token budgets that limit retries and hedges. */
#include "libcore.h"

void budget_earn(budget_t *b, double share)
{
	b->tokens += share;
	if (b->tokens > BUDGET_BURST)
		b->tokens = BUDGET_BURST;
}

bool budget_take(budget_t *b)
{
	if (b->tokens < 1.0)
		return false;
	b->tokens -= 1.0;
	return true;
}
