/** @file deploy.h Helpers shared by the programs that print deployments. */
#ifndef DEPLOY_H
#define DEPLOY_H

#include <stdio.h>
#include <stdlib.h>

#include "conf.h"

#define DEPLOY_DCS 3
#define DEPLOY_FIRST_HOST 100 /* last octet of the first host's address */
#define DEPLOY_FIRST_PORT 9000
#define DEPLOY_HOLDERS 3 /* daemons that connect to the servers of a group */
#define DEPLOY_SERVERS_PER_HOST 100

static const char *deploy_network = "127.0.0"; /* first three octets */
static unsigned deploy_nservers;	       /* added so far */

/**
 * Starts a configuration for at most max_daemons daemons. Takes the network and
 * the revision from the program's arguments; the defaults are 127.0.0 and 1.
 */
static conf_builder_t *deploy_new(int argc, char **argv, unsigned max_daemons)
{
	uint64_t revision = 1;

	if (argc > 1)
		deploy_network = argv[1];
	if (argc > 2)
		revision = strtoull(argv[2], NULL, 10);
	return conf_new(revision, max_daemons);
}

/** The data centre of the i-th server of a group, assigned round-robin. */
static const char *deploy_dc_name(conf_builder_t *b, unsigned i)
{
	return conf_dc_name(b, i % DEPLOY_DCS);
}

/**
 * Adds n groups to the last service, each with the given number of servers,
 * spread evenly over the data centres. Sets the service's holders to
 * DEPLOY_HOLDERS.
 */
static void deploy_add_groups(conf_builder_t *b, unsigned n, unsigned servers)
{
	char name[16], ip[32];
	unsigned i, j, k; /* group, server of the group, server overall */

	conf_set_holders(b, DEPLOY_HOLDERS);
	for (i = 0; i < n; i++) {
		snprintf(name, sizeof(name), "g%02u", i);
		conf_add_group(b, name);
		for (j = 0; j < servers; j++) {
			k = deploy_nservers++;
			snprintf(ip, sizeof(ip), "%s.%u", deploy_network,
				 DEPLOY_FIRST_HOST +
					 k / DEPLOY_SERVERS_PER_HOST);
			conf_add_server(b, deploy_dc_name(b, j), ip,
					DEPLOY_FIRST_PORT +
						k % DEPLOY_SERVERS_PER_HOST);
		}
	}
}

/** Checks, prints and frees the configuration; returns the exit status. */
static int deploy_print(conf_builder_t *b)
{
	return conf_emit(b, stdout, stderr) ? EXIT_FAILURE : EXIT_SUCCESS;
}

#endif
