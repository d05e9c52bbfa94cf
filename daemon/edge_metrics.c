/** @file edge_metrics.c Metrics of the routed path as Prometheus text. */
#include <event2/http.h>

#include "libedge.h"

static void put_hist(struct evbuffer *out, const char *name, const char *label,
		     const char *value, const rt_hist_t *h)
{
	uint64_t cumulative = 0;
	size_t i;

	for (i = 0; i < RT_HIST_BOUNDS; i++) {
		cumulative += h->count[i];
		evbuffer_add_printf(out,
				    "geraniumslip_%s_seconds_bucket"
				    "{%s=\"%s\",le=\"%g\"} %llu\n",
				    name, label, value,
				    (double)rt_hist_bounds[i] /
					    (double)USEC_PER_SEC,
				    (unsigned long long)cumulative);
	}
	evbuffer_add_printf(
		out,
		"geraniumslip_%s_seconds_bucket{%s=\"%s\",le=\"+Inf\"} %llu\n"
		"geraniumslip_%s_seconds_sum{%s=\"%s\"} %.6f\n"
		"geraniumslip_%s_seconds_count{%s=\"%s\"} %llu\n",
		name, label, value, (unsigned long long)h->total, name, label,
		value, (double)h->sum / (double)USEC_PER_SEC, name, label,
		value, (unsigned long long)h->total);
}

static void put_hists(struct evbuffer *out, const rt_t *rt)
{
	rt_outcome_t o;
	rt_result_t r;

	evbuffer_add_printf(out,
			    "# TYPE geraniumslip_request_seconds histogram\n");
	for (o = 0; o < RT_OUT_MAX; o++)
		put_hist(out, "request", "outcome", rt_outcome_name(o),
			 rt_hist_requests(rt, o));
	evbuffer_add_printf(out,
			    "# TYPE geraniumslip_send_seconds histogram\n");
	for (r = 0; r < RT_RESULT_MAX; r++)
		put_hist(out, "send", "result", rt_result_name(r),
			 rt_hist_sends(rt, r));
	evbuffer_add_printf(out,
			    "# TYPE geraniumslip_wait_seconds histogram\n");
	put_hist(out, "wait", "for", "server", rt_hist_waits(rt));
}

static void put_gauge(struct evbuffer *out, const char *name, double v)
{
	evbuffer_add_printf(out,
			    "# TYPE geraniumslip_%s gauge\n"
			    "geraniumslip_%s %.15g\n",
			    name, name, v);
}

static void put_ignored_reports(struct evbuffer *out, const edge_t *e)
{
	evbuffer_add_printf(
		out,
		"# TYPE geraniumslip_load_reports_ignored_total counter\n"
		"geraniumslip_load_reports_ignored_total %llu\n",
		(unsigned long long)e->load_reports_ignored);
}

static void put_registry(struct evbuffer *out, const edge_t *e)
{
	registry_result_t r;

	evbuffer_add_printf(
		out, "# TYPE geraniumslip_registry_requests_total counter\n");
	for (r = 0; r < REGISTRY_RESULT_MAX; r++)
		evbuffer_add_printf(
			out,
			"geraniumslip_registry_requests_total{result=\"%s\"} "
			"%llu\n",
			registry_result_name(r),
			(unsigned long long)registry_requests(e->registry, r));
	put_gauge(out, "registry_overdue_seconds",
		  age_seconds(registry_overdue(e->registry, clock_now())));
}

static void put_peers(struct evbuffer *out, const edge_t *e)
{
	const peers_counts_t c = fleet_peers_counts(e);
	const struct {
		const char *what;
		uint64_t n;
	} counts[] = {
		{ "sent", c.sent },
		{ "received", c.received },
		{ "refused", c.refused },
		{ "not_sent", c.not_sent },
	};
	size_t i;

	evbuffer_add_printf(
		out, "# TYPE geraniumslip_peer_messages_total counter\n");
	for (i = 0; i < sizeof(counts) / sizeof(counts[0]); i++)
		evbuffer_add_printf(
			out,
			"geraniumslip_peer_messages_total{what=\"%s\"} %llu\n",
			counts[i].what, (unsigned long long)counts[i].n);
}

static void put_gauges(struct evbuffer *out, edge_t *e)
{
	const rt_conf_t *c = rt_conf(e->rt);
	usec_t now = clock_now(), age = fleet_state_age(e->fleet, now);

	put_gauge(out, "open_requests", (double)rt_open_requests(e->rt));
	put_gauge(out, "callers", (double)callers_count(e));
	put_gauge(out, "own_time_seconds", age_seconds(rt_own_time(e->rt)));
	put_gauge(out, "configuration_version", c ? (double)c->revision : 0);
	put_gauge(out, "state_revision", (double)edge_state_number(e));
	put_gauge(out, "state_era",
		  (double)fleet_revision_era(fleet_state_revision(e->state)));
	put_gauge(out, "state_age_seconds", age_seconds(age));
	put_gauge(out, "evacuated_data_centres",
		  (double)rt_evacuated_count(e->rt));
	put_gauge(out, "hosts_alive", (double)fleet_alive_count(e->fleet, now));
	put_gauge(out, "hosts_reckoned",
		  (double)fleet_estimated_hosts(e->fleet, now));
	put_gauge(out, "reads_registry",
		  registry_role(e->registry) != FLEET_FOLLOWER);
	put_gauge(out, "settings_refused", e->settings_refused);
	put_gauge(out, "settings_faults", e->settings->nfaults);
	put_gauge(out, "log_lines_dropped", (double)log_dropped());
}

void edge_metrics(struct evhttp_request *req, void *arg)
{
	struct evbuffer *out = evbuffer_new();
	edge_t *e = arg;
	rt_counter_t k;

	for (k = 0; k < RT_CNT_MAX; k++)
		evbuffer_add_printf(out,
				    "# TYPE geraniumslip_%s_total counter\n"
				    "geraniumslip_%s_total %llu\n",
				    rt_counter_name(k), rt_counter_name(k),
				    (unsigned long long)rt_counter(e->rt, k));
	put_ignored_reports(out, e);
	put_gauges(out, e);
	put_peers(out, e);
	put_registry(out, e);
	put_hists(out, e->rt);
	evhttp_send_reply(req, 200, "OK", out);
	evbuffer_free(out);
}
