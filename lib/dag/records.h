/**
 * @file records.h
 * Keys and values of the records that the system keeps in the store. One
 * topic holds all of them, so that they have one order.
 */
#ifndef MT_DAG_RECORDS_H
#define MT_DAG_RECORDS_H

#include "dag/dag.pb-c.h"
#include "kernel/name.h"

/** The topic of all records of the system. */
#define MT_RECORDS_TOPIC "keyed.mimosaturn"

/** Producer name of whoever schedules; its epoch is the leader's term. */
#define MT_SCHEDULER_PRODUCER "scheduler"

typedef enum mt_record_kind_t {
	MT_RECORD_JOB = 'a',	  /**< an accepted job */
	MT_RECORD_CANCEL = 'c',	  /**< its cancellation */
	MT_RECORD_PROGRESS = 'p', /**< its progress, by the leader */
	MT_RECORD_LEADER = 'l',	  /**< who schedules */
	MT_RECORD_HOST = 'h',	  /**< an entry host and its size */
} mt_record_kind_t;

/** Hexadecimal digits of a job's id. */
#define MT_JOB_ID_DIGITS 16

typedef struct mt_record_key_t {
	char text[MT_JOB_ID_DIGITS + 2];
} mt_record_key_t;

/** Key of a record; `job` is ignored for MT_RECORD_LEADER. */
mt_record_key_t mt_record_key(mt_record_kind_t kind, uint64_t job);

/** Key of the record of an entry host. */
mt_record_key_t mt_record_host_key(const mt_name_t *host);

/** @return false when the key is none of the system's */
bool mt_record_parse_key(mt_str_t key, mt_record_kind_t *kind, uint64_t *job);

/** Reads an id of exactly MT_JOB_ID_DIGITS lower-case hexadecimal digits. */
bool mt_job_id_from(mt_str_t text, uint64_t *id);

/** Packed message, to be freed with g_bytes_unref(). */
GBytes *mt_dag_pack(const ProtobufCMessage *message);

/** View of the bytes. */
mt_str_t mt_bytes_view(GBytes *bytes);

#endif
