/** @file health.c Tracks failures of servers and jobs. */
#include "decide/health.h"

/**
 * Length of a server's first quarantine. The length doubles with each further
 * one up to the maximum, until a job succeeds on the server.
 */
#define QUARANTINE_MIN_MS 30000u
#define QUARANTINE_MAX_MS 3600000u

/**
 * First backoff of a job. It doubles each time up to the maximum. Each backoff
 * is then varied at random by up to 25 % either way.
 */
#define BACKOFF_MIN_MS 250u
#define BACKOFF_MAX_MS 60000u

typedef struct mt_server_health_t {
	/**
	 * Set of the jobs, by id as text, that have failed there since the last
	 * success or quarantine.
	 */
	GHashTable *failed_jobs;
	mt_ms_t quarantined_until;
	uint32_t n_quarantines; /**< number since the last success */
} mt_server_health_t;

typedef struct mt_job_health_t {
	GHashTable *failed_on; /**< set of server names */
	uint32_t n_backoffs; /**< number so far; sets the length of the next */
	uint32_t n_failures; /**< number on any servers */
	mt_ms_t not_before;  /**< end of the current backoff */
} mt_job_health_t;

struct mt_health_t {
	GRand *rand;
	GHashTable *servers; /**< server name to mt_server_health_t */
	GHashTable *jobs;    /**< job id as text to mt_job_health_t */
};

static void free_server_health(gpointer data)
{
	mt_server_health_t *server = data;

	g_hash_table_destroy(server->failed_jobs);
	g_free(server);
}

static void free_job_health(gpointer data)
{
	mt_job_health_t *job = data;

	g_hash_table_destroy(job->failed_on);
	g_free(job);
}

static GHashTable *new_name_set(void)
{
	return g_hash_table_new_full(mt_name_hash, mt_name_key_equal, g_free,
				     NULL);
}

mt_health_t *mt_health_new(GRand *rand)
{
	mt_health_t *health = g_new0(mt_health_t, 1);

	health->rand = rand;
	health->servers = g_hash_table_new_full(mt_name_hash, mt_name_key_equal,
						g_free, free_server_health);
	health->jobs = g_hash_table_new_full(mt_name_hash, mt_name_key_equal,
					     g_free, free_job_health);
	return health;
}

void mt_health_free(mt_health_t *health)
{
	if (!health)
		return;
	g_hash_table_destroy(health->servers);
	g_hash_table_destroy(health->jobs);
	g_free(health);
}

static mt_server_health_t *ensure_server(mt_health_t *health,
					 const mt_name_t *server_name)
{
	mt_server_health_t *server =
		g_hash_table_lookup(health->servers, server_name);

	if (!server) {
		server = g_new0(mt_server_health_t, 1);
		server->failed_jobs = new_name_set();
		g_hash_table_insert(health->servers, mt_name_dup(server_name),
				    server);
	}
	return server;
}

static mt_job_health_t *ensure_job(mt_health_t *health,
				   const mt_name_t *job_text)
{
	mt_job_health_t *job = g_hash_table_lookup(health->jobs, job_text);

	if (!job) {
		job = g_new0(mt_job_health_t, 1);
		job->failed_on = new_name_set();
		g_hash_table_insert(health->jobs, mt_name_dup(job_text), job);
	}
	return job;
}

static mt_ms_t exponential_delay(mt_ms_t base, uint32_t doublings, mt_ms_t max)
{
	while (doublings-- && base < max)
		base *= 2;
	return MIN(base, max);
}

static void quarantine(mt_server_health_t *server, mt_ms_t now)
{
	mt_ms_t duration = exponential_delay(
		QUARANTINE_MIN_MS, server->n_quarantines, QUARANTINE_MAX_MS);

	server->quarantined_until = now + duration;
	server->n_quarantines++;
	g_hash_table_remove_all(server->failed_jobs);
}

