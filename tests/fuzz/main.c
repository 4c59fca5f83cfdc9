/**
 * @file main.c
 * Fuzzer: feeds random input to an HTTP server and to the decoders of JSON and
 * protobuf. Guards against input that crashes a host, or whose connection or
 * bytes it never frees. Meant for the build with sanitizers, which detect the
 * faults. First it feeds the inputs of earlier faults, the files in
 * tests/fuzz/cases.
 *
 * --save keeps the input of a crash, which is then added to these files. It is
 * slow, so use it with the rounds near the crash (--first).
 */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>

#include "fuzz/fuzz.h"

#define EXIT_BAD_ARGUMENTS 2
#define EXIT_NO_SERVER 3

/** An ordinary request is sent after this many rounds. */
#define ROUNDS_PER_CHECK 50u

/**
 * How often the input of an earlier crash is fed: it is sent in random parts,
 * and some faults occur only when it is received at once.
 */
#define REPEATS_PER_CASE 20u

typedef struct mt_fuzz_t {
	mt_fuzz_server_t *server;
	const char *save_path; /**< NULL: inputs are not saved */
	unsigned passed;
	unsigned failed;
} mt_fuzz_t;

static void count(mt_fuzz_t *fuzz, bool passed)
{
	if (passed)
		fuzz->passed++;
	else
		fuzz->failed++;
}

/** Feeds one input to the server and to the decoders. */
static void feed(mt_fuzz_t *fuzz, GRand *rand, const GByteArray *bytes)
{
	if (fuzz->save_path)
		g_file_set_contents(fuzz->save_path, (const char *)bytes->data,
				    (gssize)bytes->len, NULL);
	mt_fuzz_decode(bytes);
	count(fuzz, mt_fuzz_send(fuzz->server, rand, bytes));
}

static void feed_case(mt_fuzz_t *fuzz, GRand *rand, const char *path)
{
	GError *error = NULL;
	GByteArray *bytes;
	char *text;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		count(fuzz, false);
		return;
	}
	bytes = g_byte_array_new_take((guint8 *)text, len);
	for (unsigned i = 0; i < REPEATS_PER_CASE; i++)
		feed(fuzz, rand, bytes);
	g_byte_array_unref(bytes);
}

/** A directory or file that cannot be read counts as a failure. */
static void feed_cases(mt_fuzz_t *fuzz, GRand *rand, const char *directory)
{
	GError *error = NULL;
	GDir *dir = g_dir_open(directory, 0, &error);
	const char *name;

	if (!dir) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		count(fuzz, false);
		return;
	}
	while ((name = g_dir_read_name(dir))) {
		char *path = g_build_filename(directory, name, NULL);

		feed_case(fuzz, rand, path);
		g_free(path);
	}
	g_dir_close(dir);
}

static void run_round(mt_fuzz_t *fuzz, guint32 seed, unsigned round)
{
	guint32 seeds[] = {seed, round};
	GRand *rand = g_rand_new_with_seed_array(seeds, G_N_ELEMENTS(seeds));
	GByteArray *bytes = round % 2 == 0 ? mt_fuzz_make_request(rand)
					   : mt_fuzz_make_message(rand);

	feed(fuzz, rand, bytes);
	if (round % ROUNDS_PER_CHECK == 0)
		count(fuzz, mt_fuzz_server_answers(fuzz->server));
	if (fuzz->failed)
		printf("seed %u, round %u failed\n", seed, round);
	g_byte_array_unref(bytes);
	g_rand_free(rand);
}

int main(int argc, char **argv)
{
	struct arg_int *seed =
		arg_int0(NULL, "seed", "N", "random seed; default: 1");
	struct arg_int *first =
		arg_int0(NULL, "first", "N", "first round; default: 0");
	struct arg_int *rounds = arg_int0(NULL, "rounds", "N",
					  "number of rounds; default: 2000");
	struct arg_str *cases = arg_str0(NULL, "cases", "DIR",
					 "inputs of earlier crashes; default: "
					 "tests/fuzz/cases");
	struct arg_str *save = arg_str0(NULL, "save", "FILE",
					"save each input before it is used");
	struct arg_end *end = arg_end(4);
	void *table[] = {seed, first, rounds, cases, save, end};
	/* Static, so that the server is not reported as leaked memory. */
	static mt_fuzz_t fuzz;
	GRand *rand;

	seed->ival[0] = 1;
	first->ival[0] = 0;
	rounds->ival[0] = 2000;
	cases->sval[0] = "tests/fuzz/cases";
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		return EXIT_BAD_ARGUMENTS;
	}
	signal(SIGPIPE, SIG_IGN);
	fuzz.save_path = save->count ? save->sval[0] : NULL;
	fuzz.server = mt_fuzz_server_new();
	if (!fuzz.server) {
		fprintf(stderr, "cannot listen\n");
		return EXIT_NO_SERVER;
	}
	rand = g_rand_new_with_seed((guint32)seed->ival[0]);
	feed_cases(&fuzz, rand, cases->sval[0]);
	g_rand_free(rand);
	for (int i = 0; i < rounds->ival[0] && !fuzz.failed; i++)
		run_round(&fuzz, (guint32)seed->ival[0],
			  (unsigned)(first->ival[0] + i));
	mt_fuzz_server_print(fuzz.server);
	printf("%u passed, %u failed\n", fuzz.passed, fuzz.failed);
	arg_freetable(table, G_N_ELEMENTS(table));
	return fuzz.failed ? 1 : 0;
}
