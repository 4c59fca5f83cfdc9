/**
 * @file fake_topic.h
 * A store with one topic, whatever its name. It answers calls only when the
 * test tells it to, and then like the platform's store: snapshots omit deleted
 * keys, and reads at the end of the topic wait.
 */
#ifndef MT_TESTS_FAKE_TOPIC_H
#define MT_TESTS_FAKE_TOPIC_H

#include <glib.h>

#include "dag/store_port.h"

typedef struct mt_fake_topic_t {
	mt_store_port_t port;
	GArray *records;     /**< mt_fake_topic_record_t, by offset */
	GArray *calls;	     /**< pending calls, oldest first */
	size_t page_records; /**< maximum number of records of a page */
	unsigned snapshots;  /**< calls of newest() so far */
} mt_fake_topic_t;

/** Appends are not supported. */
void mt_fake_topic_open(mt_fake_topic_t *topic);

/** Refuses the pending calls. Their owners must have been stopped before. */
void mt_fake_topic_close(mt_fake_topic_t *topic);

/** Appends a record; an empty value deletes the key. */
void mt_fake_topic_put(mt_fake_topic_t *topic, const char *key,
		       const char *value);

/** Answers calls until only reads at the end of the topic are pending. */
void mt_fake_topic_answer(mt_fake_topic_t *topic);

/** Answers the oldest call, also a read at the end of the topic. */
void mt_fake_topic_answer_one(mt_fake_topic_t *topic);

/** Answers the pending calls with a failure. */
void mt_fake_topic_fail(mt_fake_topic_t *topic, mt_store_result_t result);

#endif
