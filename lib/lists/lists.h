/**
 * @file lists.h
 * The operators' two lists: accounts' plans ("plans") and what each plan may
 * use ("usage"). A list is a pure function of the records of the config
 * stream; its version is one more than the offset of the last valid edit.
 *
 * An edit is valid when it names the version that is in force and its result
 * passes the checks of both lists. Of two edits made from one version, all
 * readers therefore take the first and reject the second.
 */
#ifndef MT_LISTS_LISTS_H
#define MT_LISTS_LISTS_H

#include <jansson.h>

#include "kernel/kernel.h"
#include "wire/mimosaturn.pb-c.h"

typedef enum mt_list_t { MT_LIST_PLANS, MT_LIST_USAGE, MT_LISTS } mt_list_t;

/** Errors of list content and edits. */
#define MT_LISTS_ERROR mt_lists_error_quark()
GQuark mt_lists_error_quark(void);
typedef enum mt_lists_error_t {
	MT_LISTS_ERROR_SYNTAX,	     /**< not a JSON object */
	MT_LISTS_ERROR_CONTENT,	     /**< a value breaks the checks */
	MT_LISTS_ERROR_REFERENCE,    /**< the other list lacks or needs it */
	MT_LISTS_ERROR_VERSION,	     /**< made from a version not in force */
	MT_LISTS_ERROR_UNKNOWN_LIST, /**< no such list */
} mt_lists_error_t;

/** Amounts of what a job can use. */
typedef struct mt_resources_t {
	uint32_t processors;
	uint32_t memory_mb;
	uint32_t accelerators;
} mt_resources_t;

/** What a plan has in one data centre. */
typedef struct mt_quota_t {
	mt_name_t dc;
	mt_resources_t guarantee;
	uint32_t guarantee_block; /**< accelerators side by side in it */
	mt_resources_t limit;
} mt_quota_t;

typedef struct mt_plan_t {
	mt_name_t name;
	GArray *quotas; /**< of mt_quota_t */
} mt_plan_t;

typedef struct mt_account_t {
	mt_name_t name;
	mt_name_t plan;
	GPtrArray *key_digests; /**< SHA-256 of bearer keys, hexadecimal */
} mt_account_t;

typedef struct mt_lists_t mt_lists_t;
typedef void (*mt_lists_cb)(void *ctx, mt_list_t list);

mt_lists_t *mt_lists_new(void);
void mt_lists_free(mt_lists_t *lists);

/** Called after each change of what is in force. */
void mt_lists_subscribe(mt_lists_t *lists, mt_lists_cb cb, void *ctx);

const char *mt_list_name(mt_list_t list);
bool mt_list_parse(const char *name, mt_list_t *list);

/** 0 while the list is empty and was never edited. */
uint64_t mt_lists_version(const mt_lists_t *lists, mt_list_t list);

/** Age of the record that states the list, by the log's clock. */
uint64_t mt_lists_restated_at(const mt_lists_t *lists, mt_list_t list);

/** Borrowed JSON object of the list: name to entry. */
const json_t *mt_lists_content(const mt_lists_t *lists, mt_list_t list);

/**
 * Applies the edit at `offset`. On an error the list stays as it is.
 * An edit from a version that has not been seen is kept until a snapshot
 * fills the gap; it then returns false with MT_LISTS_ERROR_VERSION.
 */
bool mt_lists_apply_edit(mt_lists_t *lists, uint64_t offset, uint64_t at_ms,
			 const MtPb__ListEdit *edit, GError **error);

/**
 * Takes the lists of a snapshot that are newer than those in force, then the
 * edits kept for it. Lists as old only refresh their age.
 */
bool mt_lists_apply_snapshot(mt_lists_t *lists, uint64_t at_ms,
			     const MtPb__ListSnapshot *snapshot,
			     GError **error);

/** Both lists, packed as a ListSnapshot record. */
GBytes *mt_lists_pack_snapshot(const mt_lists_t *lists);

/** Fills `frame` and calls `send` with a ListSnapshot of both lists. */
void mt_lists_send_snapshot(const mt_lists_t *lists,
			    void (*send)(void *ctx,
					 MtPb__ListSnapshot *snapshot),
			    void *ctx);

/**
 * False until the lists are known in full: reading began at the first record
 * ever or a snapshot was taken. Until then edits are kept, not applied.
 */
bool mt_lists_complete(const mt_lists_t *lists);
void mt_lists_set_complete(mt_lists_t *lists);

/** Checks the whole content of one list beside the other one. */
bool mt_lists_check(const mt_lists_t *lists, mt_list_t list,
		    const json_t *content, GError **error);

/** Difference from `from` to `to`: {"set": {...}, "remove": [...]}. */
json_t *mt_lists_diff(const json_t *from, const json_t *to);

/** `content` with `delta` applied, or NULL with an error. */
json_t *mt_lists_patch(const json_t *content, const json_t *delta,
		       GError **error);

const mt_account_t *mt_lists_account(const mt_lists_t *lists,
				     const mt_name_t *name);
const mt_plan_t *mt_lists_plan(const mt_lists_t *lists, const mt_name_t *name);

/** The account's quota in `dc`, or NULL when its plan names none there. */
const mt_quota_t *mt_lists_quota(const mt_lists_t *lists,
				 const mt_name_t *account, const mt_name_t *dc);

/** All accounts, sorted by name (const mt_account_t *). */
GPtrArray *mt_lists_accounts(const mt_lists_t *lists);

/** The account whose key has this digest; compares in constant time. */
const mt_account_t *mt_lists_authenticate(const mt_lists_t *lists,
					  mt_str_t bearer_key);

#endif
