/** @file rng.c The pseudo-random generator splitmix64. */
#include "base.h"

uint64_t rng_next(rng_t *r)
{
	uint64_t z = (r->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

uint64_t rng_below(rng_t *r, uint64_t n)
{
	return (uint64_t)(((unsigned __int128)rng_next(r) * n) >> 64);
}

double rng_unit(rng_t *r)
{
	return (double)(rng_next(r) >> 11) * 0x1.0p-53;
}
