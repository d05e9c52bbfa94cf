/**
 * @file case.c
 * The settings file changes: one of its figures is a fraction from then on. The
 * daemon gets SIGHUP and is later killed and started again.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "../common/rig.h"

#define CHANGE_AT_MS 4000
#define KILL_AT_MS 8000
#define RESTART_DELAY_MS 1600
#define RECOVERY_MS 12000
#define AFTER_MS 5000
#define REQUEST_PERIOD_MS 50
#define LIMIT_MS 2000

static void handle(rig_server_t *s, world_conn_t *c)
{
	char id[64];

	rig_id(c, id, sizeof(id));
	rig_ran(s, id);
	rig_answer(c, "200 OK", "");
}

/* The platform fills in the template of the settings once more. */
static void change_settings(rig_t *r)
{
	char *change = rig_text(r, "change.txt"), *text;
	char **pair = g_strsplit(g_strchomp(change), "\t", 2);
	GString *s;

	if (!g_file_get_contents(r->settings, &text, NULL, NULL))
		g_error("cannot read %s", r->settings);
	s = g_string_new(text);
	if (g_string_replace(s, pair[0], pair[1], 0) != 1)
		g_error("%s is not in the settings", pair[0]);
	g_file_set_contents(r->settings, s->str, -1, NULL);
	rig_note(r, "the settings file has %s now, not %s", pair[1], pair[0]);
	g_string_free(s, TRUE);
	g_strfreev(pair);
	g_free(text);
	g_free(change);
}

static unsigned send_requests(rig_t *r, unsigned ms)
{
	unsigned until = rig_ms(r) + ms, served = 0;
	guint from = r->calls->len, i;

	while (rig_ms(r) < until) {
		rig_call(r, "GET /audit/2f", "", LIMIT_MS);
		world_run_loop(r->w, REQUEST_PERIOD_MS);
	}
	world_run_loop(r->w, LIMIT_MS);
	for (i = from; i < r->calls->len; i++)
		served += ((rig_call_t *)r->calls->pdata[i])->status == 200;
	rig_note(r, "%u requests, %u served", r->calls->len - from, served);
	return served;
}

/* Starts the daemon again whenever it has ended, as the platform does. Returns
 * how often it ended by itself. */
static unsigned keep_running(rig_t *r, unsigned ms)
{
	unsigned until = rig_ms(r) + ms, ends = 0;
	int status = 0;

	rig_restart_daemon(r);
	while (rig_ms(r) < until) {
		world_run_loop(r->w, RESTART_DELAY_MS);
		if (!rig_daemon_ended(r, &status))
			continue;
		rig_note(r, "the daemon ended by itself with status %d",
			 WEXITSTATUS(status));
		ends++;
		rig_restart_daemon(r);
	}
	return ends;
}

int main(int argc, char **argv)
{
	rig_t *r = rig_new(argc > 1 ? argv[1] : "review/5");
	unsigned ends, served;

	rig_server(r, "i-0", "compliance-desk", "almaty-a", handle);
	if (!rig_start_daemon(r)) {
		rig_free(r);
		return 2;
	}
	send_requests(r, CHANGE_AT_MS);
	if (r->trouble) {
		change_settings(r);
		kill(r->pid, SIGHUP);
	}
	send_requests(r, KILL_AT_MS - CHANGE_AT_MS);
	rig_note(r, "the daemon is killed");
	kill(r->pid, SIGKILL);
	waitpid(r->pid, NULL, 0);
	world_run_loop(r->w, RESTART_DELAY_MS);
	ends = keep_running(r, RECOVERY_MS);
	served = send_requests(r, AFTER_MS);
	rig_note(r, "the daemon ended %u times by itself", ends);
	rig_free(r);
	return ends >= 3 && !served ? 1 : 0;
}
