/** @file lists.c The operators' lists, built from edits and snapshots. */
#include "lists/lists.h"

#include <openssl/crypto.h>
#include <string.h>

#include "lists/check.h"
#include "wire/codec.h"

#define SHA256_HEX_CHARS 64

typedef struct mt_lists_subscriber_t {
	mt_lists_cb cb;
	void *ctx;
} mt_lists_subscriber_t;

/** An edit that waits for the next snapshot; see mt_lists_apply_edit(). */
typedef struct mt_deferred_edit_t {
	uint64_t offset;
	uint64_t at_ms;
	uint64_t base_version;
	char *delta;
	mt_list_t list;
} mt_deferred_edit_t;

typedef struct mt_list_state_t {
	uint64_t version;
	uint64_t restated_at_ms; /**< see mt_lists_restated_at() */
	json_t *content;
} mt_list_state_t;

struct mt_lists_t {
	mt_list_state_t states[MT_LIST_COUNT];
	GHashTable *accounts; /**< of mt_account_t, by name; list "plans" */
	GHashTable *plans;    /**< of mt_plan_t, by name; list "usage" */
	GArray *subscribers;  /**< of mt_lists_subscriber_t */
	GPtrArray *deferred;  /**< of mt_deferred_edit_t, in offset order */
	bool complete;	      /**< see mt_lists_complete() */
};

/* The quark is named mt-lists-error-quark; clang-format adds the spaces. */
G_DEFINE_QUARK(mt - lists - error - quark, mt_lists_error)

static void free_deferred(gpointer data)
{
	mt_deferred_edit_t *edit = data;

	g_free(edit->delta);
	g_free(edit);
}

static void free_account(gpointer data)
{
	mt_account_t *account = data;

	g_ptr_array_unref(account->key_digests);
	g_free(account);
}

static void free_plan(gpointer data)
{
	mt_plan_t *plan = data;

	g_array_unref(plan->quotas);
	g_free(plan);
}

mt_lists_t *mt_lists_new(void)
{
	mt_lists_t *lists = g_new0(mt_lists_t, 1);

	for (int i = 0; i < MT_LIST_COUNT; i++)
		lists->states[i].content = json_object();
	lists->deferred = g_ptr_array_new_with_free_func(free_deferred);
	lists->accounts = g_hash_table_new_full(mt_name_hash, mt_name_key_equal,
						NULL, free_account);
	lists->plans = g_hash_table_new_full(mt_name_hash, mt_name_key_equal,
					     NULL, free_plan);
	lists->subscribers =
		g_array_new(FALSE, FALSE, sizeof(mt_lists_subscriber_t));
	return lists;
}

void mt_lists_free(mt_lists_t *lists)
{
	if (!lists)
		return;
	for (int i = 0; i < MT_LIST_COUNT; i++)
		json_decref(lists->states[i].content);
	g_ptr_array_unref(lists->deferred);
	g_hash_table_destroy(lists->accounts);
	g_hash_table_destroy(lists->plans);
	g_array_unref(lists->subscribers);
	g_free(lists);
}

void mt_lists_subscribe(mt_lists_t *lists, mt_lists_cb cb, void *ctx)
{
	mt_lists_subscriber_t subscriber = {cb, ctx};

	g_array_append_val(lists->subscribers, subscriber);
}

const char *mt_list_name(mt_list_t list)
{
	return list == MT_LIST_PLANS ? "plans" : "usage";
}

bool mt_list_parse(const char *name, mt_list_t *list)
{
	for (int i = 0; i < MT_LIST_COUNT; i++) {
		if (!strcmp(name, mt_list_name((mt_list_t)i))) {
			*list = (mt_list_t)i;
			return true;
		}
	}
	return false;
}

uint64_t mt_lists_version(const mt_lists_t *lists, mt_list_t list)
{
	return lists->states[list].version;
}

uint64_t mt_lists_restated_at(const mt_lists_t *lists, mt_list_t list)
{
	return lists->states[list].restated_at_ms;
}

const json_t *mt_lists_content(const mt_lists_t *lists, mt_list_t list)
{
	return lists->states[list].content;
}

