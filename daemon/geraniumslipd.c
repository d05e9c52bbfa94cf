/** @file geraniumslipd.c The daemon of searches and routed requests. */
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include "libdaemon.h"
#include "libedge.h"

static engine_t *engine;
static volatile sig_atomic_t stop_signals;

/* The first signal starts a planned stop; the second exits at once. */
static void on_signal(int sig)
{
	(void)sig;
	if (stop_signals++)
		_exit(EXIT_FAILURE);
	engine_stop(engine);
}

static void catch_signals(void)
{
	struct sigaction sa = { .sa_handler = on_signal };

	sigemptyset(&sa.sa_mask);
	sigaction(SIGTERM, &sa, NULL);
	sigaction(SIGINT, &sa, NULL);
	signal(SIGPIPE, SIG_IGN);
}

static daemon_err_t run(const char *file)
{
	daemon_err_t err;
	settings_t s;

	err = settings_read(file, NULL, &s);
	if (err != DAEMON_OK)
		goto out;
	log_start(STDOUT_FILENO, s.log_level);
	if (s.protocol) {
		err = edge_run(file, &s, &peer_transport_zmq);
		log_stop();
		goto out;
	}
	engine = engine_new(&s);
	catch_signals();
	err = engine_run(engine);
	engine_free(engine);
	log_stop();
out:
	settings_free(&s);
	return err;
}

int main(int argc, char **argv)
{
	return daemon_main(argc, argv, "geraniumslipd", run);
}
