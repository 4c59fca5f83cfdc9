/**
 * @file http_guard.h
 * Limits of the connections of an HTTP server: budgets of buffered bytes, the
 * number of connections, and deadlines. Decides which connections are to be
 * closed; has no I/O and no clock, except that mt_http_limits_default() reads
 * the process's limit of descriptors. http_connection.c reports to it what
 * connections do, and closes them.
 */
#ifndef MT_NET_HTTP_GUARD_H
#define MT_NET_HTTP_GUARD_H

#include "kernel/shared_name.h"
#include "kernel/timers.h"

/** All but `body_max_bytes` have defaults, see mt_http_limits_default(). */
typedef struct mt_http_limits_t {
	unsigned connections_max;
	/** Maximum size of the input buffers and pending responses of all
	 * connections; at least four requests of the maximum size. */
	size_t buffered_max_bytes;
	/** The same for the requests of one client account. */
	size_t account_max_bytes;
	size_t header_max_bytes; /**< request line and header lines */
	size_t body_max_bytes;
	mt_ms_t idle_ms;   /**< time without a request */
	mt_ms_t header_ms; /**< from the first byte to the end of the header */
	/** A body or response may take transfer_ms and, in addition, the time
	 * for its bytes at rate_min_bytes_per_s; it must not stand still for
	 * transfer_ms. */
	mt_ms_t transfer_ms;
	uint32_t rate_min_bytes_per_s;
} mt_http_limits_t;

/** What a connection does at present. */
typedef enum mt_http_phase_t {
	MT_HTTP_PHASE_IDLE,	/**< no byte of a request was received */
	MT_HTTP_PHASE_HEADER,	/**< the header is incomplete */
	MT_HTTP_PHASE_BODY,	/**< the body is incomplete */
	MT_HTTP_PHASE_WAITING,	/**< the handler has the request */
	MT_HTTP_PHASE_RESPONSE, /**< a response is being sent */
	MT_HTTP_PHASE_LINGER,	/**< a refusal was sent; input is discarded */
	MT_HTTP_PHASE_ABORTED,	/**< shut down, but still open */
	MT_HTTP_PHASE_CLOSED,	/**< its descriptor is closed */
} mt_http_phase_t;

/** Why a connection is closed or a request refused. */
typedef enum mt_http_reason_t {
	MT_HTTP_REASON_NONE,
	MT_HTTP_REASON_ACCEPT,	       /**< accept() failed, but not for EMFILE,
					 which libuv handles itself */
	MT_HTTP_REASON_CONNECTIONS,    /**< too many connections */
	MT_HTTP_REASON_BUFFERED,       /**< over buffered_max_bytes */
	MT_HTTP_REASON_ACCOUNT,	       /**< over account_max_bytes */
	MT_HTTP_REASON_REJECTED,       /**< malformed, or over body_max_bytes */
	MT_HTTP_REASON_HEADER_SIZE,    /**< over header_max_bytes */
	MT_HTTP_REASON_HEADER_REFUSED, /**< see mt_http_header_cb */
	MT_HTTP_REASON_IDLE,	       /**< over idle_ms */
	MT_HTTP_REASON_HEADER_TIME,    /**< over header_ms */
	MT_HTTP_REASON_BODY_TIME,      /**< body too slow */
	MT_HTTP_REASON_RESPONSE_TIME,  /**< response read too slowly */
	MT_HTTP_REASON_LINGERED,       /**< the time after a refusal is over */
	MT_HTTP_REASON_COUNT,
} mt_http_reason_t;

/** Name of a reason in metrics and events. */
const char *mt_http_reason_name(mt_http_reason_t reason);

typedef struct mt_guarded_account_t mt_guarded_account_t;

/** The state of a connection; the caller reads `phase` only. */
typedef struct mt_guarded_t {
	GList link; /**< in mt_http_guard_t.connections */
	mt_http_phase_t phase;
	mt_ms_t phase_since;
	mt_ms_t progress_at; /**< time of the last byte or change of phase */
	size_t input_bytes;  /**< size of the input buffer */
	size_t output_bytes; /**< size of the pending response */
	size_t transferred;  /**< bytes of the present body or response */
	mt_guarded_account_t *account; /**< whose request it is, or NULL */
} mt_guarded_t;

