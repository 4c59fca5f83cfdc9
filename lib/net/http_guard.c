/** @file http_guard.c Limits of the connections of an HTTP server. */
#include "net/http_guard.h"

#include <sys/resource.h>

/** Budgets hold at least this many requests of the maximum size. */
#define REQUESTS_MIN 4u

/**
 * The input buffer of a request is at most this many times as large as the
 * request, since its size is doubled when it is full.
 */
#define BUFFER_FACTOR 2u

/**
 * Connections above the limit, as a part of it, that are accepted while others
 * are being closed: a connection that is writing is not closed at once.
 */
#define EXTRA_CONNECTIONS_DIVISOR 16u

/** How long input is thrown away after a refusal. */
#define LINGER_MS 1000u

/*
 * Defaults. Clients inside the limits of the platform reach none of them: their
 * headers have at most 16 KiB and are sent within 3 s, and they are idle for at
 * most 15 s.
 */

/** For hosts whose memory is not known: 30 requests with bodies of 1 MiB. */
#define DEFAULT_BUFFERED_BYTES (64u * 1024u * 1024u)
#define DEFAULT_HEADER_BYTES (64u * 1024u)
#define DEFAULT_IDLE_MS 20000u
#define DEFAULT_HEADER_MS 10000u
/** Longer than several retransmissions of a lost packet take. */
#define DEFAULT_TRANSFER_MS 10000u
/** A body of 1 MiB may take 128 s; slower clients would hold their buffer for
 * minutes. */
#define DEFAULT_RATE_BYTES_PER_S 8192u

/** Used if the process's own limit of descriptors cannot be read. */
#define DEFAULT_DESCRIPTORS 1024u

#define MS_PER_S 1000u

struct mt_guarded_account_t {
	mt_shared_name_t name; /**< the key in `accounts` */
	size_t bytes;	       /**< of its connections */
	unsigned connections;
};

struct mt_http_guard_t {
	mt_http_limits_t limits;
	mt_http_stats_t stats;
	GQueue connections;   /**< mt_guarded_t, by time of the last progress */
	GHashTable *accounts; /**< name to mt_guarded_account_t */
};

static const char *const reason_names[] = {
	[MT_HTTP_REASON_NONE] = "none",
	[MT_HTTP_REASON_ACCEPT] = "accept_failed",
	[MT_HTTP_REASON_CONNECTIONS] = "connections",
	[MT_HTTP_REASON_BUFFERED] = "buffered_bytes",
	[MT_HTTP_REASON_ACCOUNT] = "account_bytes",
	[MT_HTTP_REASON_REJECTED] = "rejected",
	[MT_HTTP_REASON_HEADER_SIZE] = "header_size",
	[MT_HTTP_REASON_HEADER_REFUSED] = "header_refused",
	[MT_HTTP_REASON_IDLE] = "idle",
	[MT_HTTP_REASON_HEADER_TIME] = "header_time",
	[MT_HTTP_REASON_BODY_TIME] = "body_time",
	[MT_HTTP_REASON_RESPONSE_TIME] = "response_time",
	[MT_HTTP_REASON_LINGERED] = "lingered",
};

const char *mt_http_reason_name(mt_http_reason_t reason)
{
	return reason_names[reason];
}

static unsigned default_connections_max(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) ||
	    limit.rlim_cur == RLIM_INFINITY || limit.rlim_cur > G_MAXINT)
		return DEFAULT_DESCRIPTORS / 2;
	return (unsigned)limit.rlim_cur / 2;
}

mt_http_limits_t mt_http_limits_default(size_t body_max_bytes)
{
	return (mt_http_limits_t){
		.connections_max = default_connections_max(),
		.buffered_max_bytes = DEFAULT_BUFFERED_BYTES,
		.account_max_bytes = DEFAULT_BUFFERED_BYTES,
		.header_max_bytes = DEFAULT_HEADER_BYTES,
		.body_max_bytes = body_max_bytes,
		.idle_ms = DEFAULT_IDLE_MS,
		.header_ms = DEFAULT_HEADER_MS,
		.transfer_ms = DEFAULT_TRANSFER_MS,
		.rate_min_bytes_per_s = DEFAULT_RATE_BYTES_PER_S,
	};
}

mt_http_guard_t *mt_http_guard_new(const mt_http_limits_t *limits)
{
	mt_http_guard_t *guard = g_new0(mt_http_guard_t, 1);

	g_queue_init(&guard->connections);
	guard->accounts = mt_shared_name_table_new(g_free);
	mt_http_guard_set_limits(guard, limits);
	return guard;
}

void mt_http_guard_free(mt_http_guard_t *guard)
{
	g_hash_table_unref(guard->accounts);
	g_free(guard);
}

