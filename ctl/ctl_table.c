/** @file ctl_table.c Prints rows as a text table or as JSON. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libctl.h"

#define MAX_COLUMNS 20

/* The text of a value; the caller frees it. Daemons report the age of an event
 * that never happened as a negative real. */
static char *cell_text(json_t *v)
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

static void measure_columns(json_t *rows, const char *const *columns,
			    size_t *widths)
{
	size_t i, j;
	json_t *row;

	for (j = 0; columns[j] && j < MAX_COLUMNS; j++)
		widths[j] = strlen(columns[j]);
	json_array_foreach(rows, i, row) {
		for (j = 0; columns[j] && j < MAX_COLUMNS; j++) {
			char *cell =
				cell_text(json_object_get(row, columns[j]));

			if (strlen(cell) > widths[j])
				widths[j] = strlen(cell);
			g_free(cell);
		}
	}
}

/* Whether a row has the column; true for every column if there are no rows. */
static bool has_column(json_t *rows, const char *column)
{
	size_t i;
	json_t *row;

	json_array_foreach(rows, i, row)
		if (json_object_get(row, column))
			return true;
	return json_array_size(rows) == 0;
}

/* Selects the columns that at least one row has: daemons for searches and for
 * routed requests report different members. */
static void select_columns(json_t *rows, const char *const *columns,
			   const char **selected)
{
	size_t n = 0, i;

	for (i = 0; columns[i] && n < MAX_COLUMNS; i++)
		if (has_column(rows, columns[i]))
			selected[n++] = columns[i];
	selected[n] = NULL;
}

static void print_table(json_t *rows, const char *const *columns)
{
	const char *shown[MAX_COLUMNS + 1];
	size_t widths[MAX_COLUMNS] = { 0 };
	size_t i, j;
	json_t *row;

	select_columns(rows, columns, shown);
	measure_columns(rows, shown, widths);
	for (j = 0; shown[j]; j++)
		printf("%-*s ", (int)widths[j], shown[j]);
	putchar('\n');
	json_array_foreach(rows, i, row) {
		for (j = 0; shown[j]; j++) {
			char *cell = cell_text(json_object_get(row, shown[j]));

			printf("%-*s ", (int)widths[j], cell);
			g_free(cell);
		}
		putchar('\n');
	}
}

void ctl_print_rows(const ctl_t *c, json_t *rows, const char *const *columns)
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
