#include "Entry/EvacuationWatch.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Tanagerbay::Entry {

namespace {

// Changes that are learned together are announced together.
constexpr Common::Milliseconds kNewsDelay{10};
constexpr std::size_t kDomainsPerMessage = 4;
constexpr Common::Milliseconds kLostCheckInterval{1000};

} // namespace

EvacuationWatch::EvacuationWatch(State &state, Gossip &gossip)
    : state(state), gossip(gossip), announcement(state.context)
{
}

void EvacuationWatch::start()
{
    this->gossip.onDatagram(
        [this](boost::json::object &message, std::uint32_t repeats) {
            EvacuationReport report;
            for (const Common::FailureDomain &domain :
                 Membership::takeNews(this->news, kDomainsPerMessage, repeats)) {
                const auto found = this->state.evacuations.byDomain.find(domain);
                if (found == this->state.evacuations.byDomain.end())
                    continue;
                const Evacuation &belief = found->second;
                report.news.push_back({domain, belief.isEvacuated, belief.position, belief.readAt});
            }
            attachEvacuations(message, report, clockNow());
            return !report.news.empty();
        },
        [this](const boost::json::object &message) {
            this->applyReport(readEvacuations(message, clockNow()), "instance");
        });
    this->gossip.onAllReports([this](boost::json::object &message) {
        attachEvacuations(message, reportOf(this->state.evacuations), clockNow());
    });
    boost::asio::co_spawn(this->state.context, this->endLostBeliefs(), boost::asio::detached);
}

void EvacuationWatch::onChange(std::function<void()> action)
{
    this->changeHandler = std::move(action);
}

void EvacuationWatch::onReturn(std::function<void(const Common::FailureDomain &)> action)
{
    this->returnHandler = std::move(action);
}

bool EvacuationWatch::applyReading(const CatalogUpdate &reading, const StorePosition &position)
{
    for (const EvacuationRow &row : reading.evacuations) {
        if (row.state != EvacuationRowState::Unreadable)
            continue;
        this->state.metrics.count("evacuation_rows_invalid");
        this->state.log.write(LogLine("evacuation-invalid")
                                  .text("domain", row.domain.value)
                                  .number("version", static_cast<std::int64_t>(row.version)),
                              clockNow());
    }
    const auto changes
        = Entry::applyReading(this->state.evacuations, reading, position, clockNow());
    this->noteChanges(changes, "store");
    return !changes.empty();
}

void EvacuationWatch::applyReport(const EvacuationReport &report, std::string_view origin)
{
    this->noteChanges(Entry::applyReport(this->state.evacuations, report, clockNow()), origin);
}

void EvacuationWatch::noteChanges(const std::vector<EvacuationChange> &changes,
                                  std::string_view origin)
{
    if (changes.empty())
        return;
    bool hasTurned = false;
    for (const EvacuationChange &change : changes) {
        Membership::publish(this->news, change.domain, change.domain);
        if (!change.isTurn)
            continue;
        hasTurned = true;
        this->logTurn(change.domain, origin);
        if (this->returnHandler && !isEvacuated(this->state.evacuations, change.domain))
            this->returnHandler(change.domain);
        this->state.metrics.count(labelled("evacuation_changes", "from", origin));
    }
    this->state.metrics.gauges["evacuated_domains"]
        = static_cast<double>(countEvacuated(this->state.evacuations));
    if (hasTurned && this->changeHandler)
        this->changeHandler();
    if (std::exchange(this->isAnnouncementPending, true))
        return;
    this->announcement.start(kNewsDelay, [this] {
        this->isAnnouncementPending = false;
        this->gossip.announce();
    });
}

void EvacuationWatch::logTurn(const Common::FailureDomain &domain, std::string_view origin)
{
    const auto found = this->state.evacuations.byDomain.find(domain);
    if (found == this->state.evacuations.byDomain.end())
        return;
    const Evacuation &belief = found->second;
    this->state.logState(LogLine(belief.isEvacuated ? "domain-evacuated" : "domain-taken-back")
                             .text("domain", domain.value)
                             .text("origin", origin)
                             .number("epoch", static_cast<std::int64_t>(belief.position.epoch))
                             .number("version", static_cast<std::int64_t>(belief.position.version))
                             .milliseconds("ageMs", clockNow() - belief.readAt));
}

Http::Awaitable<void> EvacuationWatch::endLostBeliefs()
{
    while (true) {
        co_await this->state.sleepFor(kLostCheckInterval);
        this->noteChanges(endLost(this->state.evacuations, clockNow()), "lost");
    }
}

} // namespace Tanagerbay::Entry
