/** @file conf_error.c Records and prints the faults of a configuration. */
#include <stdarg.h>

#include "libconf.h"

static const char *const fault_texts[CONF_E_MAX] = {
	[CONF_E_OK] = "no fault",
	[CONF_E_JSON] = "not JSON",
	[CONF_E_SIZE] = "too large",
	[CONF_E_TYPE] = "wrong type",
	[CONF_E_MISSING] = "missing",
	[CONF_E_UNKNOWN_KEY] = "unknown key",
	[CONF_E_RANGE] = "out of range",
	[CONF_E_NAME] = "bad name",
	[CONF_E_ADDR] = "not IP:PORT",
	[CONF_E_DUPLICATE] = "given twice",
	[CONF_E_REFERENCE] = "not declared",
	[CONF_E_CONNECTIONS] = "too few connections for the daemons",
	[CONF_E_NONIDEMPOTENT_SCOPE] =
		"a non-idempotent class must have scope \"one\"",
};

const char *conf_strerror(conf_err_t err)
{
	return err < CONF_E_MAX ? fault_texts[err] : "unknown fault";
}

void conf_fault(conf_faults_t *f, conf_err_t err, const char *path,
		const char *fmt, ...)
{
	conf_fault_t *v;
	va_list ap;

	if (f->n++ >= CONF_MAX_FAULTS)
		return;
	v = &f->v[f->n - 1];
	v->err = err;
	snprintf(v->path, sizeof(v->path), "%s", path);
	va_start(ap, fmt);
	vsnprintf(v->detail, sizeof(v->detail), fmt, ap);
	va_end(ap);
}

void conf_format_first_fault(const conf_faults_t *f, char *buf, size_t sz)
{
	const conf_fault_t *v = &f->v[0];

	snprintf(buf, sz, "%s: %s%s%s", v->path, conf_strerror(v->err),
		 *v->detail ? ": " : "", v->detail);
}

void conf_print_faults(FILE *out, const conf_faults_t *f)
{
	size_t n = f->n < CONF_MAX_FAULTS ? f->n : CONF_MAX_FAULTS;
	size_t i;

	for (i = 0; i < n; i++)
		fprintf(out, "%s: %s%s%s\n", f->v[i].path,
			conf_strerror(f->v[i].err), *f->v[i].detail ? ": " : "",
			f->v[i].detail);
	if (f->n > n)
		fprintf(out, "and %zu more\n", f->n - n);
}
