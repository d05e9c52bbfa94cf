/** @file geraniumslip-routed.c The daemon that serves only routed requests. */
#include <malloc.h>
#include <stdio.h>
#include <unistd.h>

#include "libedge.h"

#define PROGRAM "geraniumslip-routed"
/* The C library's own initial value. Setting it keeps malloc() from raising
 * this limit and that for mmap() after the first large answer, which then left
 * 6 MB of free memory in the process. */
#define TRIM_THRESHOLD_BYTES (128 * 1024)

/* Prints to stderr why this program does not serve the settings. */
static bool accepts(const char *file, const settings_t *s)
{
	if (!s->protocol)
		fprintf(stderr,
			"%s: /outside: missing, and " PROGRAM
			" serves only routed requests: use geraniumslipd\n",
			file);
	else if (!edge_supports(&peer_transport_socket, s))
		fprintf(stderr,
			"%s: /peer_secret_key: " PROGRAM
			" does not encrypt messages to peers: use "
			"geraniumslipd\n",
			file);
	else
		return true;
	return false;
}

static daemon_err_t run(const char *file)
{
	daemon_err_t err;
	settings_t s;

	err = settings_read(file, NULL, &s);
	if (err == DAEMON_OK && !accepts(file, &s))
		err = DAEMON_E_MODE;
	if (err == DAEMON_OK) {
		log_start(STDOUT_FILENO, s.log_level);
		err = edge_run(file, &s, &peer_transport_socket);
		log_stop();
	}
	settings_free(&s);
	return err;
}

int main(int argc, char **argv)
{
	mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES);
	return daemon_main(argc, argv, PROGRAM, run);
}
