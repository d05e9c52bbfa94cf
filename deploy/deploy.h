/** @file deploy.h What the two deployments share. */
#ifndef DEPLOY_H
#define DEPLOY_H

#include <stdio.h>
#include <stdlib.h>

#include "conf.h"

#define DEPLOY_DCS 3
#define DEPLOY_HOST 100 /* last part of the first host's address */
#define DEPLOY_PORT 9000
#define DEPLOY_HOLDERS 3    /* daemons that connect to a group */
#define DEPLOY_PER_HOST 100 /* servers of one host */

static const char *deploy_network = "127.0.0";
static unsigned deploy_servers;

/** Starts a configuration from the program's arguments. */
static conf_builder_t *deploy_begin(int argc, char **argv, unsigned daemons)
{
	uint64_t revision = 1;

	if (argc > 1)
		deploy_network = argv[1];
	if (argc > 2)
		revision = strtoull(argv[2], NULL, 10);
	return conf_new(revision, daemons);
}

/** The data centre of the i-th replica, by the order of declaration. */
static const char *deploy_dc(conf_builder_t *b, unsigned i)
{
	return conf_dc_name(b, i % DEPLOY_DCS);
}

/** Adds n groups of so many servers, spread over the data centres. */
static void deploy_groups(conf_builder_t *b, unsigned n, unsigned servers)
{
	char name[16], ip[32];
	unsigned i, j, at;

	conf_set_holders(b, DEPLOY_HOLDERS);
	for (i = 0; i < n; i++) {
		snprintf(name, sizeof(name), "g%02u", i);
		conf_add_group(b, name);
		for (j = 0; j < servers; j++) {
			at = deploy_servers++;
			snprintf(ip, sizeof(ip), "%s.%u", deploy_network,
				 DEPLOY_HOST + at / DEPLOY_PER_HOST);
			conf_add_server(b, deploy_dc(b, j), ip,
					DEPLOY_PORT + at % DEPLOY_PER_HOST);
		}
	}
}

/** Checks and prints; the exit status. */
static int deploy_end(conf_builder_t *b)
{
	return conf_emit(b, stdout, stderr) ? EXIT_FAILURE : EXIT_SUCCESS;
}

#endif
