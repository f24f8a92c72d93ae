#include "Entry/StageCosts.h"

#include "Staging/CostOrder.h"

namespace Tanagerbay::Entry {

namespace {

// A burst changes the figures many times in a second.
constexpr Common::Milliseconds kLogInterval{1000};

std::int64_t increase(std::uint64_t now, std::uint64_t before)
{
    return static_cast<std::int64_t>(now - before);
}

} // namespace

void reportCosts(State &state, const Staging::StageQueue &queue, CostReport &report,
                 Common::Time now)
{
    const Staging::CostFigures &costs = queue.costs;
    const auto count = [&](std::string_view name, std::uint64_t current, std::uint64_t before) {
        if (current > before)
            state.metrics.count(labelled(name, "service", queue.service), current - before);
    };
    count("stage_last_chances", costs.lastChances, report.recorded.lastChances);
    count("stage_floor_raises", costs.starved, report.recorded.starved);
    count("stage_turned_away", costs.turnedAway, report.recorded.turnedAway);
    report.recorded = costs;
    const bool hasNews = costs.lastChances > report.logged.lastChances
        || costs.turnedAway > report.logged.turnedAway;
    if (!hasNews || now - report.loggedAt < kLogInterval)
        return;
    LogLine line("stage-too-little-room");
    line.text("service", queue.service)
        .text("scarce", Common::nameOf(Staging::scarceResource(queue, now)))
        .number("waiting", static_cast<std::int64_t>(queue.waiting.pieceCount))
        .number("perSecond", static_cast<std::int64_t>(Staging::piecesPerSecond(queue, now)))
        .number("lastChances", increase(costs.lastChances, report.logged.lastChances))
        .number("floorRaises", increase(costs.starved, report.logged.starved))
        .number("turnedAway", increase(costs.turnedAway, report.logged.turnedAway));
    if (costs.turnedAway > report.logged.turnedAway) {
        line.number("lastPriority", costs.last.priority)
            .number("lastAhead", static_cast<std::int64_t>(costs.last.ahead))
            .milliseconds("lastWaitMs", costs.last.wait)
            .milliseconds("lastLeftMs", costs.last.timeLeft);
    }
    state.log.write(line, now);
    report.logged = costs;
    report.loggedAt = now;
}

} // namespace Tanagerbay::Entry
