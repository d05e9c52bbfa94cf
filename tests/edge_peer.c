/**
 * @file edge_peer.c
 * Tests of the messages between daemons of routed requests: lost, malformed and
 * too long ones, connections that send nothing, and the programs that refuse
 * each other's settings.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge_rig.h"

#define DATAGRAM_BYTES 1200 /* the longest one */
#define CLOSE_LIMIT_MS 1000
#define IDLE_LIMIT_MS 8000 /* for a connection that sends nothing */
#define PEER_TIMEOUT_MS 5000
#define REFUSED_METRIC "geraniumslip_peer_messages_total{what=\"refused\"}"

/* More than the daemon holds of messages at most, and more than is left when
 * their senders are gone. The address sanitizer keeps freed memory. */
#ifdef __SANITIZE_ADDRESS__
#define HELD_KB (512UL * 1024)
#define LEFT_KB (512UL * 1024)
#else
#define HELD_KB (32UL * 1024)
#define LEFT_KB (8UL * 1024)
#endif

/* The example keys of the manual page zmq_curve(7). */
#define PEER_KEYS                                                              \
	",\"peer_public_key\":\"rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7\","   \
	"\"peer_secret_key\":\"JTKVSB%%)wK0E.X)V>+}o?pNmC{O&4W4b!Ni{Lh6\""

/* A daemon that the test plays. */
typedef struct fake {
	char addr[32];
	int datagrams;
	int listener;
	unsigned ignored; /* FLEET_STATE_REQUEST messages to lose */
	unsigned requests;
	const char *conf; /* sent in reply to a FLEET_STATE_REQUEST */
	uint64_t revision;
} fake_t;

static struct sockaddr_in sockaddr_of(const char *addr)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	char host[ADDR_HOST_MAX];
	unsigned port;

	addr_split(str_of(addr), host, &port);
	inet_pton(AF_INET, host, &sa.sin_addr);
	sa.sin_port = htons((uint16_t)port);
	return sa;
}