typedef struct mt_http_stats_t {
	unsigned connections;
	unsigned connections_peak;
	size_t buffered_bytes;
	size_t buffered_peak_bytes;
	/** Connections closed and requests refused, by reason. */
	uint64_t closed[MT_HTTP_REASON_COUNT];
} mt_http_stats_t;

typedef struct mt_http_guard_t mt_http_guard_t;

/**
 * Limits that no client reaches in ordinary use. The connections are at most
 * half of the descriptors that the process may open, as read with getrlimit().
 */
mt_http_limits_t mt_http_limits_default(size_t body_max_bytes);

mt_http_guard_t *mt_http_guard_new(const mt_http_limits_t *limits);
void mt_http_guard_free(mt_http_guard_t *guard);

/**
 * Sets the limits. Budgets that are too small for four requests of the maximum
 * size are raised, and `connections_max` to at least 1; see
 * mt_http_guard_limits() for the result.
 */
void mt_http_guard_set_limits(mt_http_guard_t *guard,
			      const mt_http_limits_t *limits);
const mt_http_limits_t *mt_http_guard_limits(const mt_http_guard_t *guard);
const mt_http_stats_t *mt_http_guard_stats(const mt_http_guard_t *guard);

/** Adds a new connection; `connection` stays valid until it is removed. */
void mt_http_guard_add(mt_http_guard_t *guard, mt_guarded_t *connection,
		       mt_ms_t now);
void mt_http_guard_remove(mt_http_guard_t *guard, mt_guarded_t *connection);

/**
 * Changes the phase. From MT_HTTP_PHASE_LINGER on, the connection holds no
 * bytes and is not closed for a budget of bytes any more.
 */
void mt_http_guard_set_phase(mt_http_guard_t *guard, mt_guarded_t *connection,
			     mt_http_phase_t phase, mt_ms_t now);

/**
 * Sets the size of the input buffer and of the pending response.
 * @param transferred bytes of the present body or response that were
 *                    transferred; an increase is progress
 */
void mt_http_guard_set_bytes(mt_http_guard_t *guard, mt_guarded_t *connection,
			     size_t input_bytes, size_t output_bytes,
			     size_t transferred, mt_ms_t now);

/**
 * Sets the client account of the present request, until its phase is idle.
 * @param account if empty, the request counts against the budget of the server
 *                only: requests to public queues would share one account
 */
void mt_http_guard_set_account(mt_http_guard_t *guard, mt_guarded_t *connection,
			       mt_shared_name_t account);

/**
 * The connection to close because a budget is exceeded: the one without
 * progress for the longest time. Connections whose handler has the request are
 * never chosen.
 * @param latest the connection that received bytes last, or NULL
 * @return NULL when all budgets hold, or nothing can be closed
 */
mt_guarded_t *mt_http_guard_over_budget(mt_http_guard_t *guard,
					const mt_guarded_t *latest,
					mt_http_reason_t *reason);

/**
 * Decides on a new connection before it is added.
 * @param to_close receives the connection to close first, or NULL
 * @return false when the new connection is to be closed at once
 */
bool mt_http_guard_may_add(mt_http_guard_t *guard, mt_guarded_t **to_close);

/** Why the connection is overdue, or MT_HTTP_REASON_NONE. */
mt_http_reason_t mt_http_guard_overdue(const mt_http_guard_t *guard,
				       const mt_guarded_t *connection,
				       mt_ms_t now);

/** Calls `cb` for all connections; `cb` may change their phase only. */
void mt_http_guard_foreach(mt_http_guard_t *guard,
			   void (*cb)(void *ctx, mt_guarded_t *connection),
			   void *ctx);

/** Counts a closed connection or refused request. */
void mt_http_guard_count(mt_http_guard_t *guard, mt_http_reason_t reason);

#endif