/** Number of failed jobs at which the server is quarantined. */
static uint32_t quarantine_threshold(const mt_server_health_t *server)
{
	/* After a quarantine, one failure is enough to start the next. */
	return server->n_quarantines ? 1 : MT_SERVER_MAX_FAILED_JOBS;
}

void mt_health_record_job_failure(mt_health_t *health,
				  const mt_name_t *job_text,
				  const mt_name_t *server_name, mt_ms_t now)
{
	mt_job_health_t *job = ensure_job(health, job_text);

	job->n_failures++;
	g_hash_table_add(job->failed_on, mt_name_dup(server_name));
	mt_health_back_off(health, job_text, now);
}

void mt_health_record_unclear_failure(mt_health_t *health,
				      const mt_name_t *job_text,
				      const mt_name_t *server_name, mt_ms_t now)
{
	mt_server_health_t *server_health = ensure_server(health, server_name);

	g_hash_table_add(server_health->failed_jobs, mt_name_dup(job_text));
	if (g_hash_table_size(server_health->failed_jobs) >=
	    quarantine_threshold(server_health))
		quarantine(server_health, now);
	mt_health_record_job_failure(health, job_text, server_name, now);
}

void mt_health_server_succeeded(mt_health_t *health,
				const mt_name_t *server_name)
{
	mt_server_health_t *server =
		g_hash_table_lookup(health->servers, server_name);

	if (!server)
		return;
	g_hash_table_remove_all(server->failed_jobs);
	server->n_quarantines = 0;
}

void mt_health_back_off(mt_health_t *health, const mt_name_t *job_text,
			mt_ms_t now)
{
	mt_job_health_t *job = ensure_job(health, job_text);
	mt_ms_t delay = exponential_delay(BACKOFF_MIN_MS, job->n_backoffs,
					  BACKOFF_MAX_MS);

	job->n_backoffs++;
	delay = (mt_ms_t)((double)delay *
			  g_rand_double_range(health->rand, 0.75, 1.25));
	job->not_before = now + delay;
}

bool mt_health_is_quarantined(const mt_health_t *health,
			      const mt_name_t *server_name, mt_ms_t now)
{
	const mt_server_health_t *server =
		g_hash_table_lookup(health->servers, server_name);

	return server && server->quarantined_until > now;
}

/**
 * True when the server was quarantined and no job has succeeded there since.
 */
static bool is_suspect(const mt_health_t *health, const mt_name_t *server_name)
{
	const mt_server_health_t *server =
		g_hash_table_lookup(health->servers, server_name);

	return server && server->n_quarantines;
}

bool mt_health_should_fail_job(const mt_health_t *health,
			       const mt_name_t *job_text)
{
	const mt_job_health_t *job =
		g_hash_table_lookup(health->jobs, job_text);
	guint n_not_suspect = 0;
	GHashTableIter iter;
	gpointer server_name;

	if (!job)
		return false;
	/* A failure on a suspect server is no evidence against the job, as the
	 * server may have caused it. */
	g_hash_table_iter_init(&iter, job->failed_on);
	while (g_hash_table_iter_next(&iter, &server_name, NULL))
		n_not_suspect += !is_suspect(health, server_name);
	return n_not_suspect >= MT_JOB_MAX_FAILED_SERVERS ||
	       job->n_failures >= MT_JOB_MAX_FAILURES;
}

bool mt_health_job_failed_on(const mt_health_t *health,
			     const mt_name_t *job_text,
			     const mt_name_t *server_name)
{
	const mt_job_health_t *job =
		g_hash_table_lookup(health->jobs, job_text);

	return job && g_hash_table_contains(job->failed_on, server_name);
}

mt_ms_t mt_health_not_before(const mt_health_t *health,
			     const mt_name_t *job_text)
{
	const mt_job_health_t *job =
		g_hash_table_lookup(health->jobs, job_text);

	return job ? job->not_before : 0;
}

void mt_health_forget_job(mt_health_t *health, const mt_name_t *job_text)
{
	g_hash_table_remove(health->jobs, job_text);
}
