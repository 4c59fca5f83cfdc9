/**
 * @file server_port.h
 * Interfaces from mimosaturnd to backend servers (mt_server_port_t) and to the
 * list of those servers (mt_server_list_port_t). Specified in docs/PLATFORM.md,
 * "Backend server".
 *
 * Two things are called a lease. The lease on a server (LEASE) is the right of
 * one host to command it. It has no time limit: the next holder takes it by
 * raising the fencing token. The lease of a task (START, RENEW) is a time
 * limit: the server stops a task whose lease expires. Commands carry the boot
 * id of the server and the fencing token, so that a server rejects commands
 * that were meant for its previous process or come from an earlier holder.
 */
#ifndef MT_NET_SERVER_PORT_H
#define MT_NET_SERVER_PORT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/name.h"

typedef enum mt_server_op_t {
	MT_SERVER_LEASE, /**< raise the token from `expect` to `token` */
	MT_SERVER_RENEW, /**< renew task leases, report changes of the tasks */
	MT_SERVER_START, /**< create a task, either held or running */
	MT_SERVER_RELEASE,    /**< let a held task run */
	MT_SERVER_CHECKPOINT, /**< save the progress of a task, then stop it */
	MT_SERVER_STOP,	      /**< stop a task */
	MT_SERVER_RESULT,     /**< fetch the result of a finished task */
	MT_SERVER_FORGET,     /**< delete an ended task */
	MT_SERVER_OP_COUNT
} mt_server_op_t;

typedef enum mt_task_state_t {
	MT_TASK_HELD, /**< created, but not begun before its RELEASE */
	MT_TASK_RUNNING,
	MT_TASK_FINISHED,
	MT_TASK_FAILED,
	MT_TASK_STOPPED,
	MT_TASK_CHECKPOINTED,
	MT_TASK_LEASE_EXPIRED, /**< stopped by the server at its lease's end */
	MT_TASK_STATE_COUNT
} mt_task_state_t;

/** Why a task failed. */
typedef enum mt_task_fault_t {
	MT_FAULT_NONE,
	MT_FAULT_EXIT,		  /**< the program exited with an error */
	MT_FAULT_MEMORY_EXCEEDED, /**< stopped for using more memory than
				     declared */
	MT_FAULT_COUNT
} mt_task_fault_t;

/** The part of a job that runs on one server, as a single task there. */
typedef struct mt_task_spec_t {
	mt_name_t task;
	mt_name_t job;	  /**< job id in hexadecimal */
	uint32_t servers; /**< number of servers that run the job */
	uint32_t members; /**< gang members on this server */
	/* Totals of all members on this server. */
	uint32_t processors;
	uint32_t memory_mb;
	uint32_t accelerators;
	bool held;   /**< do not begin before RELEASE */
	bool resume; /**< continue from the last checkpoint, if any */
	GBytes *payload;
} mt_task_spec_t;

typedef struct mt_server_request_t {
	mt_server_op_t op;
	mt_name_t boot;	   /**< boot id of the server; not sent with LEASE */
	mt_name_t holder;  /**< LEASE: id of the host process that becomes the
			      lease holder (Hello.incarnation) */
	uint64_t token;	   /**< fencing token; with LEASE the new one */
	uint64_t expect;   /**< LEASE: token to be replaced */
	uint64_t sequence; /**< increases with each command sent under the same
			      token */
	mt_name_t task;	   /**< all commands but LEASE, RENEW and START */
	mt_task_spec_t start; /**< START */
	GArray *skip;	      /**< RENEW: tasks (mt_name_t) not to renew */
	uint32_t term_ms; /**< START, RENEW: duration of the task lease, also
			     named term_ms on the wire */
	uint64_t seen;	  /**< RENEW: version of the last report received */
	uint32_t wait_ms; /**< RENEW: longest wait for a newer report */
} mt_server_request_t;

typedef enum mt_reply_status_t {
	MT_REPLY_OK,
	MT_REPLY_STALE,	  /**< not done: the token or boot id in the request is
			     not that of the server, which the reply states */
	MT_REPLY_REFUSED, /**< not done for the `reason` in the reply */
	MT_REPLY_UNKNOWN, /**< no usable response; it may have been done */
} mt_reply_status_t;

typedef struct mt_task_report_t {
	mt_name_t task;
	mt_name_t job;
	mt_task_state_t state;
	mt_task_fault_t fault;
	bool began;	  /**< its program has been started */
	uint32_t servers; /**< `servers` to `accelerators`: see
			     mt_task_spec_t */
	uint32_t members;
	uint32_t processors;
	uint32_t memory_mb;
	uint32_t accelerators;
	uint32_t used_memory_mb; /**< measured; may be out of date */
	uint32_t ran_ms; /**< time since its program was started; that of
			    finished tasks is used to estimate the run
			    times of later jobs */
} mt_task_report_t;

typedef struct mt_server_reply_t {
	mt_reply_status_t status;
	mt_name_t boot;	  /**< boot id of the server */
	uint64_t token;	  /**< the server's fencing token */
	uint64_t version; /**< increases with each change of a task */
	bool leaving;	  /**< the server is draining: start no tasks there */
	char *reason;	  /**< REFUSED; may be NULL */
	GArray *tasks;	  /**< LEASE, RENEW: mt_task_report_t; else NULL */
	/* `state` and `began` are those of the task after the command. */
	mt_task_state_t state;
	bool began;	/**< its program has been started */
	GBytes *result; /**< RESULT; its length and digest were verified */
} mt_server_reply_t;

/** @param reply valid during the callback only */
typedef void (*mt_server_cb)(void *ctx, const mt_server_reply_t *reply);

/** Address, location and resources of a backend server. */
typedef struct mt_server_info_t {
	mt_name_t id;
	mt_name_t dc;
	uint32_t rack; /**< position; neighbouring racks differ by 1 */
	mt_name_t address;
	uint16_t port;
	uint32_t processors;
	uint32_t memory_mb;
	uint32_t accelerators;
	uint32_t slots; /**< maximum number of members that run at once */
	bool leaving;	/**< the server is draining: start no tasks there */
} mt_server_info_t;

typedef struct mt_server_port_t {
	void *self;
	void (*call)(void *self, const mt_server_info_t *server,
		     const mt_server_request_t *request, mt_server_cb cb,
		     void *ctx);
} mt_server_port_t;

/** @param servers of mt_server_info_t; NULL without a usable response */
typedef void (*mt_server_list_cb)(void *ctx, GArray *servers);

/** The list of backend servers, called "hosts" by the platform (/v1/hosts). */
typedef struct mt_server_list_port_t {
	void *self;
	void (*fetch)(void *self, mt_server_list_cb cb, void *ctx);
} mt_server_list_port_t;

/** Frees the contents of the reply, but not the reply itself. */
void mt_server_reply_clear(mt_server_reply_t *reply);

const char *mt_task_state_name(mt_task_state_t state);

/** True if a task never leaves the state. */
bool mt_task_state_is_final(mt_task_state_t state);

#endif
