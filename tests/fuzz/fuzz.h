/**
 * @file fuzz.h
 * Random input for everything that reads bytes from the network: HTTP requests
 * (framing.c) and the decoders of JSON and protobuf (decoders.c).
 */
#ifndef MT_TESTS_FUZZ_H
#define MT_TESTS_FUZZ_H

#include <glib.h>
#include <stdbool.h>

/** Generates one input. */
GByteArray *mt_fuzz_make_request(GRand *rand);
GByteArray *mt_fuzz_make_message(GRand *rand);

/** Applies up to four random changes. */
void mt_fuzz_mutate(GRand *rand, GByteArray *bytes);

/** Feeds the bytes to all decoders; faults are found by the sanitizers. */
void mt_fuzz_decode(const GByteArray *bytes);

typedef struct mt_fuzz_server_t mt_fuzz_server_t;

/** @return NULL if no port is free */
mt_fuzz_server_t *mt_fuzz_server_new(void);

/**
 * Sends the bytes to an HTTP server in several parts, and disconnects.
 * @return false if the server violates an invariant, which is printed
 */
bool mt_fuzz_send(mt_fuzz_server_t *server, GRand *rand,
		  const GByteArray *bytes);

/** @return false if the server does not answer an ordinary request */
bool mt_fuzz_server_answers(mt_fuzz_server_t *server);

/** Prints how many connections were closed and requests refused, and why. */
void mt_fuzz_server_print(const mt_fuzz_server_t *server);

#endif
