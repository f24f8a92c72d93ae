#include "Load/Report.h"

#include <algorithm>
#include <cstdio>

namespace Tanagerbay::Load {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxViolationsShown = 20;

float toMs(Common::Duration duration)
{
    return static_cast<float>(Common::toSeconds(duration) * 1000);
}

float quantile(std::vector<float> values, double fraction)
{
    if (values.empty())
        return 0;
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

json::object quantiles(const std::vector<float> &values)
{
    return {{"p50", quantile(values, 0.5)},
            {"p95", quantile(values, 0.95)},
            {"p99", quantile(values, 0.99)}};
}

template <typename... Values>
std::string format(const char *pattern, Values... values)
{
    char line[256];
    std::snprintf(line, sizeof(line), pattern, values...);
    return line;
}

std::string quantileText(const std::vector<float> &values)
{
    return format("p50 %.1f ms, p95 %.1f ms, p99 %.1f ms", quantile(values, 0.5),
                  quantile(values, 0.95), quantile(values, 0.99));
}

// Calls `visit(pool, counts)` with the name of its pool and its counts for each endpoint.
template <typename Visitor>
void visitEndpoints(const json::value &counts, Visitor &&visit)
{
    if (!counts.is_object() || !counts.get_object().contains("pools"))
        return;
    for (const auto &pool : counts.at("pools").as_object()) {
        for (const auto &endpoint : pool.value().as_object())
            visit(std::string(pool.key()), endpoint.value());
    }
}

std::map<std::string, double> busyByPool(const json::value &counts)
{
    std::map<std::string, double> busy;
    visitEndpoints(counts, [&busy](const std::string &pool, const json::value &entry) {
        busy[pool] += entry.at("busySeconds").to_number<double>();
    });
    return busy;
}

std::map<std::string, std::uint64_t> runsByKey(const json::value &counts)
{
    std::map<std::string, std::uint64_t> runs;
    visitEndpoints(counts, [&runs](const std::string &, const json::value &entry) {
        if (!entry.as_object().contains("runsByKey"))
            return;
        for (const auto &row : entry.at("runsByKey").as_object())
            runs[std::string(row.key())] += row.value().to_number<std::uint64_t>();
    });
    return runs;
}

} // namespace

void Report::add(AnswerRecord record)
{
    PlanTotals &row = this->plans[record.plan];
    ++row.offered;
    switch (record.state) {
    case AnswerState::InTime:
        ++row.inTime;
        break;
    case AnswerState::Late:
        ++row.late;
        break;
    case AnswerState::Refused:
        ++row.refused;
        break;
    case AnswerState::Failed:
        ++row.failed;
        break;
    }
    const bool isComplete
        = record.state == AnswerState::InTime || record.state == AnswerState::Late;
    if (isComplete)
        row.durationsMs.push_back(toMs(record.duration));
    else
        ++this->codes[record.code];
    if (record.firstToken.count() > 0)
        this->firstTokensMs.push_back(toMs(record.firstToken));
    this->gapsMs.insert(this->gapsMs.end(), record.tokenGapsMs.begin(), record.tokenGapsMs.end());
    this->tokens += record.tokens;
    this->extraAttempts += record.attempts > 1 ? record.attempts - 1 : 0;
    for (std::string &text : record.violations)
        this->violations.push_back(record.action + ": " + text);
    if (!record.idempotencyKey.empty())
        this->keys[record.idempotencyKey]
            = {record.service, record.reportedRun, record.reportedNotRun};
}

void Report::merge(Report &&other)
{
    for (auto &[name, row] : other.plans) {
        PlanTotals &totals = this->plans[name];
        totals.offered += row.offered;
        totals.inTime += row.inTime;
        totals.late += row.late;
        totals.refused += row.refused;
        totals.failed += row.failed;
        totals.durationsMs.insert(totals.durationsMs.end(), row.durationsMs.begin(),
                                  row.durationsMs.end());
    }
    for (const auto &[code, count] : other.codes)
        this->codes[code] += count;
    this->firstTokensMs.insert(this->firstTokensMs.end(), other.firstTokensMs.begin(),
                               other.firstTokensMs.end());
    this->gapsMs.insert(this->gapsMs.end(), other.gapsMs.begin(), other.gapsMs.end());
    this->tokens += other.tokens;
    this->extraAttempts += other.extraAttempts;
    this->violations.insert(this->violations.end(), other.violations.begin(),
                            other.violations.end());
    this->keys.merge(other.keys);
}

void Report::recordCosts(const json::value &countsBefore, const json::value &countsAfter)
{
    const auto before = busyByPool(countsBefore);
    for (const auto &[pool, busy] : busyByPool(countsAfter)) {
        const auto found = before.find(pool);
        this->busySeconds[pool] = busy - (found == before.end() ? 0 : found->second);
    }
}

void Report::checkRuns(const json::value &countsBefore, const json::value &countsAfter)
{
    const auto before = runsByKey(countsBefore);
    std::map<std::string, std::uint64_t> runs;
    for (const auto &[rowKey, count] : runsByKey(countsAfter)) {
        const auto found = before.find(rowKey);
        const std::uint64_t runCount = count - (found == before.end() ? 0 : found->second);
        if (runCount > 1)
            this->violations.push_back("ran " + std::to_string(runCount) + " times: " + rowKey);
        // The ledger's key ends with the caller's idempotency key.
        runs[rowKey.substr(rowKey.rfind('/') + 1)] += runCount;
    }
    for (const auto &[key, row] : this->keys) {
        const auto found = runs.find(key);
        const std::uint64_t count = found == runs.end() ? 0 : found->second;
        if (row.reportedRun && count == 0)
            this->violations.push_back("reported as run, but did not run: " + key);
        if (row.reportedNotRun && count > 0)
            this->violations.push_back("reported as not run, but ran: " + key);
    }
}

json::object Report::toJson(double seconds) const
{
    json::object byPlan;
    std::uint64_t offered = 0;
    std::uint64_t inTime = 0;
    for (const auto &[name, row] : this->plans) {
        offered += row.offered;
        inTime += row.inTime;
        byPlan[name] = json::object{
            {"offered", row.offered},
            {"inTime", row.inTime},
            {"late", row.late},
            {"refused", row.refused},
            {"failed", row.failed},
            {"attainment",
             row.offered == 0 ? 0.0
                              : static_cast<double>(row.inTime) / static_cast<double>(row.offered)},
            {"durationMs", quantiles(row.durationsMs)},
        };
    }
    json::object cost;
    for (const auto &[pool, busy] : this->busySeconds)
        cost[pool] = inTime == 0 ? 0 : busy * 1000 / static_cast<double>(inTime);
    json::object byCode;
    for (const auto &[code, count] : this->codes)
        byCode[code] = count;
    json::array violationLines;
    for (const std::string &line : this->violations) {
        if (violationLines.size() < kMaxViolationsShown)
            violationLines.emplace_back(line);
    }
    return {
        {"seconds", seconds},
        {"offered", offered},
        {"inTime", inTime},
        {"attainment",
         offered == 0 ? 0.0 : static_cast<double>(inTime) / static_cast<double>(offered)},
        {"plans", byPlan},
        {"busyMsPerAnswerInTime", cost},
        {"firstTokenMs", quantiles(this->firstTokensMs)},
        {"betweenTokensMs", quantiles(this->gapsMs)},
        {"tokensPerSecond", static_cast<double>(this->tokens) / std::max(seconds, 1e-9)},
        {"extraTries", this->extraAttempts},
        {"unansweredByCode", byCode},
        {"brokenPromises", this->violations.size()},
        {"broken", violationLines},
    };
}

std::string Report::toText(double seconds) const
{
    std::string text;
    text += "attainment by plan\n";
    std::uint64_t inTime = 0;
    for (const auto &[name, row] : this->plans) {
        inTime += row.inTime;
        const double share = row.offered == 0
            ? 0
            : 100.0 * static_cast<double>(row.inTime) / static_cast<double>(row.offered);
        text += format("  %-16s %6.2f%% of %llu in time; late %llu, refused %llu, failed %llu; ",
                       name.c_str(), share, static_cast<unsigned long long>(row.offered),
                       static_cast<unsigned long long>(row.late),
                       static_cast<unsigned long long>(row.refused),
                       static_cast<unsigned long long>(row.failed));
        text += quantileText(row.durationsMs) + "\n";
    }
    text += "cost by stage (busy time per answer in time)\n";
    for (const auto &[pool, busy] : this->busySeconds) {
        const double each = inTime == 0 ? 0 : busy * 1000 / static_cast<double>(inTime);
        text += format("  %-16s %8.2f ms\n", pool.c_str(), each);
    }
    text += "first token       " + quantileText(this->firstTokensMs) + "\n";
    text += "between tokens    " + quantileText(this->gapsMs) + "\n";
    text += format("tokens per second %.0f\n",
                   static_cast<double>(this->tokens) / std::max(seconds, 1e-9));
    for (const auto &[code, count] : this->codes)
        text += format("not answered      %s: %llu\n", code.c_str(),
                       static_cast<unsigned long long>(count));
    text += format("broken promises   %zu\n", this->violations.size());
    for (std::size_t i = 0; i < this->violations.size() && i < kMaxViolationsShown; ++i)
        text += "  " + this->violations[i] + "\n";
    return text;
}

} // namespace Tanagerbay::Load