static void add_account(mt_lists_t *lists, const char *name,
			const json_t *entry)
{
	mt_account_t *account = g_new0(mt_account_t, 1);
	size_t i;
	json_t *digest;

	account->name = mt_name(name);
	account->plan =
		mt_name(json_string_value(json_object_get(entry, "plan")));
	account->key_digests = g_ptr_array_new_with_free_func(g_free);
	json_array_foreach(json_object_get(entry, "key_sha256"), i, digest)
		g_ptr_array_add(account->key_digests,
				g_strdup(json_string_value(digest)));
	g_hash_table_replace(lists->accounts, &account->name, account);
}

static uint32_t read_amount(const json_t *object, const char *key)
{
	return (uint32_t)json_integer_value(json_object_get(object, key));
}

static mt_resources_t read_amounts(const json_t *object)
{
	return (mt_resources_t){read_amount(object, "processors"),
				read_amount(object, "memory_mb"),
				read_amount(object, "accelerators")};
}

static void add_plan(mt_lists_t *lists, const char *name, const json_t *entry)
{
	mt_plan_t *plan = g_new0(mt_plan_t, 1);
	const char *dc;
	json_t *item;

	plan->name = mt_name(name);
	plan->quotas = g_array_new(FALSE, TRUE, sizeof(mt_quota_t));
	json_object_foreach((json_t *)entry, dc, item)
	{
		const json_t *guarantee = json_object_get(item, "guarantee");
		mt_quota_t quota = {0};

		quota.dc = mt_name(dc);
		quota.guarantee = read_amounts(guarantee);
		quota.guarantee_adjacent = read_amount(guarantee, "adjacent");
		quota.limit = read_amounts(json_object_get(item, "limit"));
		g_array_append_val(plan->quotas, quota);
	}
	g_hash_table_replace(lists->plans, &plan->name, plan);
}

/** Rebuilds the accounts (list "plans") or the plans (list "usage"). */
static void rebuild_entries(mt_lists_t *lists, mt_list_t list)
{
	const char *name;
	json_t *entry;

	g_hash_table_remove_all(list == MT_LIST_PLANS ? lists->accounts
						      : lists->plans);
	json_object_foreach(lists->states[list].content, name, entry)
	{
		if (list == MT_LIST_PLANS)
			add_account(lists, name, entry);
		else
			add_plan(lists, name, entry);
	}
}

static void set_current_version(mt_lists_t *lists, mt_list_t list,
				uint64_t version, uint64_t at_ms,
				json_t *content)
{
	mt_list_state_t *state = &lists->states[list];

	g_assert(version > state->version);
	json_decref(state->content);
	state->content = content;
	state->version = version;
	state->restated_at_ms = at_ms;
	rebuild_entries(lists, list);
	for (guint i = 0; i < lists->subscribers->len; i++) {
		mt_lists_subscriber_t *subscriber = &g_array_index(
			lists->subscribers, mt_lists_subscriber_t, i);

		subscriber->cb(subscriber->ctx, list);
	}
}

static bool check_plan_exists(const json_t *usage_list, const char *account,
			      const json_t *entry, GError **error)
{
	const char *plan = json_string_value(json_object_get(entry, "plan"));

	if (json_object_get(usage_list, plan))
		return true;
	g_set_error(error, MT_LISTS_ERROR, MT_LISTS_ERROR_REFERENCE,
		    "plans: %s.plan: the usage list has no plan \"%s\"",
		    account, plan);
	return false;
}

bool mt_lists_check(const mt_lists_t *lists, mt_list_t list,
		    const json_t *content, GError **error)
{
	const json_t *plans_list = lists->states[MT_LIST_PLANS].content;
	const json_t *usage_list = lists->states[MT_LIST_USAGE].content;
	const char *name;
	json_t *entry;

	if (!mt_list_check_content(list, content, error))
		return false;
	if (list == MT_LIST_PLANS)
		plans_list = content;
	else
		usage_list = content;
	json_object_foreach((json_t *)plans_list, name, entry)
	{
		if (!check_plan_exists(usage_list, name, entry, error))
			return false;
	}
	return true;
}

json_t *mt_lists_diff(const json_t *from, const json_t *to)
{
	json_t *set = json_object();
	json_t *removed = json_array();
	const char *name;
	json_t *entry;

	json_object_foreach((json_t *)to, name, entry)
	{
		if (!json_equal(json_object_get(from, name), entry))
			json_object_set(set, name, entry);
	}
	json_object_foreach((json_t *)from, name, entry)
	{
		if (!json_object_get(to, name))
			json_array_append_new(removed, json_string(name));
	}
	return json_pack("{s:o, s:o}", "set", set, "remove", removed);
}

