/** @file fuzz_wire.c libFuzzer target for the decoder of peer messages. */
#include <stdlib.h>

#include "wire.h"

/* libFuzzer requires this name. NOLINTNEXTLINE */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t sz);

/* NOLINTNEXTLINE */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t sz)
{
	arena_t mem = { 0 };
	peer_msg_t m;

	wire_decode((const char *)data, sz, &m, &mem);
	wire_free_group_hits(&m);
	arena_free(&mem);
	return 0;
}
