/**
 * @file list_store.h
 * A store for tests of readers: it keeps the callback of the last call, which
 * the test answers with pages of its own.
 */
#ifndef MT_UNIT_LIST_STORE_H
#define MT_UNIT_LIST_STORE_H

#include "dag/store_port.h"

typedef struct mt_list_store_t {
	mt_store_port_t port;
	mt_store_page_cb cb; /**< of the call that has no answer yet */
	void *ctx;
} mt_list_store_t;

void mt_list_store_init(mt_list_store_t *store);

/** Answers the pending call. */
void mt_list_store_answer(mt_list_store_t *store, const mt_store_page_t *page);

/** Refuses the pending call of a reader that is gone. */
void mt_list_store_close(mt_list_store_t *store);

#endif
