#include "Node/Metrics.h"

namespace Tanagerbay::Node {

namespace acc = boost::accumulators;

DurationSeries::DurationSeries()
    : median(acc::quantile_probability = 0.5), high(acc::quantile_probability = 0.99)
{
}

void DurationSeries::add(Common::Duration duration)
{
    const double seconds = Common::toSeconds(duration);
    this->basic(seconds);
    this->median(seconds);
    this->high(seconds);
}

DurationSeries::Summary DurationSeries::summary() const
{
    Summary summary;
    summary.count = acc::count(this->basic);
    if (summary.count == 0)
        return summary;
    summary.mean = acc::mean(this->basic);
    summary.max = acc::max(this->basic);
    summary.p50 = acc::p_square_quantile(this->median);
    summary.p99 = acc::p_square_quantile(this->high);
    return summary;
}

void Metrics::recordRequest(const std::string &plan, RequestEnd end, Common::Duration duration)
{
    const std::lock_guard<std::mutex> guard(this->lock);
    PlanMetrics &metrics = this->plans[plan];
    switch (end) {
    case RequestEnd::InTime:
        ++metrics.inTime;
        metrics.durations.add(duration);
        break;
    case RequestEnd::Late:
        ++metrics.late;
        metrics.durations.add(duration);
        break;
    case RequestEnd::Refused:
        ++metrics.refused;
        break;
    case RequestEnd::Failed:
        ++metrics.failed;
        break;
    }
}

void Metrics::recordStageCall(const std::string &pool, bool succeeded, Common::Duration duration,
                              Common::Duration busy)
{
    const std::lock_guard<std::mutex> guard(this->lock);
    StageMetrics &metrics = this->stages[pool];
    ++metrics.calls;
    metrics.failedCalls += succeeded ? 0 : 1;
    metrics.busy += busy;
    metrics.durations.add(duration);
}

void Metrics::recordFirstToken(Common::Duration duration)
{
    const std::lock_guard<std::mutex> guard(this->lock);
    this->firstTokens.add(duration);
}

} // namespace Tanagerbay::Node
