/** @file log_limit.c Lines per second, and repeated messages. */
#include "kernel/log_limit.h"

#define MS_PER_S 1000u

/** Messages that repeat each other. */
typedef struct mt_log_kind_t {
	mt_ms_t window_from;
	unsigned n;	 /**< messages in the window */
	unsigned n_left; /**< those of them that were left out */
	int level;	 /**< of the last one */
	char *component; /**< of the last one that was left out */
	char *last;	 /**< the last one that was left out */
} mt_log_kind_t;

struct mt_log_limit_t {
	mt_ms_t second[MT_LOG_N_SHARES]; /**< that `n_taken` counts for */
	unsigned n_taken[MT_LOG_N_SHARES];
	GHashTable *kinds; /**< name to mt_log_kind_t */
};

static void free_kind(gpointer data)
{
	mt_log_kind_t *kind = data;

	g_free(kind->component);
	g_free(kind->last);
	g_free(kind);
}

mt_log_limit_t *mt_log_limit_new(void)
{
	mt_log_limit_t *limit = g_new0(mt_log_limit_t, 1);

	limit->kinds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     free_kind);
	return limit;
}

void mt_log_limit_free(mt_log_limit_t *limit)
{
	if (!limit)
		return;
	g_hash_table_destroy(limit->kinds);
	g_free(limit);
}

bool mt_log_limit_take(mt_log_limit_t *limit, mt_log_share_t share, mt_ms_t now)
{
	static const unsigned per_s[MT_LOG_N_SHARES] = {MT_LOG_EVENTS_PER_S,
							MT_LOG_MESSAGES_PER_S,
							MT_LOG_ERRORS_PER_S};
	mt_ms_t second = now / MS_PER_S;

	if (second != limit->second[share]) {
		limit->second[share] = second;
		limit->n_taken[share] = 0;
	}
	if (limit->n_taken[share] >= per_s[share])
		return false;
	limit->n_taken[share]++;
	return true;
}

static bool is_window_over(const mt_log_kind_t *kind, mt_ms_t now)
{
	return now >= kind->window_from + MT_LOG_REPEAT_WINDOW_MS;
}

/** Returns the state of a kind; NULL if there are too many. */
static mt_log_kind_t *find_or_add_kind(mt_log_limit_t *limit, const char *name,
				       mt_ms_t now)
{
	mt_log_kind_t *kind = g_hash_table_lookup(limit->kinds, name);

	if (kind || g_hash_table_size(limit->kinds) >= MT_LOG_KINDS_MAX)
		return kind;
	kind = g_new0(mt_log_kind_t, 1);
	kind->window_from = now;
	g_hash_table_insert(limit->kinds, g_strdup(name), kind);
	return kind;
}

bool mt_log_limit_note(mt_log_limit_t *limit, const char *name, int level,
		       const char *component, const char *message, mt_ms_t now)
{
	mt_log_kind_t *kind = find_or_add_kind(limit, name, now);

	if (!kind)
		return true;
	if (is_window_over(kind, now) && !kind->n_left) {
		kind->window_from = now;
		kind->n = 0;
	}
	kind->level = level;
	kind->n++;
	if (kind->n <= MT_LOG_REPEATS_MAX)
		return true;
	kind->n_left++;
	g_free(kind->component);
	g_free(kind->last);
	kind->component = g_strdup(component);
	kind->last = g_strdup(message);
	return false;
}

mt_ms_t mt_log_limit_sum_up(mt_log_limit_t *limit, mt_ms_t now,
			    mt_log_summary_cb cb, void *ctx)
{
	mt_ms_t next = MT_NEVER_MS;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, limit->kinds);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		mt_log_kind_t *kind = value;

		if (!is_window_over(kind, now)) {
			if (kind->n_left)
				next = MIN(next,
					   kind->window_from +
						   MT_LOG_REPEAT_WINDOW_MS);
			continue;
		}
		if (kind->n_left)
			cb(ctx, kind->level, kind->component, kind->n_left,
			   kind->last);
		g_hash_table_iter_remove(&iter);
	}
	return next;
}
