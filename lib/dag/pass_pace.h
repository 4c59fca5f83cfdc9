/**
 * @file pass_pace.h
 * Bounds the time of scheduling passes. Heartbeats, holds and answers wait for
 * a pass, as a host has one thread: a pass that took longer than its slice is
 * followed by passes with fewer candidates.
 */
#ifndef MT_DAG_PASS_PACE_H
#define MT_DAG_PASS_PACE_H

#include "kernel/kernel.h"

/** Bounds of mt_pass_pace_t.candidates_max. */
#define MT_PASS_CANDIDATES_MAX 2048u
#define MT_PASS_CANDIDATES_MIN 128u

/** Time after which a pass should be over. */
#define MT_PASS_SLICE_US 50000u

typedef struct mt_pass_pace_t {
	/** Maximum number of steps of a service that a pass plans. */
	unsigned candidates_max;
	uint64_t began_us;	  /**< begin of the present pass */
	uint64_t longest_us;	  /**< longest pass since it was last logged */
	mt_ms_t logged_at;	  /**< time of the last event; 0: none */
	unsigned n_steps_visited; /**< ready steps that the pass looked at */
	unsigned n_candidates;	  /**< steps that the pass planned */
} mt_pass_pace_t;

void mt_pass_pace_init(mt_pass_pace_t *pace);

/** Called at the begin of a pass, with the time of a steady clock. */
void mt_pass_pace_begin(mt_pass_pace_t *pace, uint64_t now_us);

/**
 * Called at the end of a pass: adapts `candidates_max`, and reports the time in
 * metrics and, if it exceeded the slice, in the event `pass_long`.
 */
void mt_pass_pace_end(mt_pass_pace_t *pace, mt_kernel_t *kernel,
		      uint64_t now_us);

#endif
