#include "Node/StateDump.h"

#include "Node/Worker.h"

namespace Tanagerbay::Node {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxRows = 100;
constexpr std::string_view kPrefix = "tanagerbay_";

json::object dumpLists(const SharedState &shared)
{
    const Lists::SnapshotPtr lists = shared.lists.current();
    return {
        {"plansVersion", lists->plansDocument.version},
        {"plansEditId", lists->plansDocument.editId},
        {"entitlementsVersion", lists->entitlementsDocument.version},
        {"entitlementsEditId", lists->entitlementsDocument.editId},
        {"plans", lists->plans.plans.size()},
        {"workspaces", lists->plans.workspaces.size()},
        {"entitlements", lists->entitlements.entitlements.size()},
    };
}

json::object dumpMembers(SharedState &shared, Common::Time now)
{
    return shared.members.with([&](Membership::Members &members) {
        json::array rows;
        for (const auto &[id, member] : members.byId) {
            if (rows.size() >= kMaxRows)
                break;
            json::object row{
                {"id", id.value},
                {"failureDomain", member.report.failureDomain.value},
                {"state", Common::nameOf(member.report.state)},
                {"suspect", Membership::isSuspect(members, member, now)},
                {"inPlatformList", member.inPlatformList},
                {"plansVersion", member.report.plansVersion},
                {"entitlementsVersion", member.report.entitlementsVersion},
                {"requestsInProgress", member.report.requestsInProgress},
            };
            if (member.lastReportAt)
                row["heardMsAgo"] = Common::toMilliseconds(now - *member.lastReportAt);
            rows.push_back(std::move(row));
        }
        return json::object{{"count", members.byId.size()}, {"instances", rows}};
    });
}

json::object dumpEndpoint(const Routing::Endpoint &endpoint, Common::Time now)
{
    return {
        {"id", endpoint.id.value},
        {"address", Common::formatAddress(endpoint.address)},
        {"failureDomain", endpoint.failureDomain.value},
        {"version", endpoint.version},
        {"state", Common::nameOf(endpoint.state)},
        {"eligible", Routing::isEligible(endpoint, now)},
        {"reportedRunning", endpoint.report.running},
        {"reportedWaiting", endpoint.report.waiting},
        {"slots", endpoint.report.slots},
        {"ownInFlight", endpoint.ownInFlight},
        {"slowness", Routing::currentSlowness(endpoint.health, now)},
        {"errorRate", endpoint.health.errorRate},
        {"ejections", endpoint.health.ejections},
        {"calls", endpoint.callsBegun},
        {"failedCalls", endpoint.callsFailed},
    };
}

json::object dumpPools(const SharedState &shared, Common::Time now)
{
    json::object pools;
    for (const auto &[name, shard] : shared.pools) {
        const std::lock_guard<std::mutex> guard(shard->lock);
        const Routing::Pool &pool = shard->pool;
        json::array rows;
        for (const Routing::Endpoint &endpoint : pool.endpoints) {
            if (rows.size() >= kMaxRows)
                break;
            rows.push_back(dumpEndpoint(endpoint, now));
        }
        pools[name] = json::object{
            {"count", pool.endpoints.size()},
            {"usualPaceMs", pool.meanPaceSeconds * 1000},
            {"retryBudgetSaved", pool.budget.balance},
            {"firstAttempts", pool.budget.firstAttempts},
            {"extraAttempts", pool.budget.extraAttempts},
            {"extraAttemptsDenied", pool.budget.denied},
            {"prefixHints", pool.prefixes.size()},
            {"endpoints", rows},
        };
    }
    return pools;
}

json::object summaryOf(const DurationSeries &series)
{
    const DurationSeries::Summary summary = series.summary();
    return {{"count", summary.count},
            {"meanMs", summary.mean * 1000},
            {"p50Ms", summary.p50 * 1000},
            {"p99Ms", summary.p99 * 1000},
            {"maxMs", summary.max * 1000}};
}

void appendMetric(std::string &text, std::string_view name, const std::string &labels, double value)
{
    text.append(kPrefix).append(name);
    if (!labels.empty())
        text.append("{").append(labels).append("}");
    text.append(" ").append(std::to_string(value)).append("\n");
}

void appendCounters(std::string &text, const Common::Counters &counters)
{
    for (const auto &[counter, name] : Common::EnumNames<Common::Counter>::table) {
        const std::string full = std::string(kPrefix) + std::string(name) + "_total";
        text.append("# TYPE ").append(full).append(" counter\n");
        text.append(full).append(" ").append(std::to_string(counters.value(counter))).append("\n");
    }
}

std::string label(std::string_view name, std::string_view value)
{
    return std::string(name) + "=\"" + std::string(value) + "\"";
}

void appendSeries(std::string &text, std::string_view name, const std::string &labels,
                  const DurationSeries &series)
{
    const DurationSeries::Summary summary = series.summary();
    const std::string comma = labels.empty() ? "" : labels + ",";
    appendMetric(text, name, comma + label("quantile", "0.5"), summary.p50);
    appendMetric(text, name, comma + label("quantile", "0.99"), summary.p99);
    appendMetric(text, std::string(name) + "_count", labels, static_cast<double>(summary.count));
}

} // namespace

