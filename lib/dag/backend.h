/**
 * @file backend.h
 * A backend server as the scheduler sees it: what it says of itself, what
 * runs there, its clock and the lease of its tasks.
 */
#ifndef MT_DAG_BACKEND_H
#define MT_DAG_BACKEND_H

#include "dag/backend_port.h"
#include "dag/plan.h"

/** Labels kept of a server. */
#define MT_BACKEND_LABELS_MAX MT_PLAN_LABELS_MAX

/** What a server reports about itself. */
typedef struct mt_backend_info_t {
	mt_backend_target_t target;
	mt_name_t service;
	mt_name_t zone;
	bool draining;
	mt_ms_t remaining_ms; /**< while draining: the least time left */
	mt_dag_resources_t capacity;
	GQuark labels[MT_BACKEND_LABELS_MAX];
	GQuark rack;
	int64_t born_ms; /**< start of this lifetime, Unix time; 0: unknown */
} mt_backend_info_t;

typedef struct mt_backend_t {
	mt_backend_info_t info;
	bool listed;	  /**< the platform's list has it, in good form */
	int64_t born_ms;  /**< lifetime to which the tasks here belong */
	GPtrArray *tasks; /**< mt_dag_task_t placed here */
	mt_dag_resources_t used;

	bool clock_known;
	uint64_t clock_ms;	  /**< the server's clock at `clock_at` */
	mt_ms_t clock_at;	  /**< own time */
	mt_ms_t leases_expire_at; /**< own time when every lease here is over */
	bool answered_in_term;	  /**< it has answered under this term */
	mt_ms_t answered_at;	  /**< own time of its last answer */

	bool hold_in_flight;
	bool hold_delayed; /**< a timer will send the next hold */
	mt_ms_t hold_sent_at;
	unsigned unanswered_holds; /**< holds without an answer, in a row */
	uint64_t ends_read;   /**< highest number of an end that was handled */
	uint64_t ends_stored; /**< highest whose effect is in the store */
	uint64_t
		ends_acknowledged; /**< highest the server was told to forget */

	mt_ms_t drain_deadline; /**< own time until which it stays; 0: not
				   leaving */
	unsigned stray_runs;	/**< runs there that belong to no task */
	mt_ms_t avoid_until;	/**< no placement before this time */
	unsigned fail_streak;	/**< failed runs since the last good one */
	void *owner;		/**< the engine */
} mt_backend_t;

/** Estimate of the server's clock now. */
uint64_t mt_backend_clock(const mt_backend_t *backend, mt_ms_t now);

/** True when it has answered within the last `window_ms`. */
bool mt_backend_is_responsive(const mt_backend_t *backend, mt_ms_t now,
			      mt_ms_t window_ms);

/** Takes the server's clock from an answer. */
void mt_backend_note_clock(mt_backend_t *backend, uint64_t clock_ms,
			   mt_ms_t now);

/** Notes that a lease of `lease_ms` from now may be granted there. */
void mt_backend_note_lease(mt_backend_t *backend, mt_ms_t now,
			   mt_ms_t lease_ms);

#endif
