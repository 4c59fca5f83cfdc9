/** @file settings.c Reads and validates the settings of mimosaturn-entry. */
#include "settings.h"

#include <string.h>

#include "net/json_util.h"

/** Smallest limit of the store that the records of a host need, in bytes. */
#define STORE_BYTES_MIN 4096u

/**
 * Limits of the store, in bytes, where the settings have none. Appends are
 * never larger than the first, as they would take long.
 */
#define STORE_APPEND_DEFAULT_BYTES 1048576u
#define STORE_RECORD_DEFAULT_BYTES 262144u

/**
 * Maximum duration of a task lease. The platform's own maximum, the setting
 * lease_max_ms, may be larger.
 */
#define TASK_LEASE_MAX_MS 6000u

/**
 * The platform requires that a revoked API key is refused within revoke_key_ms.
 * Keys are trusted for revoke_key_ms / KEY_AGE_DIVISOR without an update of the
 * configuration. The other half is left for requests that are being served.
 */
#define KEY_AGE_DIVISOR 2u

/**
 * The platform grants stop_grace_s for a graceful shutdown. The time-out of the
 * shutdown is shorter by this margin.
 */
#define STOP_MARGIN_MS 1000u

/** Ended jobs stay in the store this much longer than keep_ended_s. */
#define KEEP_ENDED_MARGIN_MS 30000u

#define MS_PER_S 1000u
#define MILLI_PER_CORE 1000.0

/** Shortest time for an evacuation; the store is polled each fifth of it. */
#define EVACUATION_MIN_MS 1000u

/** A file with a larger number of cores is rejected, as a likely mistake. */
#define CORES_MAX 4096.0

GQuark mt_entry_error_quark(void)
{
	return g_quark_from_static_string("mt-entry-error");
}

static bool fail(GError **error, const char *field, const char *problem)
{
	g_set_error(error, MT_ENTRY_ERROR, MT_ENTRY_ERROR_FIELD, "field %s: %s",
		    field, problem);
	return false;
}

static bool get_endpoint(const json_t *json, const char *field,
			 mt_endpoint_t *endpoint, GError **error)
{
	if (mt_json_get_address(json, field, &endpoint->address,
				&endpoint->port))
		return true;
	return fail(error, field, "not an address and a port");
}

/** Leaves the port at 0 if the field is missing or empty. */
static bool get_optional_endpoint(const json_t *json, const char *field,
				  mt_endpoint_t *endpoint, GError **error)
{
	const char *text = json_string_value(json_object_get(json, field));

	return !text || !*text || get_endpoint(json, field, endpoint, error);
}

static bool get_name(const json_t *json, const char *field,
		     mt_shared_name_t *name, GError **error)
{
	if (mt_json_get_shared_name(json, field, name))
		return true;
	return fail(error, field,
		    "empty, longer than 1024 bytes or not a text");
}

static bool get_ms(const json_t *json, const char *field, double factor,
		   mt_ms_t *ms, GError **error)
{
	const json_t *value = json_object_get(json, field);

	if (!json_is_number(value) || json_number_value(value) < 0)
		return fail(error, field, "not a number of 0 or more");
	*ms = (mt_ms_t)(json_number_value(value) * factor);
	return true;
}

static bool get_cores(const json_t *json, const char *field, uint32_t *milli,
		      GError **error)
{
	const json_t *value = json_object_get(json, field);
	double cores = json_number_value(value);

	if (!json_is_number(value) || cores <= 0 || cores > CORES_MAX)
		return fail(error, field, "not a number of cores above 0");
	*milli = (uint32_t)(cores * MILLI_PER_CORE);
	return true;
}

static bool get_durations(const json_t *json, mt_entry_settings_t *settings,
			  GError **error)
{
	mt_engine_timing_t *timings = &settings->timings;
	mt_ms_t grace = 0;
	mt_ms_t revoke = 0;

	if (!get_ms(json, "lease_max_ms", 1, &timings->lease_ms, error) ||
	    !get_ms(json, "stop_task_ms", 1, &timings->stop_ms, error) ||
	    !get_ms(json, "restore_ms", 1, &timings->restore_ms, error) ||
	    !get_ms(json, "keep_ended_s", MS_PER_S, &timings->keep_ended_ms,
		    error) ||
	    !get_ms(json, "stop_grace_s", MS_PER_S, &grace, error) ||
	    !get_ms(json, "revoke_key_ms", 1, &revoke, error))
		return false;
	if (!timings->lease_ms)
		return fail(error, "lease_max_ms", "0 allows no lease");
	if (grace <= STOP_MARGIN_MS)
		return fail(error, "stop_grace_s",
			    "too short for a graceful stop");
	timings->lease_max_ms = timings->lease_ms;
	timings->lease_ms = MIN(timings->lease_ms, TASK_LEASE_MAX_MS);
	timings->keep_ended_ms += KEEP_ENDED_MARGIN_MS;
	settings->drain_ms = grace - STOP_MARGIN_MS;
	settings->config_age_max_ms = revoke / KEY_AGE_DIVISOR;
	return true;
}

