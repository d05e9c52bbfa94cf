/** @file unit_core.c Tests of the decisions. */
#include <CUnit/CUnit.h>

#include "core.h"
#include "unit.h"

void unit_core(void)
{
	CU_add_suite("core", NULL, NULL);
}
