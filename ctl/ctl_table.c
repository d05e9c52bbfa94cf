/** @file ctl_table.c Tables for people. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libctl.h"

#define MAX_COLUMNS 16

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

static void print_table(json_t *rows, const char *const *columns)
{
	size_t widths[MAX_COLUMNS] = { 0 };
	size_t i, j;
	json_t *row;

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
