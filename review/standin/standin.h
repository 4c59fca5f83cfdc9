/**
 * @file standin.h
 * Stand-ins of the users' platform for the review's scripts: the store, the
 * workers and the clients, in one process. It follows the users' page
 * PROTOCOL.md. Each host of the system gets a port of its own for the store, so
 * that a scenario can disrupt the store for one host only.
 */
#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <glib.h>

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/json_util.h"
#include "net/loop.h"

#define MAX_HOSTS 8
#define MAX_WORKERS 24
#define STORE_MAIN 0 /* index of the store port that no disruption touches */

/** How the store treats the calls that arrive on one of its ports. */
typedef enum store_mode_t {
	STORE_UP,
	STORE_BUSY,   /**< answers 503 and does nothing */
	STORE_SILENT, /**< does nothing and never answers */
} store_mode_t;

extern mt_loop_t *loop;
extern mt_timers_t *timers;

/** Milliseconds since the start of this program. */
mt_ms_t now_ms(void);
gint64 unix_ms(void);

/** Writes a line to record.txt, with the time since the start. */
void record(const char *format, ...) G_GNUC_PRINTF(1, 2);

/* An HTTP call that is answered later. */

typedef struct pending_t {
	mt_http_exchange_t *exchange; /**< NULL: the caller has disconnected */
	int status;
	GBytes *body;
	bool answered;
} pending_t;

pending_t *pending_new(const mt_http_incoming_request_t *http);
/** Answers after `delay` ms; takes ownership of `body` (NULL: empty). */
void pending_answer(pending_t *call, mt_ms_t delay, int status, GBytes *body);
void pending_answer_json(pending_t *call, mt_ms_t delay, int status,
			 json_t *json);
/** Never answers. The memory is freed when the caller disconnects. */
void pending_drop(pending_t *call);

/* Store (store.c). */

void store_init(void);
bool store_listen(uint16_t port, unsigned index);
void store_set_mode(unsigned index, store_mode_t mode);
/** Appends a record of the operator or of a worker. NULL value: delete. */
void store_put(const char *topic, const char *key, const char *value);
void store_tick(void);
/** Appends refused as they exceed call_bytes or record_bytes. */
extern unsigned store_oversized;
extern int store_oversized_status;
extern bool store_refuses_oversized;

/* Workers (worker.c). */

typedef struct worker_t worker_t;

/**
 * A start or an end of a subtask, as seen by a worker.
 */
typedef struct run_event_t {
	char *task;
	unsigned run;
	unsigned worker;
	unsigned life;
	mt_ms_t started_at;
	mt_ms_t ended_at; /**< 0: still running */
	const char *how;  /**< NULL: still running */
	unsigned number;  /**< number of the end */
	bool noted;	  /**< last_seen has reached the end */
	mt_ms_t noted_at;
	bool lapsed_before_noted; /**< the worker's lease lapsed in between */
} run_event_t;

extern GPtrArray *run_events;

/** @param shown_port port in the worker's entry: its own or that of a proxy */
worker_t *worker_new(unsigned index, uint16_t port, uint16_t shown_port,
		     unsigned cpu_milli);
void worker_tick(worker_t *worker);
/** Crashes, and starts again under the same id. */
void worker_restart(worker_t *worker);
/** Nothing reaches the worker, and it reaches nothing; it runs on. */
void worker_cut(worker_t *worker, bool cut);
unsigned worker_n_running(const worker_t *worker);
void worker_set_hold_max(mt_ms_t ms);
/** Ends the runs of a task with this prefix, as if by themselves. */
void worker_end_runs(worker_t *worker, const char *prefix, const char *how);
/** Number of starts of the tasks with this prefix that are running now. */
unsigned runs_now(const char *prefix);
unsigned runs_started(const char *prefix);
unsigned runs_ended(const char *prefix, const char *how);
/** Records and counts breaches of the rule TWICE. */
unsigned count_twice(void);

/* Proxy (proxy.c). */

/** Passes the channels to a port on to another one. */
bool proxy_listen(uint16_t port, uint16_t far_port);
/** All open channels go silent for good; new ones work. @return their number */
unsigned proxy_silence(void);
/** All that is passed on from now on arrives this much later. */
void proxy_delay(mt_ms_t ms);

#endif