static int open_socket(int type)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	int fd = socket(AF_INET, type | SOCK_NONBLOCK, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL_FATAL(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	return fd;
}

static int connect_to(const char *addr)
{
	struct sockaddr_in sa = sockaddr_of(addr);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	CU_ASSERT_EQUAL(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static void send_datagram(int fd, const char *addr, const char *bytes,
			  size_t sz)
{
	struct sockaddr_in sa = sockaddr_of(addr);

	CU_ASSERT_EQUAL(
		sendto(fd, bytes, sz, 0, (struct sockaddr *)&sa, sizeof(sa)),
		(ssize_t)sz);
}

/* Sends a message on a connection: its length and its bytes. */
static void send_on_connection(const char *addr, const char *bytes, size_t sz)
{
	uint32_t length = htonl((uint32_t)sz);
	int fd = connect_to(addr);

	CU_ASSERT_EQUAL(send(fd, &length, 4, 0), 4);
	CU_ASSERT_EQUAL(send(fd, bytes, sz, 0), (ssize_t)sz);
	close(fd);
}

/* Returns whether the daemon closes a connection in time. */
static bool closes(world_t *w, int fd, unsigned limit_ms)
{
	unsigned ms;
	char byte;

	for (ms = 0; ms < limit_ms; ms += 50) {
		world_run_loop(w, 50);
		if (recv(fd, &byte, 1, 0) == 0 || errno != EAGAIN)
			return true;
	}
	return false;
}

/* Memory of a daemon's process in KB, by a line of /proc/PID/status. */
static unsigned long memory_kb(const world_daemon_t *d, const char *line)
{
	char path[64], *text, *at;
	unsigned long kb = 0;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)d->pid);
	if (!g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	at = strstr(text, line);
	if (at)
		kb = strtoul(at + strlen(line), NULL, 10);
	g_free(text);
	return kb;
}

static unsigned count_fds(const world_daemon_t *d)
{
	char path[64];
	unsigned n = 0;
	GDir *dir;

	snprintf(path, sizeof(path), "/proc/%d/fd", (int)d->pid);
	dir = g_dir_open(path, 0, NULL);
	while (dir && g_dir_read_name(dir))
		n++;
	if (dir)
		g_dir_close(dir);
	return n;
}

/* Bytes that are no message leave the daemon as it was: guards against ends of
 * the process, connections that stay and memory for what a sender claims. */
static void test_malformed(void)
{
	static char zeros[DATAGRAM_BYTES + 100];
	static const struct {
		const char *name;
		const char *bytes;
		size_t sz;
		bool connected;
		bool refused_at_once;
	} cases[] = {
		{ "empty datagram", "", 0, false, true },
		{ "text", "GET / HTTP/1.1\r\n\r\n", 18, false, true },
		{ "cut message", "\x9e\x03\x00\xc4", 4, false, true },
		{ "long array", "\xdd\xff\xff\xff\xff", 5, false, true },
		{ "long datagram", zeros, sizeof(zeros), false, true },
		{ "length 0", "\0\0\0\0", 4, true, true },
		{ "length over the limit", "\1\0\0\1", 4, true, true },
		{ "greatest length", "\xff\xff\xff\xff", 4, true, true },
		{ "text on a connection", "GET / HTTP/1.1\r\n\r\n", 18, true,
		  true },
		{ "message of other bytes", "\0\0\0\3abc", 7, true, true },
		{ "half a length", "\0\0", 2, true, false },
		{ "message that does not come", "\1\0\0\0", 4, true, false },
	};
	setup_t r = setup_new();
	unsigned long before = memory_kb(r.d, "VmHWM:");
	double refused = 0, now;
	int fd = open_socket(SOCK_DGRAM), conn;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		if (!cases[i].connected) {
			send_datagram(fd, r.d->peer, cases[i].bytes,
				      cases[i].sz);
			world_run_loop(r.w, 50);
		} else {
			conn = connect_to(r.d->peer);
			CU_ASSERT_EQUAL(
				send(conn, cases[i].bytes, cases[i].sz, 0),
				(ssize_t)cases[i].sz);
			if (!closes(r.w, conn,
				    cases[i].refused_at_once ? CLOSE_LIMIT_MS
							     : IDLE_LIMIT_MS)) {
				printf("\n  %s: stays open\n", cases[i].name);
				CU_FAIL("the connection stays open");
			}
			close(conn);
		}
		now = metric(r.w, r.d, REFUSED_METRIC);
		if (now <= refused)
			printf("\n  %s: not counted\n", cases[i].name);
		CU_ASSERT(now > refused);
		refused = now;
		CU_ASSERT_EQUAL(request_status(&r, GET("/one/x", "m")), 200);
	}
	close(fd);
	CU_ASSERT(memory_kb(r.d, "VmHWM:") < before + 4096);
	world_free(r.w);
}

/* Guards against connections that use up descriptors or memory, and that keep
 * others from being heard. */
static void test_many_connections(void)
{
	setup_t r = setup_new();
	unsigned long before = memory_kb(r.d, "VmHWM:");
	unsigned fds = count_fds(r.d), i;
	world_daemon_t *other;
	int conns[300] = { 0 };

	for (i = 0; i < G_N_ELEMENTS(conns); i++) {
		conns[i] = connect_to(r.d->peer);
		/* Half of them claim a message of the greatest length. */
		if (i % 2)
			send(conns[i], "\1\0\0\0x", 5, 0);
		world_run_loop(r.w, 1);
	}
	world_run_loop(r.w, 200);
	CU_ASSERT(count_fds(r.d) <= fds + 40);
	CU_ASSERT_EQUAL(request_status(&r, GET("/one/x", "c")), 200);
	other = world_start_daemon(r.w, "x");
	CU_ASSERT(world_wait_ready(r.w, other, true, READY_TIMEOUT_MS));
	world_run_loop(r.w, 500);
	CU_ASSERT_EQUAL(metric(r.w, r.d, "geraniumslip_hosts_alive"), 2);
	CU_ASSERT(memory_kb(r.d, "VmHWM:") < before + 4096);
	world_run_loop(r.w, 6000);
	CU_ASSERT(count_fds(r.d) <= fds + 8);
	for (i = 0; i < G_N_ELEMENTS(conns); i++)
		close(conns[i]);
	world_free(r.w);
}

/* Guards against whole messages of many senders that together take all memory:
 * each sends nearly 16 MB and stops. */
static void test_held_bytes(void)
{
	setup_t r = setup_new();
	unsigned long before = memory_kb(r.d, "VmRSS:");
	char *chunk = g_malloc0(65536);
	int conns[8] = { 0 };
	unsigned i, j;

	for (i = 0; i < G_N_ELEMENTS(conns); i++) {
		conns[i] = connect_to(r.d->peer);
		send(conns[i], "\1\0\0\0", 4, 0);
	}
	for (j = 0; j < 1000; j++) {
		for (i = 0; i < G_N_ELEMENTS(conns); i++)
			send(conns[i], chunk, 65536, MSG_NOSIGNAL);
		if (j % 10 == 0)
			world_run_loop(r.w, 5);
	}
	CU_ASSERT(memory_kb(r.d, "VmHWM:") < before + HELD_KB);
	CU_ASSERT_EQUAL(request_status(&r, GET("/one/x", "h")), 200);
	for (i = 0; i < G_N_ELEMENTS(conns); i++)
		close(conns[i]);
	world_run_loop(r.w, 500);
	CU_ASSERT(memory_kb(r.d, "VmRSS:") < before + LEFT_KB);
	g_free(chunk);
	world_free(r.w);
}

static void fake_open(fake_t *f)
{
	struct sockaddr_in sa = { 0 };
	socklen_t len = sizeof(sa);

	f->datagrams = open_socket(SOCK_DGRAM);
	getsockname(f->datagrams, (struct sockaddr *)&sa, &len);
	g_snprintf(f->addr, sizeof(f->addr), "127.0.0.1:%u",
		   ntohs(sa.sin_port));
}

static void fake_send(const fake_t *f, const char *to, fleet_msg_t *m,
		      bool connected)
{
	size_t sz;
	char *bytes;

	m->from = str_of(f->addr);
	m->dc = STR("x");
	m->revision = f->revision;
	m->last_read_age = 0;
	m->registry_back_age = -1;
	bytes = fleet_encode(m, &sz);
	if (connected)
		send_on_connection(to, bytes, sz);
	else
		send_datagram(f->datagrams, to, bytes, sz);
	free(bytes);
}

/* Answers the daemon's messages that have arrived. */
static void fake_answer(fake_t *f, setup_t *r, bool connected)
{
	fleet_item_t item = { .key = str_of(r->w->protocol->config_key),
			      .value = str_of(f->conf),
			      .revision = f->revision };
	fleet_msg_t reply = { .kind = FLEET_STATE_UPDATE,
			      .items = &item,
			      .nitems = 1 };
	char buf[DATAGRAM_BYTES];
	arena_t mem = { 0 };
	fleet_msg_t m = { 0 };
	ssize_t n;

	while ((n = recv(f->datagrams, buf, sizeof(buf), 0)) > 0) {
		if (fleet_decode(buf, (size_t)n, &m, &mem) &&
		    m.kind == FLEET_STATE_REQUEST &&
		    f->requests++ >= f->ignored) {
			reply.since_revision = m.since_revision;
			fake_send(f, r->d->peer, &reply, connected);
		}
		arena_free(&mem);
	}
}

/* A change is in force in time although messages are lost: guards against a
 * change whose message, request or reply is not repeated. The neighbour shows
 * its revision once; the update itself counts as lost. Status 404 shows that
 * the change is in force; 503 comes until that is confirmed. */
static void test_lost(void)
{
	static const struct {
		const char *name;
		unsigned lost;
		bool connected;
	} cases[] = {
		{ "update lost", 0, false },
		{ "update and a reply lost", 1, false },
		{ "update and three replies lost", 3, false },
		{ "reply on a connection", 0, true },
	};
	fleet_msg_t hello = { .kind = FLEET_HELLO };
	unsigned ms, status;
	setup_t r;
	fake_t f;
	char *conf;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		r = setup_new();
		conf = r.w->protocol->convert_config(
			"{\"version\":9," CONF_HEAD CONF_ALL CONF_TAIL);
		f = (fake_t){ .ignored = cases[i].lost,
			      .conf = conf,
			      .revision = r.w->revision + 100 };
		fake_open(&f);
		CU_ASSERT_EQUAL(request_status(&r, GET("/one/x", "l")), 200);
		fake_send(&f, r.d->peer, &hello, cases[i].connected);
		status = 200;
		for (ms = 0; ms < 3000 && status != 404; ms += 50) {
			world_run_loop(r.w, 50);
			fake_answer(&f, &r, cases[i].connected);
			status = request_status(&r, GET("/one/x", "l"));
		}
		if (status != 404)
			printf("\n  %s: status %u after %u requests\n",
			       cases[i].name, status, f.requests);
		CU_ASSERT_EQUAL(status, 404);
		CU_ASSERT_EQUAL(f.requests, cases[i].lost + 1);
		close(f.datagrams);
		g_free(conf);
		world_free(r.w);
	}
}

