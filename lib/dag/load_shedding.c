/** @file load_shedding.c Applies admission control at a host. */
#include "dag/load_shedding.h"

/** Minimum time between two events `load_shed`. */
#define LOG_INTERVAL_MS 1000u

struct mt_load_shedding_t {
	mt_load_shedding_deps_t deps;
	bool logged;	       /**< an event was logged */
	mt_ms_t logged_at;     /**< time of the last event */
	unsigned n_not_logged; /**< refusals since then */
};

mt_load_shedding_t *mt_load_shedding_new(const mt_load_shedding_deps_t *deps)
{
	mt_load_shedding_t *shedding = g_new0(mt_load_shedding_t, 1);

	shedding->deps = *deps;
	return shedding;
}

void mt_load_shedding_free(mt_load_shedding_t *shedding)
{
	g_free(shedding);
}

bool mt_load_shedding_confirms(const mt_load_shedding_t *shedding)
{
	return shedding->deps.mode != MT_ADMISSION_OFF;
}

mt_admission_t mt_load_shedding_decide(const mt_load_shedding_t *shedding,
				       const MtDag__Job *spec,
				       const mt_client_account_t *account)
{
	mt_admission_t accepted = {true, MT_ADMISSION_NO_PRESSURE, 0, 0};
	const MtDag__Pressure *pressure;
	mt_admission_job_t job;
	mt_ms_t age_ms = 0;

	if (shedding->deps.mode != MT_ADMISSION_REFUSES)
		return accepted;
	pressure = shedding->deps.pressure(shedding->deps.pressure_ctx,
					   spec->service, &age_ms);
	if (!pressure)
		return accepted;
	job = mt_admission_job(spec, account);
	return mt_admission_decide(pressure, age_ms, &job);
}

void mt_load_shedding_note_refused(mt_load_shedding_t *shedding,
				   const mt_admission_t *admission,
				   uint32_t priority)
{
	mt_kernel_t *kernel = shedding->deps.kernel;
	mt_ms_t now = mt_kernel_now(kernel);
	const char *reason = mt_admission_reason_name(admission->reason);

	mt_kernel_count(
		kernel,
		"admission_refusals_total{reason=\"%s\",priority=\"%u\"}",
		reason, priority);
	shedding->n_not_logged++;
	if (shedding->logged && now - shedding->logged_at < LOG_INTERVAL_MS)
		return;
	mt_kernel_event(kernel, "load_shed",
			"\"reason\":\"%s\",\"priority\":%u,\"wait_ms\":%u,"
			"\"retry_after_s\":%u,\"refused\":%u",
			reason, priority, (unsigned)admission->wait_ms,
			admission->retry_after_s, shedding->n_not_logged);
	shedding->logged = true;
	shedding->logged_at = now;
	shedding->n_not_logged = 0;
}