void mt_http_guard_set_limits(mt_http_guard_t *guard,
			      const mt_http_limits_t *limits)
{
	size_t bytes_min = REQUESTS_MIN * BUFFER_FACTOR *
			   (limits->header_max_bytes + limits->body_max_bytes);

	guard->limits = *limits;
	guard->limits.buffered_max_bytes =
		MAX(limits->buffered_max_bytes, bytes_min);
	guard->limits.account_max_bytes =
		MAX(limits->account_max_bytes, bytes_min);
	guard->limits.connections_max = MAX(limits->connections_max, 1);
}

const mt_http_limits_t *mt_http_guard_limits(const mt_http_guard_t *guard)
{
	return &guard->limits;
}

const mt_http_stats_t *mt_http_guard_stats(const mt_http_guard_t *guard)
{
	return &guard->stats;
}

void mt_http_guard_count(mt_http_guard_t *guard, mt_http_reason_t reason)
{
	guard->stats.closed[reason]++;
}

/* Connections. */

static size_t bytes_of(const mt_guarded_t *connection)
{
	return connection->input_bytes + connection->output_bytes;
}

/** Makes the connection the last one in the order of progress. */
static void note_progress(mt_http_guard_t *guard, mt_guarded_t *connection,
			  mt_ms_t now)
{
	connection->progress_at = now;
	g_queue_unlink(&guard->connections, &connection->link);
	g_queue_push_tail_link(&guard->connections, &connection->link);
}

static void replace_bytes(mt_http_guard_t *guard, mt_guarded_t *connection,
			  size_t input_bytes, size_t output_bytes)
{
	size_t before = bytes_of(connection);
	size_t after = input_bytes + output_bytes;
	mt_http_stats_t *stats = &guard->stats;

	connection->input_bytes = input_bytes;
	connection->output_bytes = output_bytes;
	stats->buffered_bytes = stats->buffered_bytes - before + after;
	stats->buffered_peak_bytes =
		MAX(stats->buffered_peak_bytes, stats->buffered_bytes);
	if (connection->account)
		connection->account->bytes =
			connection->account->bytes - before + after;
}

static void clear_account(mt_http_guard_t *guard, mt_guarded_t *connection)
{
	mt_guarded_account_t *account = connection->account;

	if (!account)
		return;
	connection->account = NULL;
	account->bytes -= bytes_of(connection);
	if (--account->connections == 0)
		g_hash_table_remove(guard->accounts,
				    mt_shared_name_key(account->name));
}

void mt_http_guard_add(mt_http_guard_t *guard, mt_guarded_t *connection,
		       mt_ms_t now)
{
	mt_http_stats_t *stats = &guard->stats;

	*connection = (mt_guarded_t){.phase = MT_HTTP_PHASE_IDLE,
				     .phase_since = now,
				     .progress_at = now};
	connection->link.data = connection;
	g_queue_push_tail_link(&guard->connections, &connection->link);
	stats->connections++;
	stats->connections_peak =
		MAX(stats->connections_peak, stats->connections);
}

void mt_http_guard_remove(mt_http_guard_t *guard, mt_guarded_t *connection)
{
	replace_bytes(guard, connection, 0, 0);
	clear_account(guard, connection);
	g_queue_unlink(&guard->connections, &connection->link);
	if (connection->phase != MT_HTTP_PHASE_CLOSED)
		guard->stats.connections--;
}

void mt_http_guard_set_phase(mt_http_guard_t *guard, mt_guarded_t *connection,
			     mt_http_phase_t phase, mt_ms_t now)
{
	if (phase >= MT_HTTP_PHASE_LINGER)
		replace_bytes(guard, connection, 0, 0);
	if (phase == MT_HTTP_PHASE_CLOSED &&
	    connection->phase != MT_HTTP_PHASE_CLOSED)
		guard->stats.connections--;
	if (phase != MT_HTTP_PHASE_BODY && phase != MT_HTTP_PHASE_WAITING &&
	    phase != MT_HTTP_PHASE_RESPONSE)
		clear_account(guard, connection);
	connection->phase = phase;
	connection->phase_since = now;
	connection->transferred = 0;
	note_progress(guard, connection, now);
}

void mt_http_guard_set_bytes(mt_http_guard_t *guard, mt_guarded_t *connection,
			     size_t input_bytes, size_t output_bytes,
			     size_t transferred, mt_ms_t now)
{
	replace_bytes(guard, connection, input_bytes, output_bytes);
	if (transferred > connection->transferred)
		note_progress(guard, connection, now);
	connection->transferred = transferred;
}

void mt_http_guard_set_account(mt_http_guard_t *guard, mt_guarded_t *connection,
			       mt_shared_name_t name)
{
	mt_guarded_account_t *account;

	if (!name.len) {
		clear_account(guard, connection);
		return;
	}
	account =
		g_hash_table_lookup(guard->accounts, mt_shared_name_key(name));
	if (!account) {
		account = g_new0(mt_guarded_account_t, 1);
		account->name = name;
		g_hash_table_insert(guard->accounts,
				    mt_shared_name_new_key(name), account);
	}
	account->connections++;
	account->bytes += bytes_of(connection);
	clear_account(guard, connection);
	connection->account = account;
}