/* Text that compression doesn't shorten by much. */
static void random_letters(char *text, size_t sz, rng_t *rng)
{
	size_t i;

	for (i = 0; i + 1 < sz; i++)
		text[i] = (char)('A' + rng_below(rng, 26) +
				 32 * rng_below(rng, 2));
	text[i] = '\0';
}

/* A state that no datagram holds reaches a daemon that cannot read the
 * registry: guards against long messages that are not sent or not read, and
 * against datagrams that are too long for their receiver. */
static void test_long_state(void)
{
	/* Messages of 6 KB, which IP could split, and of 600 KB. */
	static const unsigned nkeys[] = { 2, 200 };
	char key[32], value[3001];
	rng_t rng = { 3 };
	world_daemon_t *d;
	unsigned i, j;
	setup_t r;

	for (i = 0; i < G_N_ELEMENTS(nkeys); i++) {
		r = setup_new();
		for (j = 0; j < nkeys[i]; j++) {
			g_snprintf(key, sizeof(key), "other/%u", j);
			random_letters(value, sizeof(value), &rng);
			world_put(r.w, key, value);
		}
		world_run_loop(r.w, 500);
		r.w->store_down = true;
		d = world_start_daemon(r.w, "x");
		CU_ASSERT(world_wait_ready(r.w, d, true, PEER_TIMEOUT_MS));
		CU_ASSERT(metric(r.w, d, "geraniumslip_state_revision") >=
			  nkeys[i]);
		CU_ASSERT(metric(r.w, d, "geraniumslip_configuration_version") >
			  0);
		world_free(r.w);
	}
}

