// Counters and latency histograms of an entry instance, exported as text for a metrics collector.
#pragma once

#include "Common/Time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace Tanagerbay::Entry {

// Upper bounds of the histogram buckets in milliseconds; the last bucket is unbounded.
constexpr std::array<std::int64_t, 12> kLatencyBoundsMs
    = {5, 10, 25, 50, 100, 200, 400, 800, 1600, 3200, 6400, 12800};

struct Histogram
{
    std::array<std::uint64_t, kLatencyBoundsMs.size() + 1> buckets = {};
    std::uint64_t count = 0;
    double sumSeconds = 0;

    void add(Common::Duration sample);
};

struct Metrics
{
    // By event name and label.
    std::map<std::string, std::uint64_t> counters;
    // By name and label of the timed operation.
    std::map<std::string, Histogram> histograms;

    // By name and label of what is measured.
    std::map<std::string, double> gauges;

    void count(const std::string &name, std::uint64_t increment = 1);
    void time(const std::string &name, Common::Duration sample);
    // Returns all metrics in the Prometheus text format.
    std::string text() const;
};

// Returns `name{label="value"}`.
std::string labelled(std::string_view name, std::string_view label, std::string_view value);

} // namespace Tanagerbay::Entry
