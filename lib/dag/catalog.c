/** @file catalog.c Queues, client accounts and their API keys. */
#include "dag/catalog.h"

#include <string.h>

void mt_queue_copy(mt_queue_t *to, const mt_queue_t *from)
{
	mt_queue_t copy = *from;

	copy.path_prefix = NULL;
	mt_shared_name_ref(copy.name);
	mt_shared_name_ref(copy.url_host);
	mt_shared_name_ref(copy.service);
	mt_queue_clear(to);
	*to = copy;
}

void mt_queue_clear(mt_queue_t *queue)
{
	mt_shared_name_clear(&queue->name);
	mt_shared_name_clear(&queue->url_host);
	mt_shared_name_clear(&queue->service);
	g_clear_pointer(&queue->path_prefix, g_free);
}

static void free_queue(gpointer data)
{
	mt_queue_t *queue = data;

	mt_queue_clear(queue);
	g_free(queue);
}

static void free_account(gpointer data)
{
	mt_client_account_t *account = data;

	mt_shared_name_clear(&account->name);
	g_ptr_array_unref(account->keys);
	g_free(account);
}

static void clear_service(gpointer data)
{
	mt_service_t *service = data;

	mt_shared_name_clear(&service->name);
}

mt_catalog_t *mt_catalog_new(uint64_t version)
{
	mt_catalog_t *catalog = g_new0(mt_catalog_t, 1);

	catalog->version = version;
	catalog->queues = g_ptr_array_new_with_free_func(free_queue);
	catalog->accounts = g_ptr_array_new_with_free_func(free_account);
	catalog->services = g_array_new(FALSE, TRUE, sizeof(mt_service_t));
	g_array_set_clear_func(catalog->services, clear_service);
	catalog->problems = g_ptr_array_new_with_free_func(g_free);
	catalog->accounts_by_key = g_hash_table_new(g_str_hash, g_str_equal);
	return catalog;
}

void mt_catalog_free(mt_catalog_t *catalog)
{
	if (!catalog)
		return;
	g_hash_table_destroy(catalog->accounts_by_key);
	g_ptr_array_unref(catalog->queues);
	g_ptr_array_unref(catalog->accounts);
	g_array_unref(catalog->services);
	g_ptr_array_unref(catalog->problems);
	g_free(catalog);
}

mt_queue_t *mt_catalog_add_queue(mt_catalog_t *catalog)
{
	mt_queue_t *queue = g_new0(mt_queue_t, 1);

	g_ptr_array_add(catalog->queues, queue);
	return queue;
}

mt_client_account_t *mt_catalog_add_account(mt_catalog_t *catalog)
{
	mt_client_account_t *account = g_new0(mt_client_account_t, 1);

	account->keys = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(catalog->accounts, account);
	return account;
}

void mt_catalog_add_key(mt_catalog_t *catalog, mt_client_account_t *account,
			const char *key)
{
	char *copy = g_strdup(key);

	g_ptr_array_add(account->keys, copy);
	g_hash_table_insert(catalog->accounts_by_key, copy, account);
}

static mt_str_t without_port(mt_str_t url_host)
{
	const char *colon = memchr(url_host.data, ':', url_host.len);

	if (url_host.len && colon)
		url_host.len = (size_t)(colon - url_host.data);
	return url_host;
}

static bool url_host_matches(const mt_queue_t *queue, mt_str_t url_host)
{
	return queue->url_host.len == url_host.len &&
	       !g_ascii_strncasecmp(mt_shared_name_text(queue->url_host),
				    url_host.data, url_host.len);
}

const mt_queue_t *mt_catalog_route(const mt_catalog_t *catalog,
				   mt_str_t url_host, mt_str_t path)
{
	const mt_queue_t *best = NULL;
	size_t best_len = 0;

	url_host = without_port(url_host);
	for (guint i = 0; i < catalog->queues->len; i++) {
		const mt_queue_t *queue = catalog->queues->pdata[i];
		size_t len = strlen(queue->path_prefix);

		if ((best && len <= best_len) ||
		    !url_host_matches(queue, url_host))
			continue;
		if (!mt_str_has_prefix(path, mt_str_from(queue->path_prefix)))
			continue;
		best = queue;
		best_len = len;
	}
	return best;
}

const mt_queue_t *mt_catalog_queue(const mt_catalog_t *catalog,
				   const char *name)
{
	for (guint i = 0; i < catalog->queues->len; i++) {
		const mt_queue_t *queue = catalog->queues->pdata[i];

		if (!strcmp(mt_shared_name_text(queue->name), name))
			return queue;
	}
	return NULL;
}

double mt_catalog_cold_per_s(const mt_catalog_t *catalog,
			     mt_shared_name_t service)
{
	for (guint i = 0; i < catalog->services->len; i++) {
		const mt_service_t *known =
			&g_array_index(catalog->services, mt_service_t, i);

		if (mt_shared_name_equal(known->name, service))
			return known->cold_per_s;
	}
	return 0;
}

const mt_client_account_t *mt_catalog_account(const mt_catalog_t *catalog,
					      const char *name)
{
	for (guint i = 0; i < catalog->accounts->len; i++) {
		const mt_client_account_t *account =
			catalog->accounts->pdata[i];

		if (!strcmp(mt_shared_name_text(account->name), name))
			return account;
	}
	return NULL;
}

const mt_client_account_t *
mt_catalog_account_of_key(const mt_catalog_t *catalog, mt_str_t key)
{
	const mt_client_account_t *account;
	char *text;

	if (!key.len)
		return NULL;
	text = g_strndup(key.data, key.len);
	account = g_hash_table_lookup(catalog->accounts_by_key, text);
	g_free(text);
	return account;
}
