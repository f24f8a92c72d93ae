#include "Routing/EngineRates.h"

#include <algorithm>
#include <cmath>

namespace Tanagerbay::Routing {

namespace {

constexpr double kReadGain = 0.05;
constexpr double kGapGain = 0.05;
// The first samples of an engine count as much as all before them together.
constexpr double kMinPaceGain = 0.1;
// A sample is bounded, so that one stalled stream does not mark an engine as slow.
constexpr double kMaxSampleFactor = 4;
constexpr double kMinRelativePace = 0.2;
constexpr double kMaxRelativePace = 10;
constexpr double kMinSecondsPerToken = 1e-7;

} // namespace

double secondsPerToken(const EngineRates &rates)
{
    return std::max(rates.tokenCovariance / rates.tokenVariance, kMinSecondsPerToken);
}

double secondsWithoutTokens(const EngineRates &rates)
{
    return std::max(rates.meanSeconds - secondsPerToken(rates) * rates.meanTokens, 0.0);
}

void noteRead(EngineRates &rates, double tokens, double seconds)
{
    const double expected = secondsWithoutTokens(rates) + secondsPerToken(rates) * tokens;
    const double bounded = std::min(seconds, kMaxSampleFactor * expected);
    const double tokenError = tokens - rates.meanTokens;
    const double secondsError = bounded - rates.meanSeconds;
    rates.meanTokens += kReadGain * tokenError;
    rates.meanSeconds += kReadGain * secondsError;
    const double kept = 1 - kReadGain;
    rates.tokenVariance
        = std::max(kept * (rates.tokenVariance + kReadGain * tokenError * tokenError), 1.0);
    rates.tokenCovariance = kept * (rates.tokenCovariance + kReadGain * tokenError * secondsError);
}

void notePrompt(EngineRates &rates, double tokens)
{
    rates.meanPromptTokens += kReadGain * (tokens - rates.meanPromptTokens);
}

void noteGap(EngineRates &rates, LastingPace &pace, double seconds)
{
    if (seconds <= 0)
        return;
    if (rates.meanGapSeconds <= 0)
        rates.meanGapSeconds = seconds;
    const double bounded = std::min(seconds, kMaxSampleFactor * rates.meanGapSeconds);
    const double relative
        = std::clamp(bounded / rates.meanGapSeconds, kMinRelativePace, kMaxRelativePace);
    // The initial value counts as one sample.
    const double gain = std::max(1 / static_cast<double>(pace.samples + 2), kMinPaceGain);
    pace.relative += gain * (relative - pace.relative);
    ++pace.samples;
    rates.meanGapSeconds += kGapGain * (bounded - rates.meanGapSeconds);
}

bool mergePace(LastingPace &known, const LastingPace &other)
{
    const bool isReadable = std::isfinite(other.relative) && other.relative >= kMinRelativePace
        && other.relative <= kMaxRelativePace;
    if (!isReadable || other.samples <= known.samples)
        return false;
    known = other;
    return true;
}

} // namespace Tanagerbay::Routing
