/**
 * @file backend.h
 * The scheduler's state for one backend server: its last report, the tasks
 * placed there, an estimate of its clock and the expiry of its leases.
 */
#ifndef MT_DAG_BACKEND_H
#define MT_DAG_BACKEND_H

#include "dag/backend_port.h"
#include "dag/plan.h"

/** Labels of a server that are stored; further ones are ignored. */
#define MT_BACKEND_LABELS_MAX MT_PLAN_LABELS_MAX

/** What a server reports about itself. */
typedef struct mt_backend_info_t {
	mt_backend_target_t target;
	mt_name_t service;
	mt_name_t zone;
	bool draining;
	mt_ms_t remaining_ms; /**< while draining: least time until it stops */
	mt_dag_resources_t capacity;
	GQuark labels[MT_BACKEND_LABELS_MAX];
	GQuark rack;
	int64_t born_ms; /**< Unix time of its last restart; 0: unknown */
} mt_backend_info_t;

typedef struct mt_backend_t {
	mt_backend_info_t info;
	bool listed;	  /**< the platform's list has a valid entry for it */
	int64_t born_ms;  /**< incarnation on which `tasks` were placed */
	GPtrArray *tasks; /**< mt_dag_task_t placed here */
	mt_dag_resources_t used;

	bool clock_known;
	uint64_t clock_ms;	  /**< the server's clock at `clock_at` */
	mt_ms_t clock_at;	  /**< local time of that reading */
	mt_ms_t leases_expire_at; /**< local time; all leases are over then */
	bool hold_answered;	  /**< to a hold since this host leads */
	mt_ms_t answered_at;	  /**< local time of its last hold answer */

	bool hold_in_flight;
	bool hold_delayed; /**< the next hold waits for a retry timer */
	mt_ms_t hold_sent_at;
	unsigned failed_holds; /**< consecutive holds that failed */
	/* The server numbers the ended runs that it reports. */
	uint64_t ends_read;	    /**< highest number that was handled */
	uint64_t ends_stored;	    /**< highest whose effect is in the store */
	uint64_t ends_acknowledged; /**< highest that the server may forget */

	/** Local time at which a draining server may stop; 0: not draining. */
	mt_ms_t drain_deadline;
	unsigned stray_runs;  /**< runs there that belong to no task */
	mt_ms_t avoid_until;  /**< no placement before this time */
	unsigned fail_streak; /**< consecutive failed runs */
	void *owner;	      /**< the engine */
} mt_backend_t;

/** Estimates the server's present clock from the last reading. */
uint64_t mt_backend_clock(const mt_backend_t *backend, mt_ms_t now);

/** True when it answered a hold within the last `window_ms`, in this term. */
bool mt_backend_is_responsive(const mt_backend_t *backend, mt_ms_t now,
			      mt_ms_t window_ms);

/** Stores a clock reading; ignored when `clock_ms` is 0 (not reported). */
void mt_backend_note_clock(mt_backend_t *backend, uint64_t clock_ms,
			   mt_ms_t now);

/**
 * Extends `leases_expire_at` for a lease of `lease_ms` that is about to be
 * requested. To be called before the request is sent, as it may be carried
 * out even when no answer arrives.
 */
void mt_backend_note_lease(mt_backend_t *backend, mt_ms_t now,
			   mt_ms_t lease_ms);

#endif
