/**
 * @file records.h
 * Keys and values of the records that Mimosaturn keeps in the store. A single
 * topic holds all of them, which gives them a total order.
 */
#ifndef MT_DAG_RECORDS_H
#define MT_DAG_RECORDS_H

#include "dag/dag.pb-c.h"
#include "kernel/name.h"

/** Topic of all records of Mimosaturn. */
#define MT_RECORDS_TOPIC "keyed.mimosaturn"

/** Producer name of the leading scheduler; its epoch is the term. */
#define MT_SCHEDULER_PRODUCER "scheduler"

/** First character of a record's key. */
typedef enum mt_record_kind_t {
	MT_RECORD_JOB = 'a',	  /**< an accepted job */
	MT_RECORD_CANCEL = 'c',	  /**< its cancellation */
	MT_RECORD_PROGRESS = 'p', /**< its progress, written by the leader */
	MT_RECORD_LEADER = 'l',	  /**< claim or release of the leadership */
	MT_RECORD_HOST = 'h',	  /**< an entry host and its size in cores */
} mt_record_kind_t;

/** Hexadecimal digits of a job id. */
#define MT_JOB_ID_DIGITS 16

typedef struct mt_record_key_t {
	char text[MT_JOB_ID_DIGITS + 2];
} mt_record_key_t;

/** Makes the key of a record; `job` is ignored for MT_RECORD_LEADER. */
mt_record_key_t mt_record_key(mt_record_kind_t kind, uint64_t job);

/** Makes the key of an entry host's record, from a hash of its name. */
mt_record_key_t mt_record_host_key(const mt_name_t *host);

/**
 * Splits a key. `job` receives the hash of the name for MT_RECORD_HOST.
 * @return false when this is no key of a record of Mimosaturn
 */
bool mt_record_parse_key(mt_str_t key, mt_record_kind_t *kind, uint64_t *job);

/** Parses an id of exactly MT_JOB_ID_DIGITS lower-case hexadecimal digits. */
bool mt_record_parse_job_id(mt_str_t text, uint64_t *id);

/** Serializes a message; the result is freed with g_bytes_unref(). */
GBytes *mt_dag_pack(const ProtobufCMessage *message);

/** Returns a view that is valid as long as `bytes`. */
mt_str_t mt_bytes_view(GBytes *bytes);

#endif