/** Copy of `content` with `delta` applied, or NULL with an error. */
static json_t *patch_content(const json_t *content, const json_t *delta,
			     GError **error)
{
	json_t *patched;
	const json_t *set = json_object_get(delta, "set");
	const json_t *removed = json_object_get(delta, "remove");
	size_t i;
	json_t *name;

	if (!json_is_object(set) || !json_is_array(removed) ||
	    json_object_size(delta) != 2) {
		g_set_error(error, MT_LISTS_ERROR, MT_LISTS_ERROR_SYNTAX,
			    "a delta has the members \"set\" and \"remove\"");
		return NULL;
	}
	patched = json_copy((json_t *)content);
	json_array_foreach(removed, i, name)
	{
		if (json_is_string(name))
			json_object_del(patched, json_string_value(name));
	}
	json_object_update(patched, (json_t *)set);
	return patched;
}

static bool apply_delta(mt_lists_t *lists, mt_list_t list, uint64_t offset,
			uint64_t at_ms, const char *text, GError **error)
{
	json_t *delta = json_loads(text, JSON_REJECT_DUPLICATES, NULL);
	json_t *patched =
		patch_content(lists->states[list].content, delta, error);

	json_decref(delta);
	if (!patched)
		return false;
	if (!mt_lists_check(lists, list, patched, error)) {
		json_decref(patched);
		return false;
	}
	set_current_version(lists, list, offset + 1, at_ms, patched);
	return true;
}

static void defer_edit(mt_lists_t *lists, mt_list_t list, uint64_t offset,
		       uint64_t at_ms, const MtPb__ListEdit *edit)
{
	mt_deferred_edit_t *deferred = g_new0(mt_deferred_edit_t, 1);

	deferred->list = list;
	deferred->offset = offset;
	deferred->at_ms = at_ms;
	deferred->base_version = edit->base_version;
	deferred->delta = g_strdup(edit->delta);
	g_ptr_array_add(lists->deferred, deferred);
}

static bool find_list(const char *name, mt_list_t *list, GError **error)
{
	if (mt_list_parse(name, list))
		return true;
	g_set_error(error, MT_LISTS_ERROR, MT_LISTS_ERROR_UNKNOWN_LIST,
		    "no list is named \"%s\"", name);
	return false;
}

bool mt_lists_apply_edit(mt_lists_t *lists, uint64_t offset, uint64_t at_ms,
			 const MtPb__ListEdit *edit, GError **error)
{
	mt_list_t list;
	uint64_t version;

	if (!find_list(edit->list, &list, error))
		return false;
	version = lists->states[list].version;
	/* The current version already includes this edit, for example because
	 * the lists were received from a peer. */
	if (offset < version)
		return true;
	if (lists->complete && edit->base_version == version)
		return apply_delta(lists, list, offset, at_ms, edit->delta,
				   error);
	if (!lists->complete || edit->base_version > version)
		defer_edit(lists, list, offset, at_ms, edit);
	g_set_error(error, MT_LISTS_ERROR, MT_LISTS_ERROR_VERSION,
		    "%s: the edit was made from version %" G_GUINT64_FORMAT
		    ", but the current version is %" G_GUINT64_FORMAT,
		    edit->list, edit->base_version, version);
	return false;
}

/** Applies deferred edits whose base version is current; discards the rest. */
static void apply_deferred(mt_lists_t *lists)
{
	GPtrArray *deferred = lists->deferred;

	lists->deferred = g_ptr_array_new_with_free_func(free_deferred);
	for (guint i = 0; i < deferred->len; i++) {
		mt_deferred_edit_t *edit = deferred->pdata[i];
		mt_list_state_t *state = &lists->states[edit->list];

		if (edit->base_version == state->version)
			apply_delta(lists, edit->list, edit->offset,
				    edit->at_ms, edit->delta, NULL);
	}
	g_ptr_array_unref(deferred);
}

static bool apply_state(mt_lists_t *lists, uint64_t at_ms,
			const MtPb__ListState *from, GError **error)
{
	mt_list_t list;
	mt_list_state_t *state;
	json_t *content;

	if (!find_list(from->list, &list, error))
		return false;
	state = &lists->states[list];
	if (from->version == state->version)
		state->restated_at_ms = MAX(state->restated_at_ms, at_ms);
	if (from->version <= state->version)
		return true;
	content = json_loads(from->content, JSON_REJECT_DUPLICATES, NULL);
	if (!mt_list_check_content(list, content, error)) {
		json_decref(content);
		return false;
	}
	set_current_version(lists, list, from->version, at_ms, content);
	return true;
}