json::object dumpState(SharedState &shared, Common::Time now)
{
    json::object counters;
    for (const auto &[counter, name] : Common::EnumNames<Common::Counter>::table)
        counters[name] = shared.counters.value(counter);
    json::object plans;
    json::object stages;
    shared.metrics.visit([&](const auto &planMetrics, const auto &stageMetrics, const auto &) {
        for (const auto &[name, metrics] : planMetrics) {
            plans[name] = json::object{{"inTime", metrics.inTime},
                                       {"late", metrics.late},
                                       {"refused", metrics.refused},
                                       {"failed", metrics.failed},
                                       {"durations", summaryOf(metrics.durations)}};
        }
        for (const auto &[name, metrics] : stageMetrics) {
            stages[name] = json::object{{"calls", metrics.calls},
                                        {"failedCalls", metrics.failedCalls},
                                        {"busySeconds", Common::toSeconds(metrics.busy)},
                                        {"durations", summaryOf(metrics.durations)}};
        }
    });
    return {
        {"instance", shared.settings.instance.value},
        {"failureDomain", shared.settings.failureDomain.value},
        {"phase", Common::nameOf(shared.phase.load())},
        {"cutOff", shared.isCutOff(now)},
        {"requestsInProgress", shared.requestsInProgress.load()},
        {"lists", dumpLists(shared)},
        {"members", dumpMembers(shared, now)},
        {"pools", dumpPools(shared, now)},
        {"plans", plans},
        {"stages", stages},
        {"counters", counters},
    };
}

std::string renderMetrics(SharedState &shared, Common::Time now)
{
    std::string text;
    appendCounters(text, shared.counters);
    appendMetric(text, "requests_in_progress", "", shared.requestsInProgress.load());
    appendMetric(text, "cut_off", "", shared.isCutOff(now) ? 1 : 0);
    const Lists::Versions versions = shared.lists.current()->versions();
    appendMetric(text, "list_version", label("list", "plans"), static_cast<double>(versions.plans));
    appendMetric(text, "list_version", label("list", "entitlements"),
                 static_cast<double>(versions.entitlements));
    shared.metrics.visit([&](const auto &plans, const auto &stages, const auto &firstTokens) {
        for (const auto &[name, metrics] : plans) {
            const std::string plan = label("plan", name);
            const auto ended = [&](std::string_view end, std::uint64_t count) {
                appendMetric(text, "requests_ended_total", plan + "," + label("end", end),
                             static_cast<double>(count));
            };
            ended("in-time", metrics.inTime);
            ended("late", metrics.late);
            ended("refused", metrics.refused);
            ended("failed", metrics.failed);
            appendSeries(text, "request_seconds", plan, metrics.durations);
        }
        for (const auto &[name, metrics] : stages) {
            const std::string pool = label("pool", name);
            appendMetric(text, "stage_busy_seconds_total", pool, Common::toSeconds(metrics.busy));
            appendMetric(text, "stage_calls_total", pool, static_cast<double>(metrics.calls));
            appendMetric(text, "stage_failed_calls_total", pool,
                         static_cast<double>(metrics.failedCalls));
            appendSeries(text, "stage_seconds", pool, metrics.durations);
        }
        appendSeries(text, "first_token_seconds", "", firstTokens);
    });
    return text;
}

} // namespace Tanagerbay::Node
