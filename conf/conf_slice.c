/** @file conf_slice.c Finds members and elements in JSON text. */
#include <string.h>

#include "slice.h"

static void skip(str_t *t, size_t n)
{
	t->s += n;
	t->sz -= n;
}

static void skip_blanks(str_t *t)
{
	while (t->sz && strchr(" \t\r\n", t->s[0]) && t->s[0])
		skip(t, 1);
}

/* Skips a character if it is the next one after blanks. */
static bool skip_char(str_t *t, char c)
{
	skip_blanks(t);
	if (t->sz == 0 || t->s[0] != c)
		return false;
	skip(t, 1);
	return true;
}

const char *slice_string_end(const char *p, const char *end)
{
	const char *quote = memchr(p, '"', (size_t)(end - p));
	const char *escape;

	/* Each byte is searched once for either character: the writer chooses
	 * how many escapes there are. */
	while (quote) {
		escape = memchr(p, '\\', (size_t)(quote - p));
		if (!escape)
			return quote;
		p = escape + 2;
		if (p > quote)
			quote = memchr(p, '"', (size_t)(end - p));
	}
	return end;
}

static bool skip_string(str_t *t)
{
	const char *end = t->s + t->sz;
	const char *quote = slice_string_end(t->s + 1, end);

	skip(t, (size_t)(quote - t->s));
	if (t->sz == 0)
		return false;
	skip(t, 1);
	return true;
}

/* Skips an object or an array; its brackets are only counted. */
static bool skip_nested(str_t *t)
{
	size_t depth = 0;

	while (t->sz) {
		if (t->s[0] == '"') {
			if (!skip_string(t))
				return false;
			continue;
		}
		if (t->s[0] == '{' || t->s[0] == '[')
			depth++;
		if (t->s[0] == '}' || t->s[0] == ']')
			depth--;
		skip(t, 1);
		if (depth == 0)
			return true;
	}
	return false;
}

static bool skip_scalar(str_t *t)
{
	size_t before = t->sz;

	while (t->sz && !strchr(",:]}\" \t\r\n", t->s[0]))
		skip(t, 1);
	return t->sz < before;
}

/* Moves a value, and the blanks before it, from the text to value. */
static bool take_value(str_t *t, str_t *value)
{
	bool ok;

	skip_blanks(t);
	*value = *t;
	if (t->sz == 0)
		return false;
	if (t->s[0] == '"')
		ok = skip_string(t);
	else if (t->s[0] == '{' || t->s[0] == '[')
		ok = skip_nested(t);
	else
		ok = skip_scalar(t);
	value->sz -= t->sz;
	return ok;
}

bool slice_member(str_t object, const char *key, str_t *value)
{
	str_t name, wanted = str_of(key);

	if (!skip_char(&object, '{'))
		return false;
	while (take_value(&object, &name) && name.s[0] == '"' &&
	       skip_char(&object, ':') && take_value(&object, value)) {
		skip(&name, 1);
		name.sz--;
		if (str_eq(name, wanted))
			return true;
		if (!skip_char(&object, ','))
			break;
	}
	return false;
}

bool slice_array(str_t array, str_t *rest)
{
	*rest = array;
	return skip_char(rest, '[');
}

bool slice_next(str_t *rest, str_t *element)
{
	if (skip_char(rest, ']')) {
		*rest = (str_t){ 0 };
		return false;
	}
	if (!take_value(rest, element))
		return false;
	skip_blanks(rest);
	/* The closing bracket stays for the next call. */
	return skip_char(rest, ',') || (rest->sz && rest->s[0] == ']');
}
