/**
 * @file fleet_model.h
 * The platform's backend servers, kept in memory, and the audit of what
 * their tasks did. A task's payload tells how it behaves:
 *
 *   {"run_ms": 500, "result": "text", "fail": false,
 *    "use_memory_mb": 2000, "once": true}
 *
 * `once` marks a job whose effect must not happen twice; the effect happens
 * at the instant at which the program begins.
 */
#ifndef MT_TESTS_FLEET_MODEL_H
#define MT_TESTS_FLEET_MODEL_H

#include "kernel/timers.h"
#include "net/server_port.h"

typedef struct mt_fleet_model_t mt_fleet_model_t;

/** Fault switches of one server. */
typedef struct mt_server_faults_t {
	bool fail_all;		/**< every task ends in a failure at once */
	bool refuse_start;	/**< START is refused */
	bool refuse_checkpoint; /**< CHECKPOINT is refused */
	uint32_t checkpoint_ms; /**< time that a checkpoint takes */
	bool leaving;
} mt_server_faults_t;

/** What the audit found, over all jobs. */
typedef struct mt_audit_t {
	uint64_t jobs_begun;
	uint64_t once_begun;
	uint64_t run_twice;	/**< `once` jobs that began twice */
	uint64_t partial_gangs; /**< gangs that ran in part for too long */
	uint64_t unheld_gangs;	/**< a member began before all were there */
	mt_ms_t longest_partial_ms;
	uint64_t started_while_leaving;
} mt_audit_t;

/** Longest time for which a gang may run in part: one lease term. */
mt_fleet_model_t *mt_fleet_model_new(mt_ms_t partial_bound_ms,
				     mt_ms_t leaving_bound_ms);
void mt_fleet_model_free(mt_fleet_model_t *fleet);
void mt_fleet_model_add(mt_fleet_model_t *fleet, const mt_server_info_t *info);

/** The servers' descriptions (mt_server_info_t), with `leaving` as set. */
GArray *mt_fleet_model_infos(const mt_fleet_model_t *fleet);
mt_server_faults_t *mt_fleet_model_faults(mt_fleet_model_t *fleet,
					  const mt_name_t *server);
void mt_fleet_model_set_leaving(mt_fleet_model_t *fleet,
				const mt_name_t *server, mt_ms_t now);

/** Restarts a server: its tasks and token are gone, its boot id changes. */
void mt_fleet_model_reboot(mt_fleet_model_t *fleet, const mt_name_t *server,
			   mt_ms_t now);

/** Carries out one request. The caller clears the reply. */
void mt_fleet_model_call(mt_fleet_model_t *fleet, const mt_name_t *server,
			 const mt_server_request_t *request, mt_ms_t now,
			 mt_server_reply_t *reply);

/** The answer to a RENEW that was carried out earlier and waited. */
void mt_fleet_model_report(mt_fleet_model_t *fleet, const mt_name_t *server,
			   const mt_server_request_t *request, mt_ms_t now,
			   mt_server_reply_t *reply);

/** Version of the server's tasks, for a RENEW that waits. */
uint64_t mt_fleet_model_version(const mt_fleet_model_t *fleet,
				const mt_name_t *server);

/** Ends what is due: runs, checkpoints and leases. */
void mt_fleet_model_advance(mt_fleet_model_t *fleet, mt_ms_t now);

mt_audit_t mt_fleet_model_audit(mt_fleet_model_t *fleet);

/** How many times the program of a job began; 0 for an unknown job. */
uint32_t mt_fleet_model_begins(const mt_fleet_model_t *fleet,
			       const mt_name_t *job);

#endif
