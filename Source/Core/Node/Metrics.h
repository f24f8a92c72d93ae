// Request and stage metrics, aggregated by plan and by pool with Boost.Accumulators.
#pragma once

#include "Common/Time.h"

#include <map>
#include <mutex>
#include <string>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace Tanagerbay::Node {

// Count, mean, maximum, median and 99th percentile of a series of durations. The quantiles are
// estimates. All times are in seconds.
class DurationSeries
{
public:
    DurationSeries();

    void add(Common::Duration duration);

    struct Summary
    {
        std::uint64_t count = 0;
        double mean = 0;
        double p50 = 0;
        double p99 = 0;
        double max = 0;
    };
    Summary summary() const;

private:
    using Stats
        = boost::accumulators::stats<boost::accumulators::tag::count,
                                     boost::accumulators::tag::mean, boost::accumulators::tag::max>;
    using QuantileStats = boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>;

    boost::accumulators::accumulator_set<double, Stats> basic;
    boost::accumulators::accumulator_set<double, QuantileStats> median;
    boost::accumulators::accumulator_set<double, QuantileStats> high;
};

struct PlanMetrics
{
    std::uint64_t inTime = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    DurationSeries durations;
};

struct StageMetrics
{
    std::uint64_t calls = 0;
    std::uint64_t failedCalls = 0;
    Common::Duration busy{0};
    DurationSeries durations;
};

enum class RequestEnd { InTime, Late, Refused, Failed };

// Thread-safe.
class Metrics
{
public:
    void recordRequest(const std::string &plan, RequestEnd end, Common::Duration duration);
    void recordStageCall(const std::string &pool, bool succeeded, Common::Duration duration,
                         Common::Duration busy);
    void recordFirstToken(Common::Duration duration);

    template <typename Action>
    void visit(Action &&action) const
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        action(this->plans, this->stages, this->firstTokens);
    }

private:
    mutable std::mutex lock;
    std::map<std::string, PlanMetrics> plans;
    std::map<std::string, StageMetrics> stages;
    DurationSeries firstTokens;
};

} // namespace Tanagerbay::Node
