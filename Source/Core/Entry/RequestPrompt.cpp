// Places a prompt by the expected time to its first event, and learns from the time that it took.
#include "Entry/LoadQuestion.h"
#include "Entry/RequestFlow.h"

#include <algorithm>

namespace Tanagerbay::Entry {

namespace {

// Callers choose the number of parts and of tokens.
constexpr std::size_t kMaxSharedParts = 8;
constexpr std::uint64_t kMaxPromptTokens = 1'000'000;
// How many times longer than usual a prompt takes at a slow endpoint on a busy machine, and the
// part of the time left that it may take there without a question for the load.
constexpr double kAdverseFactor = 4;
constexpr double kUnaskedPart = 0.5;
// An endpoint that does not answer within this time is judged by what is known.
constexpr Common::Milliseconds kQuestionTimeout{40};
// A report as recent as this is not asked for again.
constexpr Common::Milliseconds kRecentReport{30};
// Streams with fewer events say little of an endpoint's pace.
constexpr std::uint64_t kMinGaps = 3;

} // namespace

Routing::PromptWork RequestFlow::promptWork(Common::Time now) const
{
    Routing::PromptWork work;
    const std::vector<PromptPart> &parts = this->request.prompt.parts;
    // The last part is this request's own, unless it is the only one.
    const std::size_t shared
        = std::min(parts.size() > 1 ? parts.size() - 1 : parts.size(), kMaxSharedParts);
    std::uint64_t sharedTokens = 0;
    for (std::size_t i = 0; i < shared; ++i) {
        const std::uint64_t tokens = std::min(parts[i].tokens, kMaxPromptTokens);
        work.shared.push_back({parts[i].id, tokens});
        sharedTokens += tokens;
    }
    const std::uint64_t all = std::min(this->request.prompt.tokensIn, kMaxPromptTokens);
    work.ownTokens = all > sharedTokens ? all - sharedTokens : 0;
    work.hasInputs = !this->stageResults.empty();
    work.inputDomain = this->stageInputDomain.value_or(this->state.settings.failureDomain);
    work.senders = this->state.liveInstanceCount(now);
    return work;
}

std::optional<std::size_t> RequestFlow::chooseForPrompt(const Routing::Pool &pool, Common::Time now)
{
    Routing::AffinityRequest affinity{this->affinityKey(), this->triedEndpoints,
                                      this->requiredVersion};
    if (!pool.reportsContention)
        return Routing::chooseByAffinity(pool, affinity, now);
    const Routing::PromptWork work = this->promptWork(now);
    // Without an answer, an endpoint would be judged as idle.
    affinity.tried.insert(affinity.tried.end(), this->silentEndpoints.begin(),
                          this->silentEndpoints.end());
    this->promptChoice = Routing::chooseForPrompt(pool, affinity, work, this->request.id, now);
    if (!this->promptChoice && !this->silentEndpoints.empty()) {
        affinity.tried = this->triedEndpoints;
        this->promptChoice = Routing::chooseForPrompt(pool, affinity, work, this->request.id, now);
    }
    return this->promptChoice ? std::optional(this->promptChoice->index) : std::nullopt;
}

Http::Awaitable<void> RequestFlow::askCandidates()
{
    this->silentEndpoints.clear();
    const Common::Time now = clockNow();
    const Routing::Pool &pool = this->state.poolOf(this->service);
    const Catalog::Service *entry = Catalog::findService(*this->catalog, this->service);
    const Common::Duration left = this->request.receivedAt + this->route->objective - now;
    if (!pool.reportsContention || !entry || !entry->engine || entry->healthPath.empty()
        || !this->isStream() || this->exchange.started() || left <= Common::Duration(0))
        co_return;
    const Routing::PromptWork work = this->promptWork(now);
    const double adverse = kAdverseFactor * Routing::secondsPerToken(pool.rates)
        * static_cast<double>(this->request.prompt.tokensIn);
    if (adverse < kUnaskedPart * Common::toSeconds(left))
        co_return;
    std::vector<Routing::Endpoint> asked;
    for (const Routing::PromptCandidate &candidate : Routing::promptCandidates(
             pool, {this->affinityKey(), this->triedEndpoints, this->requiredVersion}, work,
             this->request.id, now)) {
        const Routing::Endpoint &endpoint = pool.endpoints[candidate.index];
        // A question would take the permit of a request.
        if (now - endpoint.reportedAt > kRecentReport && !Routing::isLimited(endpoint.gate))
            asked.push_back(endpoint);
    }
    if (asked.empty())
        co_return;
    std::size_t idle = Http::CallOptions().maxIdleConnections;
    if (entry->maxConnections > 0)
        idle = Catalog::idleConnectionsAllowed(*entry, this->state.liveInstanceCount(now));
    std::vector<Common::EndpointId> askedIds;
    for (const Routing::Endpoint &endpoint : asked)
        askedIds.push_back(endpoint.id);
    // A late answer may arrive after this request has ended.
    HeadListener onHead = [&limits = this->dependencies.limits](
                              const Routing::Endpoint &endpoint, const EndpointResponseHead &head,
                              Common::Time askedAt) { limits.noteAnswer(endpoint, head, askedAt); };
    co_await askForLoads(this->state, this->service, entry->healthPath, std::move(asked),
                         kQuestionTimeout, idle, std::move(onHead));
    const Routing::Pool &current = this->state.poolOf(this->service);
    for (const Common::EndpointId &id : askedIds) {
        const auto found = current.indexById.find(id);
        if (found != current.indexById.end() && current.endpoints[found->second].reportedAt < now)
            this->silentEndpoints.push_back(id);
    }
}

void RequestFlow::beginPrompt(const Common::EndpointId &id, Common::Time now)
{
    this->promptSend.reset();
    Routing::Pool &pool = this->state.poolOf(this->service);
    const auto found = pool.indexById.find(id);
    if (!pool.reportsContention || found == pool.indexById.end() || !this->isStream())
        return;
    const Routing::Endpoint &endpoint = pool.endpoints[found->second];
    const Routing::PromptWork work = this->promptWork(now);
    const bool isAsChosen = this->promptChoice && this->promptChoice->index == found->second;
    const double homeBelief = isAsChosen ? this->promptChoice->homeBelief : 0;
    PromptSend sent;
    sent.sentAt = now;
    sent.ownTokens = Routing::tokensToRead(pool, endpoint, work, homeBelief, now);
    sent.tokens = Routing::tokensAhead(pool, endpoint, now) + sent.ownTokens;
    sent.expected = Routing::expectedFirstEvent(pool, endpoint, work, now, homeBelief);
    sent.contention = Routing::currentContention(endpoint, now);
    if (this->promptChoice)
        sent.reason = this->promptChoice->reason;
    this->promptSend = sent;
    if (this->promptChoice)
        this->state.metrics.count(
            labelled("prompt_choices", "reason", Common::nameOf(this->promptChoice->reason)));
    Routing::noteSent(pool, found->second, work, now);
}

void RequestFlow::notePromptBegun(const Common::EndpointId &id, Common::Time now)
{
    Routing::Pool &pool = this->state.poolOf(this->service);
    const auto found = pool.indexById.find(id);
    if (!this->promptSend || found == pool.indexById.end())
        return;
    const Routing::Endpoint &endpoint = pool.endpoints[found->second];
    PromptSend &sent = *this->promptSend;
    sent.beganAt = now;
    const Common::Duration took = now - sent.sentAt;
    const bool isLater = took > sent.expected;
    this->state.metrics.time(
        labelled("first_event_error", "direction", isLater ? "later" : "sooner"),
        isLater ? took - sent.expected : sent.expected - took);
    // The report of the answer tells how it was at the end of the reading.
    const double contention = (sent.contention + Routing::currentContention(endpoint, now)) / 2;
    sent.contention = Routing::currentContention(endpoint, now);
    Routing::notePrompt(pool.rates, sent.ownTokens);
    Routing::noteRead(pool.rates, sent.tokens,
                      Common::toSeconds(took) / (contention * endpoint.lastingPace.relative));
}

void RequestFlow::notePromptEnded(const Common::EndpointId &id, Common::Time now)
{
    Routing::Pool &pool = this->state.poolOf(this->service);
    const auto found = pool.indexById.find(id);
    const std::uint64_t events = this->events.eventCount() - this->eventsBeforeSend;
    if (!this->promptSend || !this->promptSend->beganAt || found == pool.indexById.end()
        || events <= kMinGaps)
        return;
    Routing::Endpoint &endpoint = pool.endpoints[found->second];
    const Common::Duration streamed = now - *this->promptSend->beganAt;
    const double contention = Routing::meanContention(this->promptSend->contention, streamed);
    Routing::noteGap(pool.rates, endpoint.lastingPace,
                     Common::toSeconds(streamed) / (static_cast<double>(events - 1) * contention));
    this->dependencies.paces.publish(endpoint);
}

void RequestFlow::addPromptSend(LogLine &line) const
{
    if (!this->promptSend)
        return;
    line.milliseconds("expectedMs", this->promptSend->expected);
    if (this->promptSend->beganAt)
        line.milliseconds("beganMs", *this->promptSend->beganAt - this->promptSend->sentAt);
    if (this->promptSend->reason)
        line.text("choice", Common::nameOf(*this->promptSend->reason));
}

} // namespace Tanagerbay::Entry
