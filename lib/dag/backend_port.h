/**
 * @file backend_port.h
 * Interface for commands to backend servers. `start` starts a run of a task,
 * `stop` ends one. `hold` renews the leases of all runs on the server and
 * returns its running and ended runs; it serves as heartbeat and long poll.
 */
#ifndef MT_DAG_BACKEND_PORT_H
#define MT_DAG_BACKEND_PORT_H

#include "kernel/name.h"
#include "kernel/timers.h"

/** Identifies one task of one occurrence of a job. */
typedef struct mt_task_key_t {
	uint64_t job;
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
} mt_task_key_t;

typedef enum mt_command_result_t {
	MT_COMMAND_DONE,
	MT_COMMAND_FENCED,	/**< the server has seen a higher term */
	MT_COMMAND_STALE_RUN,	/**< this run or a later one ended there */
	MT_COMMAND_LEASE_OVER,	/**< the requested lease has already expired */
	MT_COMMAND_NO_ROOM,	/**< the task does not fit */
	MT_COMMAND_NO_TICKET,	/**< the step's ticket is missing or too old */
	MT_COMMAND_REJECTED,	/**< the request is malformed */
	MT_COMMAND_UNAVAILABLE, /**< the server is unhealthy; nothing was done
				 */
	MT_COMMAND_RESTARTED,	/**< another instance answers at this address */
	MT_COMMAND_NOT_SENT,	/**< no connection; nothing was done */
	MT_COMMAND_UNKNOWN,	/**< no answer; it may have been carried out */
} mt_command_result_t;

/** Why a run ended. */
typedef enum mt_end_reason_t {
	MT_END_DONE,
	MT_END_FAILED,
	MT_END_STOPPED,
	MT_END_LEASE_EXPIRED,
	MT_END_GANG_BROKEN,	/**< another member of the gang ended */
	MT_END_GANG_INCOMPLETE, /**< not all members were started in time */
} mt_end_reason_t;

typedef struct mt_active_run_t {
	mt_task_key_t task;
	uint32_t run;
	mt_str_t checkpoint;
	uint32_t percent;
} mt_active_run_t;

typedef struct mt_ended_run_t {
	uint64_t number; /**< increases until the server restarts */
	mt_task_key_t task;
	uint32_t run;
	mt_end_reason_t end;
	mt_str_t checkpoint;
} mt_ended_run_t;

/** Answer to a command; the lists are filled in by `hold` only. */
typedef struct mt_backend_answer_t {
	mt_command_result_t result;
	uint64_t clock_ms; /**< the server's monotonic clock; 0: not reported */
	int64_t born_ms;   /**< Unix time of its restart; 0: not reported */
	const mt_active_run_t *running;
	size_t n_running;
	const mt_ended_run_t *ended;
	size_t n_ended;
} mt_backend_answer_t;

typedef void (*mt_backend_cb)(void *ctx, const mt_backend_answer_t *answer);

/** Address of a server, and the instance that is expected there. */
typedef struct mt_backend_target_t {
	mt_name_t id; /**< sent along; another instance refuses the command */
	mt_name_t address;
	uint16_t port;
} mt_backend_target_t;

typedef struct mt_start_command_t {
	mt_task_key_t task;
	uint32_t run;
	uint64_t term;
	uint64_t due_ms; /**< end of the lease on the server's clock */
	const char *payload;
	const char *checkpoint; /**< NULL or empty: none */
	const char *ticket;	/**< NULL: none */
} mt_start_command_t;

typedef struct mt_stop_command_t {
	mt_task_key_t task;
	uint32_t run;
	uint64_t term;
} mt_stop_command_t;

typedef struct mt_hold_command_t {
	uint64_t term;
	uint64_t last_seen; /**< ended runs up to this number may be deleted */
	uint64_t due_ms;    /**< new end of all leases; 0: do not renew */
	mt_ms_t wait_ms;    /**< the answer may be delayed until a run ends */
} mt_hold_command_t;

/** No callback is called before the function that it was passed to returns. */
typedef struct mt_backend_port_t {
	void *self;
	void (*start)(void *self, const mt_backend_target_t *target,
		      const mt_start_command_t *command, mt_backend_cb cb,
		      void *ctx);
	void (*stop)(void *self, const mt_backend_target_t *target,
		     const mt_stop_command_t *command, mt_backend_cb cb,
		     void *ctx);
	void (*hold)(void *self, const mt_backend_target_t *target,
		     const mt_hold_command_t *command, mt_backend_cb cb,
		     void *ctx);
} mt_backend_port_t;

#endif