/* A daemon forwards a change to the hosts that the message lists, also one that
 * it knows: guards against a host that gets a change by neither tree where two
 * hosts read it. */
static void test_forwarding(void)
{
	fleet_msg_t update = { .kind = FLEET_STATE_UPDATE };
	fleet_msg_t m = { 0 };
	fake_t reader = { 0 }, last = { 0 };
	str_t below[1];
	char buf[DATAGRAM_BYTES];
	unsigned i, ms, forwarded;
	arena_t mem = { 0 };
	setup_t r = setup_new();
	ssize_t n;

	fake_open(&reader);
	fake_open(&last);
	below[0] = str_of(last.addr);
	reader.revision = r.w->revision + 100;
	update.since_revision = r.w->revision;
	update.origin = str_of(reader.addr);
	update.relay_to = below;
	update.nrelay_to = 1;
	for (i = 0; i < 2; i++) {
		fake_send(&reader, r.d->peer, &update, true);
		forwarded = 0;
		for (ms = 0; ms < 1000 && !forwarded; ms += 50) {
			world_run_loop(r.w, 50);
			while ((n = recv(last.datagrams, buf, sizeof(buf), 0)) >
			       0) {
				forwarded += fleet_decode(buf, (size_t)n, &m,
							  &mem) &&
					     m.kind == FLEET_STATE_UPDATE &&
					     m.revision == reader.revision &&
					     m.nrelay_to == 0;
				arena_free(&mem);
			}
		}
		CU_ASSERT_EQUAL(forwarded, 1);
	}
	close(reader.datagrams);
	close(last.datagrams);
	world_free(r.w);
}

/* Daemons with the same transport and keys hear each other and serve; with
 * different ones each serves for itself. Guards against the loss of routed
 * requests in geraniumslipd, and of their peer keys. */
