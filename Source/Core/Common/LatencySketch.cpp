#include "Common/LatencySketch.h"

#include <algorithm>
#include <cmath>

namespace Tanagerbay::Common {

namespace {

constexpr double kMinSeconds = 50e-6;
constexpr double kBucketGrowthFactor = 1.2;
// All weights are halved once their sum exceeds this, which ages out old samples.
constexpr float kMaxTotalWeight = 512;

} // namespace

void LatencySketch::add(Duration sample)
{
    const double seconds = std::max(toSeconds(sample), kMinSeconds);
    const double position = std::log(seconds / kMinSeconds) / std::log(kBucketGrowthFactor);
    const auto bucket = std::min(static_cast<std::size_t>(position), kBucketCount - 1);
    this->weights[bucket] += 1;
    this->totalWeight += 1;
    ++this->samplesAdded;
    if (this->totalWeight <= kMaxTotalWeight)
        return;
    this->totalWeight = 0;
    for (float &weight : this->weights) {
        weight /= 2;
        this->totalWeight += weight;
    }
}

Duration LatencySketch::quantile(double fraction, Duration fallback) const
{
    if (this->totalWeight <= 0)
        return fallback;
    const float targetWeight = this->totalWeight * static_cast<float>(fraction);
    float cumulativeWeight = 0;
    std::size_t bucket = 0;
    for (; bucket + 1 < kBucketCount; ++bucket) {
        cumulativeWeight += this->weights[bucket];
        if (cumulativeWeight >= targetWeight && cumulativeWeight > 0)
            break;
    }
    const double upper
        = kMinSeconds * std::pow(kBucketGrowthFactor, static_cast<double>(bucket + 1));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(upper));
}

} // namespace Tanagerbay::Common
