/** @file list_store.c A store that a test answers. */
#include "unit/list_store.h"

static void keep_newest(void *self, const char *topic, mt_str_t after_key,
			mt_ms_t timeout_ms, mt_store_page_cb cb, void *ctx)
{
	mt_list_store_t *store = self;

	store->cb = cb;
	store->ctx = ctx;
}

static void keep_read(void *self, const char *topic, uint64_t from,
		      mt_ms_t wait_ms, mt_ms_t timeout_ms, mt_store_page_cb cb,
		      void *ctx)
{
	keep_newest(self, topic, (mt_str_t){0}, timeout_ms, cb, ctx);
}

void mt_list_store_init(mt_list_store_t *store)
{
	*store = (mt_list_store_t){
		{store, NULL, keep_read, keep_newest, 0, 0}, NULL, NULL};
}

void mt_list_store_answer(mt_list_store_t *store, const mt_store_page_t *page)
{
	store->cb(store->ctx, page);
}

void mt_list_store_close(mt_list_store_t *store)
{
	mt_store_page_t refused = {.result = MT_STORE_REFUSED};

	mt_list_store_answer(store, &refused);
}
