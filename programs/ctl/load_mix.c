/** @file load_mix.c Reads a mix and creates the jobs of the load command. */
#include <stdio.h>
#include <string.h>

#include "kernel/log_output.h"
#include "load.h"

#define MS_PER_S 1000.0

/** A cancellation is sent at most this long after the submission. */
#define CANCEL_WITHIN_MS 1500

static uint32_t get_number(const json_t *object, const char *key,
			   uint32_t default_value)
{
	const json_t *value = json_object_get(object, key);

	return json_is_integer(value) ? (uint32_t)json_integer_value(value)
				      : default_value;
}

static bool read_account(const json_t *item, mt_load_mix_t *mix)
{
	const char *name = json_string_value(json_object_get(item, "account"));
	const char *key = json_string_value(json_object_get(item, "key"));
	mt_load_account_t account;

	if (!name || !key)
		return false;
	account.name = mt_name(name);
	account.key = g_strdup(key);
	g_array_append_val(mix->accounts, account);
	return true;
}

static bool read_kind(const json_t *item, mt_load_mix_t *mix)
{
	const json_t *run = json_object_get(item, "run_ms");
	const char *name = json_string_value(json_object_get(item, "kind"));
	mt_load_kind_t kind = {0};

	if (!name || json_array_size(run) != 2)
		return false;
	kind.name = mt_name(name);
	kind.share = get_number(item, "share", 1);
	kind.cancel_share = get_number(item, "cancel_share", 0);
	kind.run_min_ms = (uint32_t)json_integer_value(json_array_get(run, 0));
	kind.run_max_ms = (uint32_t)json_integer_value(json_array_get(run, 1));
	kind.body = json_deep_copy(json_object_get(item, "body"));
	if (!json_is_object(kind.body) || kind.run_max_ms < kind.run_min_ms)
		return false;
	json_object_set_new(kind.body, "kind", json_string(name));
	g_array_append_val(mix->kinds, kind);
	return true;
}

bool mt_load_read_mix(const char *path, mt_load_mix_t *mix)
{
	json_t *object = mt_ctl_read_json(path);
	bool ok = object != NULL;
	size_t i;
	json_t *item;

	mix->accounts = g_array_new(FALSE, TRUE, sizeof(mt_load_account_t));
	mix->kinds = g_array_new(FALSE, TRUE, sizeof(mt_load_kind_t));
	json_array_foreach(json_object_get(object, "accounts"), i, item) ok =
		ok && read_account(item, mix);
	json_array_foreach(json_object_get(object, "kinds"), i, item) ok =
		ok && read_kind(item, mix);
	json_decref(object);
	ok = ok && mix->accounts->len && mix->kinds->len;
	if (!ok)
		mt_log_output_printf(
			"mimosaturn: %s: malformed mix; it needs accounts "
			"{account, key} and kinds {kind, share, run_ms: [min, "
			"max], body}",
			path);
	return ok;
}

static guint pick_kind(mt_load_t *load)
{
	GArray *kinds = load->mix.kinds;
	uint32_t total = 0;
	uint32_t pick;

	for (guint i = 0; i < kinds->len; i++)
		total += g_array_index(kinds, mt_load_kind_t, i).share;
	pick = (uint32_t)g_rand_int_range(load->rand, 0, (gint32)total);
	for (guint i = 0; i < kinds->len; i++) {
		uint32_t share = g_array_index(kinds, mt_load_kind_t, i).share;

		if (pick < share)
			return i;
		pick -= share;
	}
	return 0;
}

/**
 * Fills in the request body. Its payload tells the test platform how long the
 * task runs and which result it yields.
 */
static void fill_body(mt_load_t *load, mt_load_job_t *job,
		      const mt_load_kind_t *kind)
{
	json_t *body = json_copy(kind->body);
	json_t *payload = json_object();
	int run_ms = g_rand_int_range(load->rand, (gint32)kind->run_min_ms,
				      (gint32)kind->run_max_ms + 1);
	char *text;

	job->once = !json_is_true(json_object_get(body, "idempotent"));
	json_object_set_new(payload, "run_ms", json_integer(run_ms));
	json_object_set_new(payload, "result",
			    json_string(job->expected_result));
	json_object_set_new(payload, "once", json_boolean(job->once));
	text = json_dumps(payload, JSON_COMPACT);
	json_object_set_new(body, "payload", json_string(text));
	free(text);
	json_decref(payload);
	text = json_dumps(body, JSON_COMPACT);
	job->body = g_strdup(text);
	free(text);
	json_decref(body);
}

static mt_load_job_t *make_job(mt_load_t *load, guint number, guint32 seed,
			       double rate)
{
	mt_load_job_t *job = g_new0(mt_load_job_t, 1);
	const mt_load_kind_t *kind;
	const mt_load_account_t *account;
	mt_job_id_t id;

	job->account = (guint)g_rand_int_range(load->rand, 0,
					       (gint32)load->mix.accounts->len);
	job->kind = pick_kind(load);
	kind = &g_array_index(load->mix.kinds, mt_load_kind_t, job->kind);
	account = &g_array_index(load->mix.accounts, mt_load_account_t,
				 job->account);
	job->key = g_strdup_printf("load-%u-%u", seed, number);
	job->expected_result = g_strdup_printf("result of %s", job->key);
	id = mt_job_id_derive(&account->name, mt_str_from(job->key));
	job->id = mt_job_id_text(&id);
	fill_body(load, job, kind);
	job->submit_at = (mt_ms_t)(MS_PER_S * number / rate);
	if ((guint)g_rand_int_range(load->rand, 0, 100) < kind->cancel_share)
		job->cancel_at = job->submit_at +
				 (mt_ms_t)g_rand_int_range(load->rand, 1,
							   CANCEL_WITHIN_MS);
	return job;
}

void mt_load_make_jobs(mt_load_t *load, guint count, double rate, guint32 seed)
{
	load->jobs = g_ptr_array_new();
	for (guint i = 0; i < count; i++)
		g_ptr_array_add(load->jobs, make_job(load, i, seed, rate));
}
