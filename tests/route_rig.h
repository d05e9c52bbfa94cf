/**
 * @file route_rig.h
 * One host's decisions with what it sent and answered, for tests that replay
 * a load.
 */
#ifndef ROUTE_RIG_H
#define ROUTE_RIG_H

#include "route.h"

#define RIG_MAX_SENT 20000
#define RIG_SHARDS 4
#define MS USEC_PER_MSEC

/** One host, what it sent and what it answered. */
typedef struct rig {
	rt_t *rt;
	usec_t now;
	struct {
		uint64_t aid;
		char server[24];
		void *caller;
		usec_t at;
		bool over;
	} sent[RIG_MAX_SENT];
	size_t nsent;
	size_t ncancelled;
	size_t nanswers;
	rt_answer_t answer; /* the last; its pointers are gone */
	char body[256];
	size_t body_sz;
	size_t ntold;
	size_t nconfirms;
} rig_t;

/** A configuration of that version; shards begin with that service. */
rt_conf_t *rig_conf(uint64_t version, unsigned first_shard);
/** Publishes a server of a service; copy 0 is in the own data centre. */
void rig_publish(rig_t *r, unsigned service, unsigned copy, const char *state,
		 uint64_t incarnation, uint64_t report);
/** The same, its first word. */
void rig_add_server(rig_t *r, unsigned service, unsigned copy,
		    const char *state, uint64_t incarnation);
/** A host that knows nothing yet, one of a fleet. */
rig_t *rig_bare(unsigned fleet);
/** A host with a configuration and copies of each server. */
rig_t *rig_new(unsigned fleet, unsigned copies);
/** Frees it. */
void rig_free(rig_t *r);
/** Does what the decisions ask for. */
void rig_run(rig_t *r);
/** A request whose caller waits for that time. */
void rig_ask_within(rig_t *r, const char *path, void *caller, usec_t left);
/** The same, without a time. */
void rig_ask(rig_t *r, const char *path, void *caller);
/** Ends the i-th send. */
void rig_end(rig_t *r, size_t i, rt_result_t res, const char *body);
/** Lets time pass, a tick each millisecond. */
void rig_pass(rig_t *r, usec_t time);
/** How many sends a server got. */
size_t rig_sent_to(const rig_t *r, const char *server);
/** Answers of usual time, so that the statistics know the route. */
void rig_warm_up(rig_t *r, const char *path, unsigned n);

#endif