bool mt_lists_apply_snapshot(mt_lists_t *lists, uint64_t at_ms,
			     const MtPb__ListSnapshot *snapshot, GError **error)
{
	for (size_t i = 0; i < snapshot->n_states; i++) {
		if (!apply_state(lists, at_ms, snapshot->states[i], error))
			return false;
	}
	lists->complete = true;
	apply_deferred(lists);
	return true;
}

bool mt_lists_complete(const mt_lists_t *lists)
{
	return lists->complete;
}

void mt_lists_set_complete(mt_lists_t *lists)
{
	lists->complete = true;
}

void mt_lists_with_snapshot(const mt_lists_t *lists,
			    void (*use)(void *ctx,
					MtPb__ListSnapshot *snapshot),
			    void *ctx)
{
	MtPb__ListSnapshot snapshot = MT_PB__LIST_SNAPSHOT__INIT;
	MtPb__ListState states[MT_LIST_COUNT];
	MtPb__ListState *pointers[MT_LIST_COUNT];

	for (int i = 0; i < MT_LIST_COUNT; i++) {
		mt_pb__list_state__init(&states[i]);
		states[i].list = (char *)mt_list_name((mt_list_t)i);
		states[i].version = lists->states[i].version;
		states[i].content = json_dumps(lists->states[i].content,
					       JSON_COMPACT | JSON_SORT_KEYS);
		pointers[i] = &states[i];
	}
	snapshot.n_states = MT_LIST_COUNT;
	snapshot.states = pointers;
	use(ctx, &snapshot);
	for (int i = 0; i < MT_LIST_COUNT; i++)
		free(states[i].content);
}

static void pack_snapshot(void *ctx, MtPb__ListSnapshot *snapshot)
{
	GBytes **packed = ctx;
	MtPb__Record record = MT_PB__RECORD__INIT;

	record.body_case = MT_PB__RECORD__BODY_LIST_SNAPSHOT;
	record.list_snapshot = snapshot;
	*packed = mt_record_pack(&record);
}

GBytes *mt_lists_pack_snapshot(const mt_lists_t *lists)
{
	GBytes *packed = NULL;

	mt_lists_with_snapshot(lists, pack_snapshot, &packed);
	return packed;
}

const mt_account_t *mt_lists_account(const mt_lists_t *lists,
				     const mt_name_t *name)
{
	return g_hash_table_lookup(lists->accounts, name);
}

const mt_quota_t *mt_lists_quota(const mt_lists_t *lists,
				 const mt_name_t *account, const mt_name_t *dc)
{
	const mt_account_t *found = mt_lists_account(lists, account);
	const mt_plan_t *plan =
		found ? g_hash_table_lookup(lists->plans, &found->plan) : NULL;

	for (guint i = 0; plan && i < plan->quotas->len; i++) {
		const mt_quota_t *quota =
			&g_array_index(plan->quotas, mt_quota_t, i);

		if (mt_name_equal(&quota->dc, dc))
			return quota;
	}
	return NULL;
}

static gint compare_accounts(gconstpointer a, gconstpointer b)
{
	const mt_account_t *const *x = a;
	const mt_account_t *const *y = b;

	return mt_name_compare(&(*x)->name, &(*y)->name);
}

GPtrArray *mt_lists_accounts(const mt_lists_t *lists)
{
	GPtrArray *accounts = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, lists->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(accounts, value);
	g_ptr_array_sort(accounts, compare_accounts);
	return accounts;
}

const mt_account_t *mt_lists_authenticate(const mt_lists_t *lists,
					  mt_str_t api_key)
{
	char *digest = g_compute_checksum_for_data(
		G_CHECKSUM_SHA256, (const guchar *)api_key.data, api_key.len);
	const mt_account_t *match = NULL;
	GHashTableIter iter;
	gpointer value;

	/* Every digest is compared, also after a match. Otherwise, the time
	 * taken would reveal which keys exist. */
	g_hash_table_iter_init(&iter, lists->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_account_t *account = value;

		for (guint i = 0; i < account->key_digests->len; i++) {
			if (!CRYPTO_memcmp(account->key_digests->pdata[i],
					   digest, SHA256_HEX_CHARS))
				match = account;
		}
	}
	g_free(digest);
	return match;
}
