/** @file scenario.h Scenarios of the review, and what they are played with. */
#ifndef REVIEW_SCENARIO_H
#define REVIEW_SCENARIO_H

#include "standin.h"

/** The answer to a call of a client. */
typedef struct reply_t {
	bool sent;
	bool done;
	int status; /**< 0: no answer */
	mt_ms_t done_at;
	char body[128];
} reply_t;

typedef struct scenario_t {
	const char *name;
	unsigned base;
	unsigned n_hosts;
	bool trouble;
	unsigned n_workers;
	unsigned worker_cpu;
	worker_t *workers[MAX_WORKERS];
	void (*play)(void); /**< called every few ms */
} scenario_t;

extern scenario_t scenario;

/** Sets the rest of `scenario`; false if there is none of this name. */
bool scenario_find(const char *name);

/** Sends a call of a client to a host; `reply` must stay valid. */
void call_host(unsigned host, const char *method, const char *path,
	       const char *body, reply_t *reply);
/** Puts a desired state; `route` is the name of a further route, or NULL. */
void put_config(unsigned version, const char *route);
bool hosts_are_ready(void);
/** Index of the host that leads, by the system's own record in the store. */
int leading_host(void);
void finish(int status, const char *why) G_GNUC_NORETURN;

#endif
