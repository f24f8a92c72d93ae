// A stream may go on only at the software version that wrote its first event: within one answer,
// and when its caller takes it up again with another request, at whatever instance.
#include "Entry/RequestFlow.h"

#include <algorithm>

namespace Tanagerbay::Entry {

namespace {

// Retry-After of streams that cannot go on now. An endpoint of the version may come back, and
// another instance may know where the stream began.
constexpr Common::Milliseconds kRetryAfterResumption{300};

// An endpoint that does not say within this time which process it is is not sent a stream. A sound
// one may be silent for a second, which is waited for if there is no other.
constexpr Common::Milliseconds kProcessAnswerTimeout{250};
constexpr Common::Milliseconds kSoleProcessAnswerTimeout{1500};

constexpr unsigned kStatusOk = 200;
// A service may have hundreds of endpoints.
constexpr std::size_t kMaxLoggedEndpoints = 8;

// What an answer with this status says that states no start time.
ProcessStatement statementOf(unsigned status)
{
    return status == kStatusOk ? ProcessStatement::Unstated : ProcessStatement::Refused;
}

bool leadsTo(const Catalog::Route &route, const std::string &service)
{
    return std::any_of(
        route.services.begin(), route.services.end(),
        [&service](const Catalog::WeightedService &option) { return option.service == service; });
}

} // namespace

bool RequestFlow::isResumption() const
{
    return this->isStream() && this->request.lastEvent.has_value();
}

void RequestFlow::noteResumption(std::string_view result, const StreamSearch &search,
                                 const std::vector<Common::EndpointId> &unconfirmed)
{
    const Common::Time now = clockNow();
    const auto readAt = this->dependencies.endpoints.lastReadingBegan();
    std::string names;
    for (std::size_t i = 0; i < std::min(unconfirmed.size(), kMaxLoggedEndpoints); ++i)
        names += (names.empty() ? "" : ",") + unconfirmed[i].value;
    this->state.metrics.count(labelled("streams_resumed", "result", result));
    LogLine line("stream-resumed");
    line.text("request", this->request.id)
        .text("resumes", this->loggedResumedAttempt())
        .number("lastEvent", static_cast<std::int64_t>(*this->request.lastEvent))
        .text("result", result)
        .text("service", this->service)
        .text("version", this->origin ? this->origin->version : "")
        .text("begunAt", this->origin ? this->origin->endpoint.value : "")
        .text("unconfirmed", names)
        .flag("knownHere", search.isKnownHere)
        .number("asked", static_cast<std::int64_t>(search.askedCount))
        .number("unanswered", static_cast<std::int64_t>(search.unansweredCount));
    if (readAt)
        line.milliseconds("listAgeMs", now - *readAt);
    this->state.log.write(line, now);
}

std::optional<std::string> RequestFlow::presumedVersion()
{
    // One service and one version: there is nothing else where the stream can have begun.
    if (this->route->services.size() != 1
        || this->dependencies.endpoints.hasUnlistedProcess(this->service)
        || hasService(this->state.unlisted.heard, this->service))
        return std::nullopt;
    return Routing::onlyVersionSince(this->state.versions, this->service,
                                     this->state.poolOf(this->service),
                                     clockNow() - Routing::kVersionMemory);
}

Http::Awaitable<std::optional<Refusal>> RequestFlow::findOrigin()
{
    std::string attempt = this->request.resumedAttempt;
    const StreamSearch search = co_await this->dependencies.streams.find(
        std::move(attempt), Serving::originExpiry(this->deadline, clockNow()));
    if (search.origin && !search.origin->isPresumed) {
        this->origin = search.origin;
        if (!leadsTo(*this->route, this->origin->service)) {
            this->noteResumption("route-moved", search);
            co_return Refusal{RefusalReason::VersionGone, true, kRetryAfterResumption};
        }
        this->service = this->origin->service;
        this->learnVersion();
        co_await this->confirmOrigin();
        if (!this->origin->isVersionKnown) {
            this->noteResumption(this->origin->isContradicted ? "contradicted"
                                     : this->origin->isStated ? "version-not-listed"
                                                              : "process-not-known",
                                 search);
            co_return Refusal{RefusalReason::StreamUnknown, true, kRetryAfterResumption};
        }
        this->requiredVersion = this->origin->version;
        this->takeEvidence(*this->origin);
        this->noteResumption("known", search);
        co_return std::nullopt;
    }
    // The list is behind: it may not show yet that an endpoint was restarted as another version.
    std::vector<Common::EndpointId> unconfirmed;
    bool isStoreRead = true;
    // Those who have heard another process may have ended.
    if (this->presumedVersion())
        isStoreRead = co_await this->dependencies.versions.readNow();
    const auto isStored = [this] { return hasService(this->state.unlisted.stored, this->service); };
    if (isStoreRead && !isStored() && this->presumedVersion())
        unconfirmed = co_await this->dependencies.processes.ask(this->service);
    if (isStoreRead && !isStored() && unconfirmed.empty())
        this->requiredVersion = this->presumedVersion();
    this->isVersionPresumed = this->requiredVersion.has_value();
    const bool hasUnlisted = this->dependencies.endpoints.hasUnlistedProcess(this->service)
        || hasService(this->state.unlisted.heard, this->service) || isStored();
    this->noteResumption(this->isVersionPresumed    ? "only-version"
                             : !isStoreRead         ? "store-not-read"
                             : hasUnlisted          ? "process-not-listed"
                             : !unconfirmed.empty() ? "process-not-confirmed"
                                                    : "unknown",
                         search, unconfirmed);
    if (!this->isVersionPresumed)
        co_return Refusal{RefusalReason::StreamUnknown, true, kRetryAfterResumption};
    this->isOriginPresumed = true;
    if (search.origin)
        this->takeEvidence(*search.origin);
    co_return std::nullopt;
}

void RequestFlow::takeEvidence(const Serving::StreamOrigin &known)
{
    this->progress.lastBegunEvent = known.lastBegunEvent;
    if (known.doubtedEnd != this->request.lastEvent)
        return;
    this->progress.doubtedEnd = known.doubtedEnd;
    this->progress.doubtedEndpoint = known.doubtedEndpoint;
    this->preferOtherThanDoubted();
}

void RequestFlow::noteStreamBegun()
{
    this->isVersionPresumed = false;
    if (!this->route->resumable)
        return;
    if (!this->origin)
        this->origin = this->sentTo;
    this->requiredVersion = this->origin->version;
    this->isVersionUncertain = !this->origin->isVersionKnown;
    // A caller may also name this attempt when it takes the stream up again.
    Serving::StreamOrigin known = *this->origin;
    known.doubtedEnd.reset();
    known.expiresAt = Serving::originExpiry(this->deadline, clockNow());
    this->dependencies.streams.noteBegun(this->request.id, known);
}

void RequestFlow::noteRestarted(const Common::EndpointId &endpoint, std::uint64_t incarnation,
                                Common::Time since)
{
    if (this->origin && !this->origin->isStated && this->origin->endpoint == endpoint
        && this->origin->incarnation == incarnation && this->origin->sentAt >= since)
        this->isVersionUncertain = true;
}

void RequestFlow::addPeerQuestion(Http::CallOptions &options, const Routing::Endpoint &endpoint)
{
    const Common::Time askedAt = clockNow();
    options.peerQuestion.emplace();
    options.peerQuestion->request = this->state.dialect.writeProcessQuestion();
    options.peerQuestion->timeout
        = this->chooseEndpoint(askedAt) ? kProcessAnswerTimeout : kSoleProcessAnswerTimeout;
    // The question is a request to the endpoint too.
    options.peerQuestion->beforeAsking = [this, &endpoint] {
        if (!this->maySendNow(endpoint.id))
            return false;
        if (this->hasPermit)
            this->takePermit(endpoint.id, 1, clockNow());
        this->isAskingPeer = true;
        return true;
    };
    options.peerQuestion->read = [this, &endpoint, askedAt](const Http::Response &response) {
        this->isAskingPeer = false;
        this->applyResponseHead(
            endpoint, this->state.dialect.readResponseHead(response.status, response.headers),
            askedAt);
        this->statementStatus = response.status;
        const auto process = this->state.dialect.readProcessAnswer(response.body);
        if (process)
            this->dependencies.endpoints.noteStated(endpoint.id, *process, askedAt);
        else
            this->statement = statementOf(response.status);
        this->state.metrics.count(
            labelled("process_questions", "result",
                     Common::nameOf(process ? ProcessStatement::Stated : this->statement)));
        return process;
    };
}

bool RequestFlow::acceptPeer(const Routing::Endpoint &endpoint, const Http::Peer &peer)
{
    if (peer.startTime) {
        this->statement = ProcessStatement::Stated;
        this->dependencies.limits.coldEndpoints().noteProcess(endpoint, *peer.startTime);
    }
    this->isOtherProcess = !this->mayGoOnAt(endpoint, peer);
    if (this->isOtherProcess && !peer.startTime)
        ++this->unknownPeers;
    // The stream may have begun at this very process.
    if (this->isVersionPresumed && this->isOtherProcess && peer.startTime)
        this->isVersionUncertain = true;
    return !this->isOtherProcess;
}

bool RequestFlow::mayGoOnAt(const Routing::Endpoint &endpoint, const Http::Peer &peer) const
{
    if (!this->requiredVersion)
        return true;
    const EndpointDiscovery &endpoints = this->dependencies.endpoints;
    if (peer.startTime)
        return endpoints.versionOf(endpoint.id, *peer.startTime) == this->requiredVersion;
    return endpoints.versionOf(endpoint.id, endpoint.incarnation) == this->requiredVersion
        && endpoints.ranAt(endpoint.id, endpoint.incarnation, peer.connectedAt);
}

void RequestFlow::notePeer(const Http::Peer &peer)
{
    const EndpointDiscovery &endpoints = this->dependencies.endpoints;
    this->sentTo.connectedBy = peer.connectedAt;
    this->sentTo.isStated = peer.startTime.has_value();
    if (!peer.startTime) {
        this->sentTo.isVersionKnown = endpoints.versionOf(this->sentTo).has_value();
        return;
    }
    const auto version = endpoints.versionOf(this->sentTo.endpoint, *peer.startTime);
    this->sentTo.incarnation = *peer.startTime;
    this->sentTo.isVersionKnown = version.has_value();
    this->sentTo.version = version.value_or("");
}

Http::Awaitable<void> RequestFlow::confirmOrigin()
{
    const bool mayAsk = !this->origin->isVersionKnown && !this->origin->isStated
        && this->origin->incarnation != 0;
    if (!mayAsk)
        co_return;
    const Common::Time now = clockNow();
    const std::vector<Routing::Endpoint> &endpoints = this->state.poolOf(this->service).endpoints;
    const auto found = std::find_if(endpoints.begin(), endpoints.end(), [this](const auto &each) {
        return each.id == this->origin->endpoint && each.incarnation == this->origin->incarnation
            && !each.isEvacuated;
    });
    // The question is a request to the endpoint too.
    if (found == endpoints.end() || Routing::isLimited(found->gate) || Routing::isHeld(*found, now))
        co_return;
    const Routing::Endpoint endpoint = *found;
    Http::CallOptions options = this->callOptions(now);
    options.deadline = std::min<Common::Time>(this->deadline, now + kProcessAnswerTimeout);
    options.connectTimeout = kProcessAnswerTimeout;
    const ProcessReply reply = co_await askForProcess(this->state, endpoint, options);
    if (reply.head)
        this->applyResponseHead(endpoint, *reply.head, now);
    if (reply.startTime)
        this->dependencies.endpoints.noteStated(endpoint.id, *reply.startTime, now);
    const ProcessStatement statement = reply.startTime ? ProcessStatement::Stated
        : reply.head                                   ? statementOf(reply.head->status)
                                                       : ProcessStatement::Unanswered;
    this->state.metrics.count(labelled("process_questions", "result", Common::nameOf(statement)));
    this->learnVersion();
}

void RequestFlow::learnVersion()
{
    if (this->isVersionPresumed && this->presumedVersion() != this->requiredVersion)
        this->isVersionUncertain = true;
    if (!this->origin || this->origin->isVersionKnown)
        return;
    const auto version = this->dependencies.endpoints.versionOf(*this->origin);
    if (!version)
        return;
    this->origin->version = *version;
    this->origin->isVersionKnown = true;
    this->requiredVersion = version;
    this->isVersionUncertain = false;
}

bool RequestFlow::isVersionListed() const
{
    const auto found = this->state.pools.find(this->service);
    if (found == this->state.pools.end() || this->isVersionUncertain)
        return false;
    const std::vector<Routing::Endpoint> &endpoints = found->second.endpoints;
    return std::any_of(endpoints.begin(), endpoints.end(), [this](const Routing::Endpoint &each) {
        return Routing::hasVersion(each, this->requiredVersion) && !Routing::isLeaving(each);
    });
}

RefusalReason RequestFlow::reasonNoEndpoint() const
{
    if (this->isVersionPresumed && this->isVersionUncertain)
        return RefusalReason::StreamUnknown;
    if (this->requiredVersion && !this->isVersionListed())
        return RefusalReason::VersionGone;
    return this->isRateLimited(clockNow()) ? RefusalReason::RateLimited : RefusalReason::NoEndpoint;
}

std::string RequestFlow::loggedResumedAttempt() const
{
    constexpr std::size_t kMaxLoggedLength = 64;
    return this->request.resumedAttempt.substr(0, kMaxLoggedLength);
}

} // namespace Tanagerbay::Entry
