/**
 * @file fleet_model.h
 * In-memory model of all backend servers (the fleet) of the platform, with an
 * audit of the tasks that they run. (tests/fleet is something else: a
 * simulation of mimosaturn-entry hosts.) Each run of a job has one task on each
 * of its servers; the tasks of a run form a gang. A gang is partially running
 * while some of its tasks run and others neither run nor have finished. The
 * payload of a task defines its behaviour:
 *
 *   {"run_ms": 500, "result": "text", "fail": false,
 *    "use_memory_mb": 2000, "once": true}
 *
 * `once` marks a job whose side effect must not happen twice. The side effect
 * happens when the program of a task begins.
 */
#ifndef MT_TESTS_FLEET_MODEL_H
#define MT_TESTS_FLEET_MODEL_H

#include "kernel/timers.h"
#include "net/server_port.h"

typedef struct mt_fleet_model_t mt_fleet_model_t;

/** Injected faults of one server. */
typedef struct mt_server_faults_t {
	bool fail_all;		/**< every task fails as soon as it begins */
	bool refuse_start;	/**< START is refused */
	bool refuse_checkpoint; /**< CHECKPOINT is refused */
	uint32_t checkpoint_ms; /**< duration of a checkpoint */
	bool leaving;		/**< set in replies and in the server list */
} mt_server_faults_t;

/** Audit results over all jobs. */
typedef struct mt_audit_t {
	uint64_t jobs_begun; /**< jobs of which a program began */
	uint64_t once_begun; /**< `once` jobs among them */
	uint64_t run_twice;  /**< `once` jobs that began in several runs */
	uint64_t gangs_partial_too_long; /**< gangs partially running for too
					    long */
	uint64_t premature_begins; /**< tasks that began before all tasks of
				      their gang were created */
	/** Longest time for which a gang was partially running. */
	mt_ms_t longest_partial_ms;
	/** Tasks started on servers that had been leaving for longer than
	 * `leaving_grace_ms`. */
	uint64_t started_while_leaving;
} mt_audit_t;

/**
 * @param partial_max_ms   limit of the time for which a gang may be partially
 *                         running; choose at least renew_ms + lease_term_ms:
 *                         the time until a renewal reports a lost task, and
 *                         until the leases of the other tasks expire
 * @param leaving_grace_ms time after which a leaving server should not get any
 *                         START
 */
mt_fleet_model_t *mt_fleet_model_new(mt_ms_t partial_max_ms,
				     mt_ms_t leaving_grace_ms);
void mt_fleet_model_free(mt_fleet_model_t *fleet);
void mt_fleet_model_add(mt_fleet_model_t *fleet, const mt_server_info_t *info);

/** Descriptions (mt_server_info_t) of all servers; g_array_unref() them. */
GArray *mt_fleet_model_infos(const mt_fleet_model_t *fleet);

/** The faults may be modified. @return NULL if there is no such server */
mt_server_faults_t *mt_fleet_model_faults(mt_fleet_model_t *fleet,
					  const mt_name_t *server);
void mt_fleet_model_set_leaving(mt_fleet_model_t *fleet,
				const mt_name_t *server, mt_ms_t now);

/** Restarts a server: it loses its tasks and token and gets a new boot id. */
void mt_fleet_model_reboot(mt_fleet_model_t *fleet, const mt_name_t *server,
			   mt_ms_t now);

/** Executes one request. Clear the reply with mt_server_reply_clear(). */
void mt_fleet_model_call(mt_fleet_model_t *fleet, const mt_name_t *server,
			 const mt_server_request_t *request, mt_ms_t now,
			 mt_server_reply_t *reply);

/**
 * Builds the reply to a RENEW whose reply was delayed until the server had a
 * newer version. mt_fleet_model_call() executed the RENEW when it arrived; this
 * function does not renew the task leases again.
 */
void mt_fleet_model_renew_reply(mt_fleet_model_t *fleet,
				const mt_name_t *server,
				const mt_server_request_t *request, mt_ms_t now,
				mt_server_reply_t *reply);

/** Current mt_server_reply_t.version of a server. */
uint64_t mt_fleet_model_version(const mt_fleet_model_t *fleet,
				const mt_name_t *server);

/**
 * Ends all tasks whose run time, checkpoint or lease is over at `now`, and
 * fails those that use more memory than they declare.
 */
void mt_fleet_model_advance(mt_fleet_model_t *fleet, mt_ms_t now);

mt_audit_t mt_fleet_model_audit(mt_fleet_model_t *fleet);

/** Number of runs in which a program of the job began; 0 if none is known. */
uint32_t mt_fleet_model_runs_begun(const mt_fleet_model_t *fleet,
				   const mt_name_t *job);

#endif
