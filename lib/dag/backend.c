/** @file backend.c Clock estimate and lease expiry of one backend server. */
#include "dag/backend.h"

#include <string.h>

/**
 * A server's clock may run slower than the local one by this fraction. Leases
 * end by the server's clock, and so may last longer by local time.
 */
#define CLOCK_DRIFT_PERMILLE 25u

/**
 * Added to the expiry of leases, as a server's timers may fire late, and as the
 * local times used in the calculation may have been read later or earlier than
 * the events that they stand for. For example, if the time stored with a
 * reading of the server's clock precedes the reading, mt_backend_clock() is too
 * high, and so is the requested end of a lease, which is calculated from it. A
 * mere delay of the reading on its way needs no margin: the estimate is then
 * too low, and the lease ends earlier.
 */
#define LEASE_MARGIN_MS 300u

void mt_backend_info_assign(mt_backend_info_t *to,
			    const mt_backend_info_t *from)
{
	mt_backend_info_t old = *to;

	*to = *from;
	mt_shared_name_ref(to->target.id);
	mt_shared_name_ref(to->service);
	mt_shared_name_ref(to->zone);
	if (to->labels)
		g_array_ref(to->labels);
	mt_backend_info_clear(&old);
}

void mt_backend_info_clear(mt_backend_info_t *info)
{
	mt_shared_name_clear(&info->target.id);
	mt_shared_name_clear(&info->service);
	mt_shared_name_clear(&info->zone);
	g_clear_pointer(&info->labels, g_array_unref);
}

void mt_backend_info_add_label(mt_backend_info_t *info, GQuark label)
{
	if (!info->labels)
		info->labels = g_array_new(FALSE, FALSE, sizeof(GQuark));
	g_array_append_val(info->labels, label);
}

/** Frees `log_name`, unless it is the text of the id. */
static void free_log_name(mt_backend_t *backend)
{
	if (backend->log_name != backend->info.target.id.text)
		g_free(backend->log_name);
}

mt_backend_t *mt_backend_new(uint64_t id_hash)
{
	mt_backend_t *backend = g_new0(mt_backend_t, 1);

	backend->id_hash = id_hash;
	backend->log_name =
		g_strdup_printf("#%016" G_GINT64_MODIFIER "x", id_hash);
	backend->tasks = g_ptr_array_new();
	return backend;
}

void mt_backend_free(mt_backend_t *backend)
{
	g_ptr_array_unref(backend->tasks);
	free_log_name(backend);
	mt_backend_info_clear(&backend->info);
	g_free(backend);
}

void mt_backend_set_id(mt_backend_t *backend, mt_shared_name_t id)
{
	char *printable = mt_text_printable(mt_shared_name_text(id));

	free_log_name(backend);
	mt_shared_name_assign(&backend->info.target.id, id);
	backend->log_name = printable;
	/* The usual id is logged as it is. */
	if (!strcmp(printable, mt_shared_name_text(id))) {
		g_free(printable);
		backend->log_name = (char *)id.text;
	}
}

void mt_backend_note_cold(mt_backend_t *backend, const mt_backend_info_t *info,
			  mt_ms_t now)
{
	if (!info->cold_remaining_ms) {
		backend->cold_until = 0;
		return;
	}
	/* A snapshot delivers the same entry again. */
	if (backend->cold_until && info->born_ms == backend->info.born_ms &&
	    info->cold_remaining_ms == backend->info.cold_remaining_ms)
		return;
	backend->cold_until = now + info->cold_remaining_ms;
}

bool mt_backend_info_is_current(const mt_backend_t *backend)
{
	return !backend->info.born_ms || !backend->born_ms ||
	       backend->info.born_ms == backend->born_ms;
}

bool mt_backend_has_label(const mt_backend_t *backend, GQuark label)
{
	if (!label)
		return true;
	return mt_plan_labels_contain(backend->info.labels, label);
}

uint64_t mt_backend_clock(const mt_backend_t *backend, mt_ms_t now)
{
	return backend->clock_ms + (now - backend->drift_start);
}

bool mt_backend_is_responsive(const mt_backend_t *backend, mt_ms_t now,
			      mt_ms_t window_ms)
{
	return backend->hold_answered &&
	       now - backend->answered_at <= window_ms;
}

void mt_backend_note_clock(mt_backend_t *backend, uint64_t clock_ms,
			   mt_ms_t now)
{
	if (!clock_ms)
		return;
	backend->clock_known = true;
	backend->clock_ms = clock_ms;
	backend->drift_start = now;
}

void mt_backend_note_lease(mt_backend_t *backend, mt_ms_t now, mt_ms_t lease_ms)
{
	/* The two clocks may drift apart from `drift_start` until the end of
	 * the lease. */
	mt_ms_t span = lease_ms + (now - backend->drift_start);
	mt_ms_t drift = span * CLOCK_DRIFT_PERMILLE / 1000;
	mt_ms_t leases_expire_at = now + lease_ms + drift + LEASE_MARGIN_MS;

	backend->leases_expire_at =
		MAX(backend->leases_expire_at, leases_expire_at);
}