/* Budgets. */

/** True for the phases in which a connection may be closed for a budget. */
static bool can_close(const mt_guarded_t *connection)
{
	return connection->phase <= MT_HTTP_PHASE_BODY ||
	       connection->phase == MT_HTTP_PHASE_RESPONSE;
}

/** Whether closing the connection frees bytes of the account; NULL: of any. */
static bool frees_bytes(const mt_guarded_t *connection,
			const mt_guarded_account_t *account)
{
	return can_close(connection) && bytes_of(connection) &&
	       (!account || connection->account == account);
}

/** Whether closing the connection frees a descriptor of the server. */
static bool frees_descriptor(const mt_guarded_t *connection,
			     const mt_guarded_account_t *account)
{
	return can_close(connection) ||
	       connection->phase == MT_HTTP_PHASE_LINGER;
}

/**
 * The matching connection that has been without progress for the longest time.
 */
static mt_guarded_t *
find_slowest(const mt_http_guard_t *guard,
	     bool (*matches)(const mt_guarded_t *connection,
			     const mt_guarded_account_t *account),
	     const mt_guarded_account_t *account)
{
	for (GList *link = guard->connections.head; link; link = link->next)
		if (matches(link->data, account))
			return link->data;
	return NULL;
}

mt_guarded_t *mt_http_guard_over_budget(mt_http_guard_t *guard,
					const mt_guarded_t *latest,
					mt_http_reason_t *reason)
{
	const mt_guarded_account_t *account = latest ? latest->account : NULL;

	if (account && account->bytes > guard->limits.account_max_bytes) {
		*reason = MT_HTTP_REASON_ACCOUNT;
		return find_slowest(guard, frees_bytes, account);
	}
	if (guard->stats.buffered_bytes > guard->limits.buffered_max_bytes) {
		*reason = MT_HTTP_REASON_BUFFERED;
		return find_slowest(guard, frees_bytes, NULL);
	}
	return NULL;
}

bool mt_http_guard_may_add(mt_http_guard_t *guard, mt_guarded_t **to_close)
{
	unsigned max = guard->limits.connections_max;
	unsigned extra = max / EXTRA_CONNECTIONS_DIVISOR;

	*to_close = NULL;
	if (guard->stats.connections < max)
		return true;
	*to_close = find_slowest(guard, frees_descriptor, NULL);
	return *to_close && guard->stats.connections < max + extra;
}

/* Deadlines. */

/** True when a body or response is too slow or stands still. */
static bool is_transfer_overdue(const mt_http_limits_t *limits,
				const mt_guarded_t *connection, mt_ms_t now)
{
	mt_ms_t allowed =
		limits->transfer_ms + connection->transferred * MS_PER_S /
					      limits->rate_min_bytes_per_s;

	return now - connection->progress_at > limits->transfer_ms ||
	       now - connection->phase_since > allowed;
}

mt_http_reason_t mt_http_guard_overdue(const mt_http_guard_t *guard,
				       const mt_guarded_t *connection,
				       mt_ms_t now)
{
	const mt_http_limits_t *limits = &guard->limits;
	mt_ms_t age = now - connection->phase_since;

	switch (connection->phase) {
	case MT_HTTP_PHASE_IDLE:
		return age > limits->idle_ms ? MT_HTTP_REASON_IDLE
					     : MT_HTTP_REASON_NONE;
	case MT_HTTP_PHASE_HEADER:
		return age > limits->header_ms ? MT_HTTP_REASON_HEADER_TIME
					       : MT_HTTP_REASON_NONE;
	case MT_HTTP_PHASE_BODY:
		return is_transfer_overdue(limits, connection, now)
			       ? MT_HTTP_REASON_BODY_TIME
			       : MT_HTTP_REASON_NONE;
	case MT_HTTP_PHASE_RESPONSE:
		return is_transfer_overdue(limits, connection, now)
			       ? MT_HTTP_REASON_RESPONSE_TIME
			       : MT_HTTP_REASON_NONE;
	case MT_HTTP_PHASE_LINGER:
		return age > LINGER_MS ? MT_HTTP_REASON_LINGERED
				       : MT_HTTP_REASON_NONE;
	default:
		return MT_HTTP_REASON_NONE;
	}
}

void mt_http_guard_foreach(mt_http_guard_t *guard,
			   void (*cb)(void *ctx, mt_guarded_t *connection),
			   void *ctx)
{
	GList *next;

	for (GList *link = guard->connections.head; link; link = next) {
		next = link->next;
		cb(ctx, link->data);
	}
}
