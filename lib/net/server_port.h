/**
 * @file server_port.h
 * What the product needs from a backend server: tasks under leases, fenced
 * by (boot, token). Contract: docs/PLATFORM.md, "Backend server".
 */
#ifndef MT_NET_SERVER_PORT_H
#define MT_NET_SERVER_PORT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/name.h"

typedef enum mt_server_op_t {
	MT_SERVER_LEASE,      /**< raise the token from `expect` to `token` */
	MT_SERVER_RENEW,      /**< renew leases, report tasks if changed */
	MT_SERVER_START,      /**< create a task, held or running */
	MT_SERVER_RELEASE,    /**< let a held task run */
	MT_SERVER_CHECKPOINT, /**< save its progress, then stop it */
	MT_SERVER_STOP,	      /**< stop a task */
	MT_SERVER_RESULT,     /**< fetch the result of a finished task */
	MT_SERVER_FORGET,     /**< drop an ended task for good */
	MT_SERVER_OPS
} mt_server_op_t;

typedef enum mt_task_state_t {
	MT_TASK_HELD,
	MT_TASK_RUNNING,
	MT_TASK_FINISHED,
	MT_TASK_FAILED,
	MT_TASK_STOPPED,
	MT_TASK_CHECKPOINTED,
	MT_TASK_LEASE_EXPIRED, /**< its lease ran out and the server stopped it
				*/
	MT_TASK_STATES
} mt_task_state_t;

/** Why a task failed. */
typedef enum mt_task_fault_t {
	MT_FAULT_NONE,
	MT_FAULT_EXIT,		 /**< the program ended with an error */
	MT_FAULT_LIMIT_EXCEEDED, /**< stopped for exceeding what was declared */
	MT_FAULTS
} mt_task_fault_t;

/** One server's part of a job: `members` gang members side by side. */
typedef struct mt_task_spec_t {
	mt_name_t task;
	mt_name_t job;	     /**< job id in hexadecimal */
	uint32_t servers;    /**< servers that share the job */
	uint32_t members;    /**< members on this server */
	uint32_t processors; /**< for all members here, as the next two */
	uint32_t memory_mb;
	uint32_t accelerators;
	bool held;
	bool resume; /**< go on from the job's last checkpoint, if any */
	GBytes *payload;
} mt_task_spec_t;

typedef struct mt_server_request_t {
	mt_server_op_t op;
	mt_name_t boot;	  /**< boot id of the server; not for LEASE */
	mt_name_t holder; /**< LEASE: who asks */
	uint64_t token;
	uint64_t expect;   /**< LEASE: token that is to be replaced */
	uint64_t sequence; /**< rises with each command of one token */
	mt_name_t task;
	mt_task_spec_t start; /**< START */
	GArray *skip;	      /**< RENEW: mt_name_t of tasks not to renew */
	uint32_t term_ms;     /**< lease term; START, RENEW */
	uint64_t seen;	      /**< RENEW: version already reported */
	uint32_t wait_ms;     /**< RENEW: wait so long for a newer version */
} mt_server_request_t;

typedef enum mt_reply_status_t {
	MT_REPLY_OK,
	MT_REPLY_STALE,	  /**< fenced: not done; `token` is the current one */
	MT_REPLY_REFUSED, /**< not done, for `reason` */
	MT_REPLY_UNKNOWN, /**< no usable answer; it may have been done */
} mt_reply_status_t;

typedef struct mt_task_report_t {
	mt_name_t task;
	mt_name_t job;
	mt_task_state_t state;
	mt_task_fault_t fault;
	bool began; /**< its program has run at least for an instant */
	uint32_t servers;
	uint32_t members;
	uint32_t processors;
	uint32_t memory_mb;
	uint32_t accelerators;
	uint32_t used_memory_mb; /**< measured; lags */
	uint32_t ran_ms;	 /**< time since its release */
} mt_task_report_t;

typedef struct mt_server_reply_t {
	mt_reply_status_t status;
	mt_name_t boot;
	uint64_t token;
	uint64_t version; /**< rises with each change of a task */
	bool leaving;
	char *reason;	       /**< REFUSED; may be NULL */
	GArray *tasks;	       /**< LEASE, RENEW: mt_task_report_t; else NULL */
	mt_task_state_t state; /**< commands: state of the task afterwards */
	bool began;
	GBytes *result; /**< RESULT: whole, its digest already checked */
} mt_server_reply_t;

/** The reply is freed by the port after the callback. */
typedef void (*mt_server_cb)(void *ctx, const mt_server_reply_t *reply);

/** Where a backend server is and what it has. */
typedef struct mt_server_info_t {
	mt_name_t id;
	mt_name_t dc;
	uint32_t rack; /**< position of the rack; neighbours differ by 1 */
	mt_name_t address;
	uint16_t port;
	uint32_t processors;
	uint32_t memory_mb;
	uint32_t accelerators;
	uint32_t slots;
	bool leaving;
} mt_server_info_t;

typedef struct mt_server_port_t {
	void *self;
	void (*call)(void *self, const mt_server_info_t *server,
		     const mt_server_request_t *request, mt_server_cb cb,
		     void *ctx);
} mt_server_port_t;

/** `servers` (mt_server_info_t) is NULL when no usable answer came. */
typedef void (*mt_hosts_cb)(void *ctx, GArray *servers);

typedef struct mt_hosts_port_t {
	void *self;
	void (*fetch)(void *self, mt_hosts_cb cb, void *ctx);
} mt_hosts_port_t;

/** Frees what the reply owns, not the reply itself. */
void mt_server_reply_clear(mt_server_reply_t *reply);

const char *mt_task_state_name(mt_task_state_t state);

/** True for the states that a task does not leave again. */
bool mt_task_state_is_final(mt_task_state_t state);

#endif