static void test_programs(void)
{
	static const struct {
		const char *name;
		const char *programs[2];
		const char *settings[2];
		unsigned hosts;
	} cases[] = {
		{ "routed only",
		  { "geraniumslip-routed", "geraniumslip-routed" },
		  { "", "" },
		  2 },
		{ "both kinds",
		  { "geraniumslipd", "geraniumslipd" },
		  { "", "" },
		  2 },
		{ "keys",
		  { "geraniumslipd", "geraniumslipd" },
		  { PEER_KEYS, PEER_KEYS },
		  2 },
		{ "one without keys",
		  { "geraniumslipd", "geraniumslipd" },
		  { PEER_KEYS, "" },
		  1 },
		{ "different transports",
		  { "geraniumslipd", "geraniumslip-routed" },
		  { "", "" },
		  1 },
	};
	world_daemon_t *d[2];
	setup_t r;
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		r = setup_new();
		/* The daemon of the setup takes no part. */
		kill(r.d->pid, SIGKILL);
		for (j = 0; j < 2; j++) {
			r.w->program = cases[i].programs[j];
			r.w->more_settings = cases[i].settings[j];
			d[j] = world_start_daemon(r.w, "x");
		}
		for (j = 0; j < 2; j++)
			CU_ASSERT(world_wait_ready(r.w, d[j], true,
						   READY_TIMEOUT_MS));
		world_run_loop(r.w, 1500);
		for (j = 0; j < 2; j++) {
			unsigned hosts = (unsigned)metric(
				r.w, d[j], "geraniumslip_hosts_alive");

			if (hosts != cases[i].hosts)
				printf("\n  %s: %u hosts\n", cases[i].name,
				       hosts);
			CU_ASSERT_EQUAL(hosts, cases[i].hosts);
			r.d = d[j];
			CU_ASSERT_EQUAL(request_status(&r, GET("/all/x", "p")),
					200);
		}
		world_free(r.w);
	}
}

/* Each program names the other one for settings that it does not serve. */
static void test_refused_settings(void)
{
	static const struct {
		const char *name;
		const char *program;
		const char *settings;
		const char *text;
	} cases[] = {
		{ "searches", "geraniumslip-routed",
		  "\"platform\":[\"127.0.0.1:1\"],\"admin_token\":\"t\"",
		  "use geraniumslipd" },
		{ "peer keys", "geraniumslip-routed",
		  "\"outside\":\"own\",\"registry\":\"127.0.0.1:1\","
		  "\"ready\":\"127.0.0.1:1\"" PEER_KEYS,
		  "use geraniumslipd" },
		{ "no platform", "geraniumslipd", "\"seed\":1",
		  "/platform: missing" },
	};
	const char *dir = g_getenv("GERANIUMSLIP_BIN");
	char *file =
		g_build_filename(g_get_tmp_dir(), "edge-peer-XXXXXX", NULL);
	char *path, *text, *err;
	char *argv[] = { NULL, "--settings", file, NULL };
	int status;
	size_t i;

	close(g_mkstemp(file));
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		path = g_strdup_printf("%s/%s", dir ? dir : "build",
				       cases[i].program);
		text = g_strdup_printf(
			"{\"name\":\"d\",\"data_centre\":\"x\",\"listen\":"
			"\"127.0.0.1:1\",\"admin\":\"127.0.0.1:1\",\"peer\":"
			"\"127.0.0.1:1\",%s}",
			cases[i].settings);
		g_file_set_contents(file, text, -1, NULL);
		argv[0] = path;
		CU_ASSERT(g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL,
				       NULL, NULL, &err, &status, NULL));
		CU_ASSERT(!g_spawn_check_wait_status(status, NULL));
		if (!strstr(err, cases[i].text))
			printf("\n  %s: %s\n", cases[i].name, err);
		CU_ASSERT_PTR_NOT_NULL(strstr(err, cases[i].text));
		g_free(err);
		g_free(text);
		g_free(path);
	}
	unlink(file);
	g_free(file);
}

const edge_test_t edge_peer_tests[] = {
	{ "peer messages that are none", test_malformed },
	{ "many peer connections", test_many_connections },
	{ "bytes of peer messages", test_held_bytes },
	{ "lost peer messages", test_lost },
	{ "a long state from a neighbour", test_long_state },
	{ "changes that are forwarded", test_forwarding },
	{ "programs and transports", test_programs },
	{ "settings of the other program", test_refused_settings },
	{ NULL, NULL },
};