/** Leaves the time at 0 if the field is missing. */
static bool get_evacuation(const json_t *json, mt_ms_t *ms, GError **error)
{
	if (!json_object_get(json, "evacuation_ms"))
		return true;
	if (!get_ms(json, "evacuation_ms", 1, ms, error))
		return false;
	return !*ms || *ms >= EVACUATION_MIN_MS ||
	       fail(error, "evacuation_ms", "neither 0 nor at least 1000");
}

/** Reads an optional size; `bytes` keeps its value if the field is missing. */
static bool get_size(const json_t *json, const char *field, size_t *bytes,
		     GError **error)
{
	uint32_t value;

	if (!json_object_get(json, field))
		return true;
	if (!mt_json_get_u32(json, field, &value) || value < STORE_BYTES_MIN)
		return fail(error, field,
			    "not a number of at least 4096 bytes");
	*bytes = value;
	return true;
}

/** Reads an optional number above 0; leaves `value` at 0 if it is missing. */
static bool get_optional_u32(const json_t *json, const char *field,
			     uint32_t *value, GError **error)
{
	if (!json_object_get(json, field))
		return true;
	if (!mt_json_get_u32(json, field, value) || !*value)
		return fail(error, field, "not a whole number above 0");
	return true;
}

static bool get_resources(const json_t *json, mt_entry_settings_t *settings,
			  GError **error)
{
	mt_host_resources_t *resources = &settings->resources;

	return get_optional_u32(json, "memory_mb", &resources->memory_mb,
				error) &&
	       get_optional_u32(json, "max_fds", &resources->max_fds, error) &&
	       get_optional_u32(json, "max_body_bytes",
				&settings->max_body_bytes, error);
}

static bool get_store_limits(const json_t *json, mt_store_limits_t *limits,
			     GError **error)
{
	limits->append_bytes = STORE_APPEND_DEFAULT_BYTES;
	limits->record_bytes = STORE_RECORD_DEFAULT_BYTES;
	if (!get_size(json, "store_append_bytes", &limits->append_bytes,
		      error) ||
	    !get_size(json, "store_record_bytes", &limits->record_bytes, error))
		return false;
	limits->append_bytes =
		MIN(limits->append_bytes, STORE_APPEND_DEFAULT_BYTES);
	return true;
}

/** Leaves the mode at MT_ADMISSION_OFF if the field is missing. */
static bool get_admission_mode(const json_t *json, mt_admission_mode_t *mode,
			       GError **error)
{
	static const char *const names[] = {
		[MT_ADMISSION_OFF] = "off",
		[MT_ADMISSION_CONFIRMS] = "confirm",
		[MT_ADMISSION_REFUSES] = "on",
	};
	const json_t *value = json_object_get(json, "admission_control");
	const char *text = json_string_value(value);

	if (!value)
		return true;
	for (size_t i = 0; text && i < G_N_ELEMENTS(names); i++) {
		if (!strcmp(text, names[i])) {
			*mode = (mt_admission_mode_t)i;
			return true;
		}
	}
	return fail(error, "admission_control", "not off, confirm or on");
}

static bool get_fields(const json_t *json, mt_entry_settings_t *settings,
		       GError **error)
{
	return get_name(json, "host", &settings->host, error) &&
	       get_name(json, "data_centre", &settings->dc, error) &&
	       get_cores(json, "cores", &settings->cores_milli, error) &&
	       get_endpoint(json, "callers", &settings->callers, error) &&
	       get_endpoint(json, "readiness", &settings->readiness, error) &&
	       get_endpoint(json, "metrics", &settings->metrics, error) &&
	       get_endpoint(json, "peers", &settings->peers, error) &&
	       get_endpoint(json, "store", &settings->store, error) &&
	       get_optional_endpoint(json, "advice", &settings->advice,
				     error) &&
	       get_store_limits(json, &settings->store_limits, error) &&
	       get_resources(json, settings, error) &&
	       get_durations(json, settings, error) &&
	       get_admission_mode(json, &settings->admission_mode, error) &&
	       get_evacuation(json, &settings->evacuation_ms, error);
}

bool mt_entry_settings_read(const char *path, mt_entry_settings_t *settings,
			    GError **error)
{
	json_error_t at;
	json_t *json;
	char *text;
	gsize len;
	bool valid;

	memset(settings, 0, sizeof(*settings));
	if (!g_file_get_contents(path, &text, &len, NULL)) {
		g_set_error(error, MT_ENTRY_ERROR, MT_ENTRY_ERROR_UNREADABLE,
			    "cannot read %s", path);
		return false;
	}
	json = json_loadb(text, len, JSON_REJECT_DUPLICATES, &at);
	g_free(text);
	if (!json_is_object(json)) {
		g_set_error(error, MT_ENTRY_ERROR, MT_ENTRY_ERROR_SYNTAX,
			    "%s, line %d: %s", path, at.line, at.text);
		json_decref(json);
		return false;
	}
	valid = get_fields(json, settings, error);
	json_decref(json);
	return valid;
}
