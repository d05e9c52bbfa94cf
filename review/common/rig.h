/**
 * @file rig.h
 * What the review's cases share: a daemon with the template of the deploy file,
 * servers whose behaviour a case chooses, and the record of a run.
 */
#ifndef RIG_H
#define RIG_H

#include <stdio.h>

#include "libworld.h"
#include "standin.h"

/** A server of a case. */
typedef struct rig_server {
	world_server_t
		ws; /**< first member: world_conn_t::server points to it */
	/** Handles a request; the connection is freed or reads the next one. */
	void (*handle)(struct rig_server *s, world_conn_t *c);
	unsigned active; /**< requests that it works on */
	unsigned n;	 /**< counter for the case */
	void *arg;	 /**< of the case */
} rig_server_t;

/** A request of a client, on a connection of its own. */
typedef struct rig_call {
	struct rig *r;
	char id[40];
	unsigned status; /**< 0: no complete answer */
	bool done;
	usec_t sent_at;
	usec_t ended_at;
	unsigned runs; /**< how often servers ran it */
	struct bufferevent *bev;
	struct event *timer;
	http_msg_t msg;
} rig_call_t;

/** Environment of a case. */
typedef struct rig {
	world_t *w;
	FILE *record;
	usec_t began;
	GPtrArray *calls;   /**< of rig_call_t */
	GHashTable *by_id;  /**< id to rig_call_t */
	GPtrArray *servers; /**< of rig_server_t */
	bool trouble; /**< false: TROUBLE=0, the run without the disruption */
	const char *dir; /**< folder of the case */
	char *listen;	 /**< addresses of the daemon */
	char *ready;
	char *settings;
	char *log;
	pid_t pid;
} rig_t;

/**
 * Creates the environment, opens record.txt in the folder and publishes the
 * configuration in config.json of the folder.
 */
rig_t *rig_new(const char *dir);
/** Ends the daemon, closes the record and frees everything. */
void rig_free(rig_t *r);
/** Writes a line with the time since the start to the record. */
void rig_note(rig_t *r, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/** Starts a server of a service and publishes it as ready. */
rig_server_t *rig_server(rig_t *r, const char *id, const char *service,
			 const char *dc,
			 void (*handle)(rig_server_t *, world_conn_t *));
/** Starts the daemon; false if it isn't ready after some seconds. */
bool rig_start_daemon(rig_t *r);
/** Starts the daemon again after its end, with the same settings. */
void rig_restart_daemon(rig_t *r);
/** The daemon's resident memory in MB; 0 if it has ended. */
unsigned rig_daemon_mb(const rig_t *r);
/** Whether the daemon's process has ended by itself. */
bool rig_daemon_ended(rig_t *r, int *status);
/** The value of a header line that the daemon's protocol names. */
str_t rig_header(const rig_t *r, const http_msg_t *m, outside_header_t h);
/** The name of a header line. */
const char *rig_name(const rig_t *r, outside_header_t h);
/**
 * Sends a request on a new connection. The text's first line and its other
 * lines come from the case; the id and the time limit are added here.
 */
rig_call_t *rig_call(rig_t *r, const char *first_line, const char *body,
		     unsigned limit_ms);
/** Copies the id of the request that a server's connection has. */
void rig_id(const world_conn_t *c, char *id, size_t sz);
/** Counts and records that a server began to run a request. */
void rig_ran(rig_server_t *s, const char *id);
/**
 * Answers the request of a connection with a status ("200 OK"), more header
 * lines, and the id and the stamp of the server, and reads the next request.
 */
void rig_answer(world_conn_t *c, const char *status, const char *lines);
/**
 * Counts and records the requests that ran although their answer promises that
 * they did not, or more than once.
 */
unsigned rig_judge_once(rig_t *r);
/** Milliseconds since the start. */
unsigned rig_ms(const rig_t *r);
/** Reads a file of the case's folder; the caller frees the text. */
char *rig_text(const rig_t *r, const char *name);
/** Writes bytes on a connection. */
void rig_write(world_conn_t *c, const char *bytes, size_t n);

#endif
