/**
 * @file backend.h
 * The scheduler's state for one backend server: its entry in the platform's
 * list, the tasks placed there, an estimate of its clock and the expiry of its
 * leases.
 */
#ifndef MT_DAG_BACKEND_H
#define MT_DAG_BACKEND_H

#include "dag/backend_port.h"
#include "dag/cold_rate.h"
#include "dag/plan.h"

/** A server's entry in the platform's list, see directory.h. It has references
 * to its names and labels. */
typedef struct mt_backend_info_t {
	mt_backend_target_t target;
	mt_shared_name_t service;
	mt_shared_name_t zone;
	bool draining;
	/** While draining: minimum time until the server stops, counted from
	 * the moment at which this host reads the entry. */
	mt_ms_t remaining_ms;
	/** Time for which the server is still cold, that is slow after its
	 * start, counted from the moment at which this host reads the entry. */
	mt_ms_t cold_remaining_ms;
	mt_dag_resources_t capacity;
	GArray *labels; /**< GQuark; NULL: none */
	GQuark rack;	/**< 0: unknown */
	/** Unix time at which the server process started; 0: unknown. A changed
	 * value shows that the server has restarted. */
	int64_t born_ms;
} mt_backend_info_t;

/**
 * The scheduler's state for one backend server. In names and comments,
 * "backend" and "server" mean the same. A variable named `server` may also be a
 * mt_plan_server_t, which is the planner's copy of a part of this state, the id
 * of a server (mt_shared_name_t) or an index; its type shows which.
 */
typedef struct mt_backend_t {
	/** mt_shared_name_hash() of its id. Progress records contain this in
	 * place of the id, which is not known (info.target.id is empty) until
	 * the platform's list has shown it. */
	uint64_t id_hash;
	/** Its id as it is logged, or the hash; see mt_backend_set_id(). */
	char *log_name;
	mt_backend_info_t info;
	bool listed; /**< the platform's list has a valid entry for it */
	/** Unix time at which the present process of this server started, as
	 * far as known; 0: unknown. List entries and progress records can only
	 * set it to a later time, as they may be about an earlier process. If
	 * it is known, each other start time in the answer to a hold replaces
	 * it, also an earlier one. `info.born_ms` is the start time in the list
	 * entry. `tasks` may include tasks that were placed on an earlier
	 * process. */
	int64_t born_ms;
	GPtrArray *tasks;	 /**< mt_dag_task_t placed here */
	mt_dag_resources_t used; /**< resources that `tasks` require */

	/** `clock_ms` is set, and the server has not restarted since. */
	bool clock_known;
	uint64_t clock_ms; /**< the server's monotonic clock at `drift_start` */
	/** Local time from which the server's clock may have drifted away from
	 * the local clock. After the first reading of the server's clock, this
	 * is the time at which the last reading, `clock_ms`, arrived. Before
	 * the first reading, `clock_ms` is 0, and this is the latest time at
	 * which a former leader may renew leases, which may lie in the future,
	 * see FORMER_LEADER_RENEWAL_MS in engine.c. find_or_add_backend() in
	 * engine.c uses that time once, for the first `leases_expire_at`. */
	mt_ms_t drift_start;
	/** Local time by which all leases on the server have expired. */
	mt_ms_t leases_expire_at;
	/** The server has answered a hold since this host began to lead and
	 * since the last known restart of the server. */
	bool hold_answered;
	mt_ms_t answered_at; /**< local time of its last hold answer */
	mt_ms_t reported_at; /**< local time of the last report applied */

	/** A hold has no answer yet and is not overdue. */
	bool hold_in_flight;
	/** Number of holds without an answer that are overdue. */
	unsigned n_overdue_holds;
	uint64_t last_hold; /**< number of the last hold; 0: none was sent */
	/** Number of the latest hold whose report was applied. */
	uint64_t last_report;
	bool hold_delayed;    /**< the next hold waits for a retry timer */
	mt_ms_t hold_sent_at; /**< local time of the last hold command */
	/** Number of consecutive holds that are overdue or had an error. */
	unsigned n_failed_holds;
	/* The server numbers its ended runs (mt_ended_run_t.number). It keeps
	 * and reports each of them until a hold permits its deletion. */
	/** Highest number of an ended run that this host has handled. */
	uint64_t last_end_handled;
	/** The effects of all ended runs up to this number are in the store. */
	uint64_t last_end_stored;
	/** The last hold permitted the server to delete its ended runs up to
	 * this number. */
	uint64_t last_end_deletable_sent;

	/** Earliest local time at which a draining server stops; 0: not
	 * draining. */
	mt_ms_t drain_deadline;
	/** Number of active runs in the last report that were not the present
	 * run of a task placed here. */
	unsigned n_stray_runs;
	mt_ms_t cold_until; /**< cold before this local time; 0: not cold */
	mt_cold_rate_t cold_rate; /**< of the placements while it is cold */
	mt_ms_t avoid_until;	  /**< no placement before this local time */
	/** Runs have failed, stalled or been slow there. Before this local
	 * time, only overdue steps are placed there, see OVERDUE_MS in
	 * candidates.c. */
	mt_ms_t suspect_until;
	/* Rates of progress of the tasks placed here, see pace.h. */
	double ratio_sum;     /**< sum over the tasks compared last */
	unsigned n_ratios;    /**< number of the tasks compared last */
	double slow_ratio;    /**< mean of the ratios, if the server is slow */
	mt_ms_t slow_at;      /**< when it was last found slow; 0: never */
	unsigned fail_streak; /**< number of consecutive failed runs on it */
	void *owner;	      /**< not used; always NULL */
} mt_backend_t;

/** Takes references to what `from` refers to; what `to` had is given back. */
void mt_backend_info_assign(mt_backend_info_t *to,
			    const mt_backend_info_t *from);
void mt_backend_info_clear(mt_backend_info_t *info);

/** Adds a label. */
void mt_backend_info_add_label(mt_backend_info_t *info, GQuark label);

mt_backend_t *mt_backend_new(uint64_t id_hash);
void mt_backend_free(mt_backend_t *backend);

/** Sets the id, which is not known before, and the name for the log. */
void mt_backend_set_id(mt_backend_t *backend, mt_shared_name_t id);

/**
 * Applies mt_backend_info_t.cold_remaining_ms of an entry that is about to
 * replace `backend->info`.
 */
void mt_backend_note_cold(mt_backend_t *backend, const mt_backend_info_t *info,
			  mt_ms_t now);

/**
 * False while the list entry, `info`, may be about an earlier process of the
 * server than the one that answers.
 */
bool mt_backend_info_is_current(const mt_backend_t *backend);

/** True if the list entry has the label; always true for label 0. */
bool mt_backend_has_label(const mt_backend_t *backend, GQuark label);

/** Estimates the server's present clock; only valid if `clock_known`. */
uint64_t mt_backend_clock(const mt_backend_t *backend, mt_ms_t now);

/**
 * True when the server has answered a hold within the last `window_ms`, since
 * this host began to lead, and since the last known restart of the server.
 */
bool mt_backend_is_responsive(const mt_backend_t *backend, mt_ms_t now,
			      mt_ms_t window_ms);

/**
 * Stores a reading of the server's clock that arrived at local time `now`.
 * Ignored when `clock_ms` is 0, that is not reported.
 */
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
