/**
 * @file balapan.c
 * Prints the configuration of Balapan Jinaq's deployment. Arguments, both
 * optional: the first three octets of the servers' addresses, such as 10.1.2,
 * and the revision.
 */
#include <stdlib.h>

#include "deploy.h"

int main(int argc, char **argv)
{
	conf_builder_t *b = deploy_new(argc, argv, 9);

	conf_set_link(b, 3000);
	conf_add_dc(b, "almaty", "jinaq");
	conf_add_dc(b, "astana", "jinaq");
	conf_add_dc(b, "shymkent", "jinaq");
	conf_add_team(b, "branches", 2);
	conf_add_team(b, "family-app", 3);
	conf_add_team(b, "compliance", 1);

	conf_add_service(b, "counter", 3, 30);
	deploy_add_groups(b, 10, 3);
	conf_add_class(b, &(conf_class_spec_t){ .name = "history",
						.team = "branches",
						.kind = CONF_URGENT,
						.idempotent = true,
						.deadline_ms = 300,
						.soft_ms = 80,
						.min_coverage = 0.9 });

	conf_add_service(b, "ledger", 3, 30);
	deploy_add_groups(b, 15, 3);
	conf_add_class(b, &(conf_class_spec_t){ .name = "balance",
						.team = "family-app",
						.kind = CONF_URGENT,
						.idempotent = true,
						.deadline_ms = 300,
						.soft_ms = 80,
						.min_coverage = 1 });
	conf_add_class(b, &(conf_class_spec_t){ .name = "deposit",
						.team = "family-app",
						.kind = CONF_URGENT,
						.scope = CONF_ONE,
						.idempotent = false,
						.deadline_ms = 1000,
						.min_coverage = 1 });
	conf_add_class(b, &(conf_class_spec_t){ .name = "report",
						.team = "branches",
						.kind = CONF_BROAD,
						.idempotent = true,
						.deadline_ms = 2000,
						.min_coverage = 0.9 });

	conf_add_service(b, "compliance", 6, 50);
	deploy_add_groups(b, 1, 7);
	conf_add_class(b, &(conf_class_spec_t){ .name = "audit",
						.team = "compliance",
						.kind = CONF_URGENT,
						.scope = CONF_ONE,
						.idempotent = true,
						.deadline_ms = 500,
						.min_coverage = 1 });

	conf_add_service(b, "statements", 6, 50);
	deploy_add_groups(b, 1, 3);
	conf_add_class(b, &(conf_class_spec_t){ .name = "mail",
						.kind = CONF_BROAD,
						.scope = CONF_ONE,
						.idempotent = false,
						.deadline_ms = 2000,
						.min_coverage = 1 });
	return deploy_print(b);
}
