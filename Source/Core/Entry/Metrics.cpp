#include "Entry/Metrics.h"

namespace Tanagerbay::Entry {

namespace {

// Appends one sample line. Splits `name{labels}` to insert the suffix after the name and the bucket
// bound after the labels.
void appendSample(std::string &out, const std::string &series, std::string_view suffix,
                  const std::string &bucketBound, const std::string &value)
{
    const auto brace = series.find('{');
    out.append("tanagerbay_").append(series, 0, brace).append(suffix);
    std::string labels
        = brace == std::string::npos ? "" : series.substr(brace + 1, series.size() - brace - 2);
    if (!bucketBound.empty())
        labels += (labels.empty() ? "le=\"" : ",le=\"") + bucketBound + "\"";
    if (!labels.empty())
        out.append("{").append(labels).append("}");
    out.append(" ").append(value).append("\n");
}

} // namespace

void Histogram::add(Common::Duration sample)
{
    std::size_t bucket = 0;
    while (bucket < kLatencyBoundsMs.size()
           && sample > Common::Milliseconds(kLatencyBoundsMs[bucket]))
        ++bucket;
    ++this->buckets[bucket];
    ++this->count;
    this->sumSeconds += Common::toSeconds(sample);
}

void Metrics::count(const std::string &name, std::uint64_t increment)
{
    this->counters[name] += increment;
}

void Metrics::time(const std::string &name, Common::Duration sample)
{
    this->histograms[name].add(sample);
}

std::string Metrics::text() const
{
    std::string out;
    for (const auto &[series, value] : this->counters)
        appendSample(out, series, "_total", "", std::to_string(value));
    for (const auto &[series, value] : this->gauges)
        appendSample(out, series, "", "", std::to_string(value));
    for (const auto &[series, histogram] : this->histograms) {
        std::uint64_t cumulativeCount = 0;
        for (std::size_t i = 0; i < histogram.buckets.size(); ++i) {
            cumulativeCount += histogram.buckets[i];
            const std::string bound
                = i < kLatencyBoundsMs.size() ? std::to_string(kLatencyBoundsMs[i]) : "+Inf";
            appendSample(out, series, "_ms_bucket", bound, std::to_string(cumulativeCount));
        }
        appendSample(out, series, "_seconds_sum", "", std::to_string(histogram.sumSeconds));
        appendSample(out, series, "_count", "", std::to_string(histogram.count));
    }
    return out;
}

std::string labelled(std::string_view name, std::string_view label, std::string_view value)
{
    std::string series(name);
    series.append("{").append(label).append("=\"").append(value).append("\"}");
    return series;
}

} // namespace Tanagerbay::Entry
