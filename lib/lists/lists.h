/**
 * @file lists.h
 * The two lists that the operators edit. "plans" gives each client account a
 * plan and API keys; "usage" gives each plan its guarantee and limit per data
 * centre. Each host builds the lists from the records of the log stream named
 * MT_LIST_STREAM (node/list_sync.h), or receives them from a peer that did, so
 * every host arrives at the same ones. The version of a list is the offset of
 * its last valid edit plus one.
 *
 * An edit is valid if its base version is the current one and its result passes
 * the checks of both lists. So if two edits have the same base version, every
 * reader applies the first of them in the stream and rejects the second.
 */
#ifndef MT_LISTS_LISTS_H
#define MT_LISTS_LISTS_H

#include <jansson.h>

#include "kernel/kernel.h"
#include "wire/mimosaturn.pb-c.h"

/** MT_LIST_COUNT is the number of lists. */
typedef enum mt_list_t {
	MT_LIST_PLANS,
	MT_LIST_USAGE,
	MT_LIST_COUNT
} mt_list_t;

/** Error domain for the content of a list and for edits. */
#define MT_LISTS_ERROR mt_lists_error_quark()
GQuark mt_lists_error_quark(void);
typedef enum mt_lists_error_t {
	MT_LISTS_ERROR_SYNTAX,	     /**< not a JSON object */
	MT_LISTS_ERROR_CONTENT,	     /**< a value is invalid */
	MT_LISTS_ERROR_REFERENCE,    /**< an account's plan does not exist */
	MT_LISTS_ERROR_VERSION,	     /**< base version is not current */
	MT_LISTS_ERROR_UNKNOWN_LIST, /**< no such list */
} mt_lists_error_t;

/** Amounts of resources: used, guaranteed or allowed. */
typedef struct mt_resources_t {
	uint32_t processors;
	uint32_t memory_mb;
	uint32_t accelerators;
} mt_resources_t;

/** Guarantee and limit of a plan in one data centre. */
typedef struct mt_quota_t {
	mt_name_t dc;
	mt_resources_t guarantee;
	/**
	 * The guarantee is met in blocks of this many accelerators in
	 * neighbouring racks; 0: DEFAULT_BLOCK_ACCELERATORS in
	 * decide/guarantee.c.
	 */
	uint32_t guarantee_adjacent;
	mt_resources_t limit;
} mt_quota_t;

typedef struct mt_plan_t {
	mt_name_t name;
	GArray *quotas; /**< of mt_quota_t */
} mt_plan_t;

typedef struct mt_account_t {
	mt_name_t name;
	mt_name_t plan;
	GPtrArray *key_digests; /**< SHA-256 of the API keys, hexadecimal */
} mt_account_t;

typedef struct mt_lists_t mt_lists_t;
typedef void (*mt_lists_cb)(void *ctx, mt_list_t list);

mt_lists_t *mt_lists_new(void);
void mt_lists_free(mt_lists_t *lists);

/** Adds a callback that is called after each change of a list. */
void mt_lists_subscribe(mt_lists_t *lists, mt_lists_cb cb, void *ctx);

const char *mt_list_name(mt_list_t list);
bool mt_list_parse(const char *name, mt_list_t *list);

/** Current version; 0 if the list has never been edited. */
uint64_t mt_lists_version(const mt_lists_t *lists, mt_list_t list);

/**
 * Timestamp, by the log's clock, of the last record that set the current
 * version or restated it in a snapshot.
 */
uint64_t mt_lists_restated_at(const mt_lists_t *lists, mt_list_t list);

/** JSON object that maps names to entries; valid until the list changes. */
const json_t *mt_lists_content(const mt_lists_t *lists, mt_list_t list);

/**
 * Applies the edit at `offset`. On an error the list does not change.
 * While the lists are incomplete, or if the base version is higher than the
 * current one, the edit is deferred until the next snapshot; the function then
 * returns false with MT_LISTS_ERROR_VERSION.
 */
bool mt_lists_apply_edit(mt_lists_t *lists, uint64_t offset, uint64_t at_ms,
			 const MtPb__ListEdit *edit, GError **error);

/**
 * Replaces each list by its version in the snapshot, if that is newer. Then
 * applies the deferred edits whose base version is now current and discards the
 * others. If a list has the same version as in the snapshot, only its
 * mt_lists_restated_at() advances.
 */
bool mt_lists_apply_snapshot(mt_lists_t *lists, uint64_t at_ms,
			     const MtPb__ListSnapshot *snapshot,
			     GError **error);

/** Both lists, as a packed ListSnapshot record. */
GBytes *mt_lists_pack_snapshot(const mt_lists_t *lists);

/** Calls `use` with both lists. `snapshot` is valid only during the call. */
void mt_lists_with_snapshot(const mt_lists_t *lists,
			    void (*use)(void *ctx,
					MtPb__ListSnapshot *snapshot),
			    void *ctx);

/**
 * True once no edit is missing: either the stream was read from its very first
 * record on, or a snapshot was applied. Until then, edits are deferred.
 */
bool mt_lists_complete(const mt_lists_t *lists);
void mt_lists_set_complete(mt_lists_t *lists);

/** Checks new content for one list, also against the other list. */
bool mt_lists_check(const mt_lists_t *lists, mt_list_t list,
		    const json_t *content, GError **error);

/** Delta that turns `from` into `to`: {"set": {...}, "remove": [...]}. */
json_t *mt_lists_diff(const json_t *from, const json_t *to);

const mt_account_t *mt_lists_account(const mt_lists_t *lists,
				     const mt_name_t *name);

/** Quota of the account in `dc`, or NULL if its plan has none there. */
const mt_quota_t *mt_lists_quota(const mt_lists_t *lists,
				 const mt_name_t *account, const mt_name_t *dc);

/** All accounts, sorted by name (const mt_account_t *). */
GPtrArray *mt_lists_accounts(const mt_lists_t *lists);

/**
 * Returns the account with this API key, or NULL. Compares the digests of all
 * keys in constant time.
 */
const mt_account_t *mt_lists_authenticate(const mt_lists_t *lists,
					  mt_str_t api_key);

#endif
