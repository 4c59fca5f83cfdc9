/**
 * @file name.h
 * Strings with explicit length: borrowed views and short owned names.
 */
#ifndef MT_KERNEL_NAME_H
#define MT_KERNEL_NAME_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Maximum length of a name, an id or an IP address stored as mt_name_t. */
#define MT_NAME_MAX_BYTES 47

/** A view of bytes owned elsewhere; not NUL-terminated. */
typedef struct mt_str_t {
	const char *data;
	size_t len;
} mt_str_t;

/** View of a string literal. */
#define MT_STR(literal) ((mt_str_t){(literal), sizeof(literal) - 1})

/** A short string stored by value. `text` is NUL-terminated for printing. */
typedef struct mt_name_t {
	uint8_t len;
	char text[MT_NAME_MAX_BYTES + 1];
} mt_name_t;

/** IP address and TCP port. */
typedef struct mt_endpoint_t {
	mt_name_t address;
	uint16_t port; /**< 0: not known */
} mt_endpoint_t;

/** View of a NUL-terminated string; NULL gives the empty view. */
mt_str_t mt_str_from(const char *text);

bool mt_str_equal(mt_str_t a, mt_str_t b);

bool mt_str_has_prefix(mt_str_t s, mt_str_t prefix);

/**
 * Parses a decimal number. Nothing may precede or follow it in the view.
 * @return false if the view is empty, contains a character that is not a digit,
 *         or the number overflows
 */
bool mt_str_to_u64(mt_str_t s, uint64_t *value);

/** Copies `s`, truncated to MT_NAME_MAX_BYTES. */
mt_name_t mt_name_from(mt_str_t s);

/** Like mt_name_from(), for a NUL-terminated string. */
mt_name_t mt_name(const char *text);

bool mt_name_equal(const mt_name_t *a, const mt_name_t *b);

/** Compares two names byte by byte, like strcmp(). */
int mt_name_compare(const mt_name_t *a, const mt_name_t *b);

/**
 * A valid name consists of 1 to MT_NAME_MAX_BYTES lower-case letters, digits,
 * '-', '_' and '.', and begins with a letter or digit.
 */
bool mt_name_is_valid(mt_str_t s);

/** Hash and equality functions for a GHashTable keyed by mt_name_t. */
guint mt_name_hash(gconstpointer name);
gboolean mt_name_key_equal(gconstpointer a, gconstpointer b);

/**
 * Copy of a text in which '?' takes the place of what would have to be escaped
 * in JSON or in a metric's label; freed with g_free().
 */
char *mt_text_printable(const char *text);

/** Heap copy, freed with g_free(). */
mt_name_t *mt_name_dup(const mt_name_t *name);

#endif
