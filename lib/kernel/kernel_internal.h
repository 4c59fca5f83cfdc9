/**
 * @file kernel_internal.h
 * Internal interface of lib/kernel: the kernel and its log (log.c).
 */
#ifndef MT_KERNEL_KERNEL_INTERNAL_H
#define MT_KERNEL_KERNEL_INTERNAL_H

#include "kernel/kernel.h"
#include "kernel/log_output.h"

typedef struct mt_kernel_log_t mt_kernel_log_t;

struct mt_kernel_t {
	mt_timers_t *timers;
	GRand *rand;
	GHashTable *services;
	GHashTable *counters;
	/** Message log and events; messages change it, also of a const kernel.
	 */
	mt_kernel_log_t *log;
	mt_breach_cb on_breach;
	void *breach_ctx;
};

mt_kernel_log_t *mt_kernel_log_new(const char *name, mt_timers_t *timers);

/** Writes what is still to be summed up, and frees the log. */
void mt_kernel_log_free(mt_kernel_log_t *log);

/**
 * Writes a message, see mt_log().
 * @param kind the same for messages that repeat each other
 */
void mt_kernel_log_message(mt_kernel_log_t *log, mt_log_level_t level,
			   const char *component, const char *kind,
			   const char *format, ...) G_GNUC_PRINTF(5, 6);

#endif
