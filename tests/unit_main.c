/** @file unit_main.c Runs the unit tests. */
#include <CUnit/Basic.h>
#include <stdlib.h>

#include "unit.h"

int main(void)
{
	unsigned failures;

	CU_initialize_registry();
	unit_base();
	unit_conf();
	unit_core();
	unit_daemon();
	unit_wire();
	unit_fleet();
	unit_route();
	unit_load();
	unit_registry();
	unit_outside();
	unit_state();
	unit_relay();
	unit_roles();
	unit_slice();
	unit_walk();
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
