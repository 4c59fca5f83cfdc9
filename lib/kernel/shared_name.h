/**
 * @file shared_name.h
 * Names that come from outside and that many objects mention: ids of servers,
 * names of services, queues, accounts, hosts and data centres. The text of a
 * name exists once in the process, however often the name is mentioned, and is
 * freed with its last reference.
 *
 * A mt_shared_name_t is passed and compared by value. A copy of the struct is
 * no reference: what outlives the object that it was copied from takes one with
 * mt_shared_name_assign(), and gives it back with mt_shared_name_clear().
 */
#ifndef MT_KERNEL_SHARED_NAME_H
#define MT_KERNEL_SHARED_NAME_H

#include "kernel/name.h"

/**
 * Maximum length of a shared name. A key of the platform's store has at most
 * 255 bytes; of other names, the platform names no limit.
 */
#define MT_SHARED_NAME_MAX_BYTES 1024u

/** Maximum length of a key of the platform's store, and so of a server's id. */
#define MT_STORE_KEY_MAX_BYTES 255u

typedef struct mt_shared_name_t {
	/** Terminated by a zero byte. Equal names have the same pointer. NULL:
	 * the empty name. */
	const char *text;
	size_t len;
} mt_shared_name_t;

/** True if a shared name can be made of the text. */
bool mt_shared_name_is_valid(mt_str_t text);

/**
 * Makes a reference. The empty name if mt_shared_name_is_valid() is false: who
 * takes names from outside asks first, and refuses them.
 */
mt_shared_name_t mt_shared_name_new(mt_str_t text);

/** Like mt_shared_name_new(), of a text that ends with a zero byte. */
mt_shared_name_t mt_shared_name(const char *text);

/** Takes another reference. */
mt_shared_name_t mt_shared_name_ref(mt_shared_name_t name);

/** Gives a reference back; the name is empty then. */
void mt_shared_name_clear(mt_shared_name_t *name);

/** Takes a reference to `from`, and gives back the one to `*to`. */
void mt_shared_name_assign(mt_shared_name_t *to, mt_shared_name_t from);

/** Like mt_shared_name_assign(), from a text. */
void mt_shared_name_set(mt_shared_name_t *to, mt_str_t text);

/** The text; "" for the empty name. */
const char *mt_shared_name_text(mt_shared_name_t name);

bool mt_shared_name_equal(mt_shared_name_t a, mt_shared_name_t b);

/** Compares two names byte by byte, like strcmp(). */
int mt_shared_name_compare(mt_shared_name_t a, mt_shared_name_t b);

/** Hash of the bytes, the same in each process. */
uint64_t mt_shared_name_hash(mt_shared_name_t name);

/** Number of references to names in the process. */
size_t mt_shared_names_n_refs(void);

/* Hash tables whose keys are the texts of names that are not empty. */

/** The table's keys are references, which it gives back. */
GHashTable *mt_shared_name_table_new(GDestroyNotify free_value);

/** The key of a name, for look-ups. */
static inline gpointer mt_shared_name_key(mt_shared_name_t name)
{
	return (gpointer)name.text;
}

/** Takes a reference, for insertions. */
gpointer mt_shared_name_new_key(mt_shared_name_t name);

/** The name of a key; no reference. */
mt_shared_name_t mt_shared_name_of_key(gconstpointer key);

#endif
