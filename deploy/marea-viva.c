/**
 * @file marea-viva.c
 * Prints the configuration of Marea Viva's deployment. Arguments, both
 * optional: the first three octets of the servers' addresses, such as 10.1.2,
 * and the revision.
 */
#include <stdlib.h>

#include "deploy.h"

int main(int argc, char **argv)
{
	conf_builder_t *b = deploy_new(argc, argv, 9);

	conf_set_link(b, 4000);
	conf_add_dc(b, "norte", "costa");
	conf_add_dc(b, "centro", "costa");
	conf_add_dc(b, "sur", "costa");
	conf_add_team(b, "forecast-desk", 3);
	conf_add_team(b, "dispatch", 2);
	conf_add_team(b, "billing", 1);

	conf_add_service(b, "forecast", 3, 30);
	deploy_add_groups(b, 10, 3);
	conf_add_class(b, &(conf_class_spec_t){ .name = "hindcast",
						.team = "forecast-desk",
						.kind = CONF_BROAD,
						.idempotent = true,
						.deadline_ms = 2000,
						.min_coverage = 0.5 });
	conf_add_class(b, &(conf_class_spec_t){ .name = "alert",
						.team = "dispatch",
						.kind = CONF_URGENT,
						.idempotent = true,
						.deadline_ms = 300,
						.soft_ms = 100,
						.min_coverage = 0.9 });

	conf_add_service(b, "portal", 3, 30);
	deploy_add_groups(b, 15, 3);
	conf_add_class(b, &(conf_class_spec_t){ .name = "browse",
						.kind = CONF_BROAD,
						.idempotent = true,
						.deadline_ms = 1000,
						.min_coverage = 0.8 });

	conf_add_service(b, "billing", 4, 110);
	deploy_add_groups(b, 1, 15);
	conf_add_class(b, &(conf_class_spec_t){ .name = "lookup",
						.team = "billing",
						.kind = CONF_URGENT,
						.scope = CONF_ONE,
						.idempotent = true,
						.deadline_ms = 200,
						.min_coverage = 1 });
	conf_add_class(b, &(conf_class_spec_t){ .name = "charge",
						.team = "billing",
						.kind = CONF_URGENT,
						.scope = CONF_ONE,
						.idempotent = false,
						.deadline_ms = 1000,
						.min_coverage = 1 });

	conf_add_service(b, "feed", 4, 110);
	deploy_add_groups(b, 1, 7);
	conf_add_class(b, &(conf_class_spec_t){ .name = "latest",
						.team = "dispatch",
						.kind = CONF_URGENT,
						.scope = CONF_ONE,
						.idempotent = true,
						.deadline_ms = 200,
						.min_coverage = 1 });
	return deploy_print(b);
}
