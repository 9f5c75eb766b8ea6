// Runs a RapidCheck property inside a Criterion test, with a fixed seed that is printed.
#pragma once

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <rapidcheck.h>
#include <string>

// Returns whether the property held in all runs. RC_PARAMS in the environment overrides the seed
// and the number of runs.
template <class Property>
bool checkProperty(const char *Name, uint64_t Seed, int RunCount, Property Body) {
  std::string Parameters =
      "seed=" + std::to_string(Seed) + " max_success=" + std::to_string(RunCount) + " max_size=100";
  setenv("RC_PARAMS", Parameters.c_str(), 0); // NOLINT(concurrency-mt-unsafe)
  std::printf("%s: RC_PARAMS=\"%s\"\n", Name, std::getenv("RC_PARAMS"));
  return rc::check(Name, Body);
}
