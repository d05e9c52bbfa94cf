/** @file ctl_table.c Tables for people. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libctl.h"

#define MAX_COLUMNS 20

static char *cell_of(json_t *v)
{
	double d = json_number_value(v);

	if (json_is_string(v))
		return g_strdup(json_string_value(v));
	if (json_is_boolean(v))
		return g_strdup(json_is_true(v) ? "yes" : "no");
	if (json_is_integer(v))
		return g_strdup_printf("%lld",
				       (long long)json_integer_value(v));
	if (json_is_real(v))
		return d < 0 ? g_strdup("never") : g_strdup_printf("%.1f", d);
	return g_strdup("");
}

static void note_widths(json_t *rows, const char *const *columns,
			size_t *widths)
{
	size_t i, j;
	json_t *row;

	for (j = 0; columns[j] && j < MAX_COLUMNS; j++)
		widths[j] = strlen(columns[j]);
	json_array_foreach(rows, i, row) {
		for (j = 0; columns[j] && j < MAX_COLUMNS; j++) {
			char *cell = cell_of(json_object_get(row, columns[j]));

			if (strlen(cell) > widths[j])
				widths[j] = strlen(cell);
			g_free(cell);
		}
	}
}

static bool is_known(json_t *rows, const char *column)
{
	size_t i;
	json_t *row;

	json_array_foreach(rows, i, row)
		if (json_object_get(row, column))
			return true;
	return json_array_size(rows) == 0;
}

/* Columns that no row knows are left out: daemons of searches and of routes
 * tell of different things. */
static void known_columns(json_t *rows, const char *const *columns,
			  const char **known)
{
	size_t n = 0, i;

	for (i = 0; columns[i] && n < MAX_COLUMNS; i++)
		if (is_known(rows, columns[i]))
			known[n++] = columns[i];
	known[n] = NULL;
}

static void print_table(json_t *rows, const char *const *all)
{
	const char *columns[MAX_COLUMNS + 1];
	size_t widths[MAX_COLUMNS] = { 0 };
	size_t i, j;
	json_t *row;

	known_columns(rows, all, columns);
	note_widths(rows, columns, widths);
	for (j = 0; columns[j]; j++)
		printf("%-*s ", (int)widths[j], columns[j]);
	putchar('\n');
	json_array_foreach(rows, i, row) {
		for (j = 0; columns[j]; j++) {
			char *cell = cell_of(json_object_get(row, columns[j]));

			printf("%-*s ", (int)widths[j], cell);
			g_free(cell);
		}
		putchar('\n');
	}
}

void ctl_print(const ctl_t *c, json_t *rows, const char *const *columns)
{
	char *text;

	if (c->json) {
		text = json_dumps(rows, JSON_INDENT(1));
		puts(text);
		free(text);
	} else {
		print_table(rows, columns);
	}
	json_decref(rows);
}
