/**
 * @file evacuations.h
 * A mt_evacuations_t reads which data centres are evacuated: no task may be
 * started on their servers. An operator evacuates a data centre by a record in
 * a topic of the store, and ends the evacuation by deleting it. The topic is
 * read only between mt_evacuations_open() and mt_evacuations_close().
 */
#ifndef MT_DAG_EVACUATIONS_H
#define MT_DAG_EVACUATIONS_H

#include "dag/store_port.h"
#include "kernel/kernel.h"

/** Format of the records; filled in by the platform adapter. */
typedef struct mt_evacuations_format_t {
	const char *topic;
	/** The key of a record is this prefix and the name of the data centre;
	 * records with other keys are ignored. The value has no meaning. */
	const char *key_prefix;
} mt_evacuations_format_t;

typedef struct mt_evacuations_t mt_evacuations_t;

/**
 * @param format must outlive the returned object
 * @param evacuation_ms within this time after the store has acknowledged a
 * record, starts in the data centre must end; above 0
 */
mt_evacuations_t *mt_evacuations_new(mt_kernel_t *kernel,
				     const mt_store_port_t *store,
				     const mt_evacuations_format_t *format,
				     mt_ms_t evacuation_ms);

/** Starts to read the topic; nothing of an earlier reading is kept. */
void mt_evacuations_open(mt_evacuations_t *evacuations);
void mt_evacuations_close(mt_evacuations_t *evacuations);

/** Closes the evacuations and frees them. */
void mt_evacuations_free(mt_evacuations_t *evacuations);

/** True once all records have been read since mt_evacuations_open(). */
bool mt_evacuations_are_known(const mt_evacuations_t *evacuations);

/**
 * True if a start that is sent now reaches its server within `evacuation_ms`
 * after any record that has not been read yet.
 */
bool mt_evacuations_are_fresh(const mt_evacuations_t *evacuations);

/** True if the data centre is evacuated, as far as read. */
bool mt_evacuations_contain(const mt_evacuations_t *evacuations,
			    mt_shared_name_t zone);

/**
 * The set of evacuated data centres, by name (shared_name.h). Valid until the
 * next record is read; empty while closed.
 */
GHashTable *mt_evacuations_zones(const mt_evacuations_t *evacuations);

#endif
