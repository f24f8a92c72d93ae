// What an instance learns of the engines of a pool from its own requests: how long the reading of a
// prompt takes at an engine of usual pace, and how each engine's lasting pace compares to it.
//
// What passes (contention, waiting requests) is divided out of the samples by their caller.
#pragma once

#include <cstdint>

namespace Tanagerbay::Routing {

// How long the work of an engine takes at all times, compared to the pool's mean: 1.7 is 1.7 times
// as long.
struct LastingPace
{
    double relative = 1;
    // Number of samples behind the value, over all instances. The value with more samples replaces
    // the one with fewer.
    std::uint64_t samples = 0;
};

struct EngineRates
{
    // Smoothed moments of the tokens that were read before a first event, and of the seconds that
    // it took. They begin with those of a common engine, so that a choice is possible at once.
    double meanTokens = 3000;
    double meanSeconds = 0.11;
    double tokenVariance = 4e6;
    double tokenCovariance = 4e6 / 38'000;
    // Smoothed tokens that a prompt leaves to read, without those of the prompts before it.
    double meanPromptTokens = 3000;
    // Smoothed mean time between two events of a stream; zero before the first sample.
    double meanGapSeconds = 0;
};

// Seconds for one token of a prompt, and for a first event apart from the reading.
double secondsPerToken(const EngineRates &rates);
double secondsWithoutTokens(const EngineRates &rates);

// Records that a first event came `seconds` after the send, when `tokens` had to be read before it.
// Seconds are those of an engine of usual pace without contention.
void noteRead(EngineRates &rates, double tokens, double seconds);

// Records how many tokens of its own a prompt had to have read.
void notePrompt(EngineRates &rates, double tokens);

// Records the mean time between the events of a stream at an engine, without contention.
void noteGap(EngineRates &rates, LastingPace &pace, double seconds);

// Takes what another instance has learnt. Returns whether it replaces what was known.
bool mergePace(LastingPace &known, const LastingPace &other);

} // namespace Tanagerbay::Routing
