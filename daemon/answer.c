/** @file answer.c Converts an answer of the core to HTTP status and JSON. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "libdaemon.h"

unsigned answer_status(outcome_t o)
{
	static const unsigned statuses[OUT_MAX] = {
		[OUT_COMPLETE] = MHD_HTTP_OK,
		[OUT_PARTIAL] = MHD_HTTP_PARTIAL_CONTENT,
		[OUT_NOT_RUN] = MHD_HTTP_SERVICE_UNAVAILABLE,
		[OUT_UNKNOWN] = MHD_HTTP_GATEWAY_TIMEOUT,
	};

	return statuses[o];
}

static json_t *answer_json(const answer_t *a)
{
	json_t *missing = json_array();
	char id[24];
	size_t i;

	for (i = 0; i < a->total - a->answered; i++)
		json_array_append_new(missing, json_stringn(a->missing[i].s,
							    a->missing[i].sz));
	g_snprintf(id, sizeof(id), "%016" G_GINT64_MODIFIER "x",
		   (guint64)a->qid);
	return json_pack("{ss ss% ss% ss ss sI sI s{sI sI so}}", "outcome",
			 outcome_name(a->outcome), "service", a->service.s,
			 a->service.sz, "class", a->class_name.s,
			 a->class_name.sz, "reason", why_name(a->why), "id", id,
			 "snapshot", (json_int_t)a->snapshot, "map",
			 (json_int_t)a->map_version, "coverage", "answered",
			 (json_int_t)a->answered, "total", (json_int_t)a->total,
			 "missing", missing);
}

char *answer_text(const answer_t *a, size_t *sz)
{
	json_t *o = answer_json(a);
	char *text = json_dumps(o, JSON_COMPACT);
	size_t n = strlen(text) - 1;
	size_t out_sz = n + sizeof(",\"hits\":[]}");
	char *out;
	size_t i;

	json_decref(o);
	for (i = 0; i < a->nhits; i++)
		out_sz += a->hits[i].text.sz + 1;
	out = xmalloc(out_sz);
	/* The text of a hit is JSON already: it is copied unchanged. */
	n = (size_t)g_snprintf(out, out_sz, "%.*s,\"hits\":[", (int)n, text);
	free(text);
	for (i = 0; i < a->nhits; i++) {
		if (i)
			out[n++] = ',';
		memcpy(out + n, a->hits[i].text.s, a->hits[i].text.sz);
		n += a->hits[i].text.sz;
	}
	memcpy(out + n, "]}", 3);
	*sz = n + 2;
	return out;
}
