// Quantile estimates of recent durations in constant memory.
#pragma once

#include "Common/Time.h"

#include <array>
#include <cstdint>

namespace Tanagerbay::Common {

// Histogram whose bucket bounds grow by a constant factor. Old samples lose weight as new ones
// arrive, so the quantiles follow the current load.
class LatencySketch
{
public:
    void add(Duration sample);
    // Returns the upper bound of the bucket that contains the quantile, or `fallback` if there are
    // no samples.
    Duration quantile(double fraction, Duration fallback) const;
    std::uint64_t sampleCount() const
    {
        return this->samplesAdded;
    }

private:
    static constexpr std::size_t kBucketCount = 80;

    std::array<float, kBucketCount> weights = {};
    float totalWeight = 0;
    std::uint64_t samplesAdded = 0;
};

} // namespace Tanagerbay::Common
