/**
 * @file backend_port.h
 * Interface for commands to backend servers. `start` starts a run, that is one
 * execution of a task; `stop` ends a run. A server ends a run itself when the
 * run's lease expires. `hold` can renew the leases of all runs on the server.
 * The answer to a hold contains the active and the ended runs. Holds also serve
 * as heartbeats and as long polls.
 */
#ifndef MT_DAG_BACKEND_PORT_H
#define MT_DAG_BACKEND_PORT_H

#include "kernel/shared_name.h"
#include "kernel/timers.h"

/** How a client writes a job id that has capital letters. */
typedef struct mt_job_spelling_t {
	uint64_t digits; /**< value of the hexadecimal digits */
	/** Bit i is set if digit i, counted from the left, is a capital letter.
	 * 0: the id has none, and is its own value. */
	uint16_t capitals;
} mt_job_spelling_t;

/** Identifies one task of one occurrence (repetition) of a job. */
typedef struct mt_task_key_t {
	uint64_t job;
	uint32_t occurrence;
	uint32_t step;	/**< index of the step in the job */
	uint32_t index; /**< index of the task in the step */
	/** For messages to servers; follows from `job`, and is not compared. */
	mt_job_spelling_t spelling;
} mt_task_key_t;

/**
 * Result of a command. Some of the values also serve as results of requests to
 * the policy service, see mt_advice_answer_t.
 */
typedef enum mt_command_result_t {
	MT_COMMAND_DONE,
	/** The server has seen a command of a higher term. */
	MT_COMMAND_FENCED,
	/** On the server, this run or a later run of the task has ended or was
	 * stopped before it began. */
	MT_COMMAND_STALE_RUN,
	/** The requested end of the lease has already passed. */
	MT_COMMAND_LEASE_OVER,
	/** The server does not have enough free resources for the task. */
	MT_COMMAND_NO_ROOM,
	/** The policy service's ticket is missing or too old, see advice.h. */
	MT_COMMAND_NO_TICKET,
	/** The request is malformed. */
	MT_COMMAND_REJECTED,
	/** No commands are accepted at present; nothing was done. */
	MT_COMMAND_UNAVAILABLE,
	/** A server with another id than mt_backend_target_t.id answers at this
	 * address; nothing was done. */
	MT_COMMAND_WRONG_SERVER,
	/** There was no connection; nothing was done. */
	MT_COMMAND_NOT_SENT,
	/** There was no answer; the command may have been carried out. */
	MT_COMMAND_UNKNOWN,
} mt_command_result_t;

/** Why a run ended. The event run_ended contains it as a number. */
typedef enum mt_end_reason_t {
	MT_END_DONE,
	MT_END_FAILED,
	MT_END_STOPPED,
	MT_END_LEASE_EXPIRED,
	/* The tasks of a gang begin their work only when all of them have been
	 * started. The servers ensure this among themselves, and end the tasks
	 * of a gang with one of the next two reasons. */
	/** Another task of the gang ended, and so this one was ended, too. */
	MT_END_GANG_BROKEN,
	/** Not all tasks of the gang were started within the servers' time-out.
	 * The servers set this time-out, and the scheduler does not know it.
	 * (The simulated servers in tests/fleet use 3 s.) The scheduler has a
	 * time-out of its own, GANG_START_TIMEOUT_MS in commands.c. */
	MT_END_GANG_INCOMPLETE,
} mt_end_reason_t;

/** An active run: one that is in progress on the server. */
typedef struct mt_active_run_t {
	mt_task_key_t task;
	uint32_t run;	     /**< number of the run, counted per task */
	mt_str_t checkpoint; /**< newest checkpoint; empty: none */
	uint32_t percent;    /**< percentage of the run's work that is done */
} mt_active_run_t;

/** A run that has ended; reported until a `hold` permits its deletion. */
typedef struct mt_ended_run_t {
	/** The server numbers its ended runs in increasing order, and starts
	 * anew after a restart. */
	uint64_t number;
	mt_task_key_t task;
	uint32_t run;
	mt_end_reason_t reason;
	mt_str_t checkpoint; /**< last checkpoint; empty: none */
} mt_ended_run_t;

/** Answer to a command. Only answers to `hold` contain runs. */
typedef struct mt_backend_answer_t {
	mt_command_result_t result;
	uint64_t clock_ms; /**< the server's monotonic clock; 0: not reported */
	/** Unix time at which the server process started; 0: not reported. */
	int64_t born_ms;
	const mt_active_run_t *active_runs;
	size_t n_active_runs;
	const mt_ended_run_t *ended;
	size_t n_ended;
	/** The server may have further runs that the answer does not list. */
	bool runs_missing;
} mt_backend_answer_t;

typedef void (*mt_backend_cb)(void *ctx, const mt_backend_answer_t *answer);

/** Address of a server, and the id of the server expected there. */
typedef struct mt_backend_target_t {
	/** Sent with each command; a server with another id refuses it. */
	mt_shared_name_t id;
	mt_name_t address;
	/** 0: the address is not known yet. So far, the server was found only
	 * in a progress record and not in the platform's list. */
	uint16_t port;
} mt_backend_target_t;

typedef struct mt_start_command_t {
	mt_task_key_t task;
	uint32_t run;
	uint64_t term; /**< term of this leader, as in all commands */
	/** End of the run's lease, by the server's clock. */
	uint64_t due_ms;
	const char *payload;
	/** Checkpoint to resume from; NULL or empty: none. */
	const char *checkpoint;
	/** Ticket issued by the policy service; NULL: none. */
	const char *ticket;
} mt_start_command_t;

typedef struct mt_stop_command_t {
	mt_task_key_t task;
	uint32_t run;
	uint64_t term;
} mt_stop_command_t;

typedef struct mt_hold_command_t {
	uint64_t term;
	/** The server may delete its ended runs with numbers up to this one, as
	 * their effects are in the store. */
	uint64_t last_seen;
	/** New end of all leases, by the server's clock; 0: do not renew. */
	uint64_t due_ms;
	/** Timeout of the long poll: the server answers when a run ends, at
	 * the latest after this time; 0: it answers at once. */
	mt_ms_t wait_ms;
} mt_hold_command_t;

/** `cb` is never called before the function that received it has returned. */
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
