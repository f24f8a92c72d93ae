// Serves one caller's request: admission, pipeline stages, sends to endpoints, relayed response.
#pragma once

#include "Common/DelayedAction.h"
#include "Entry/CatalogSync.h"
#include "Entry/CrashWatch.h"
#include "Entry/EndpointDiscovery.h"
#include "Entry/LimitWatch.h"
#include "Entry/PaceWatch.h"
#include "Entry/PathWatch.h"
#include "Entry/ProcessCensus.h"
#include "Entry/ProcessQuestion.h"
#include "Entry/StageRun.h"
#include "Entry/StreamRegistry.h"
#include "Entry/VersionRows.h"
#include "Http/Server.h"
#include "Routing/PromptChoice.h"
#include "Serving/Attempt.h"
#include "Serving/EventSequence.h"
#include "Serving/GracefulShutdown.h"
#include "Serving/StreamProgress.h"

#include <boost/intrusive/list.hpp>

namespace Tanagerbay::Entry {

// Components of the instance that requests use.
struct RequestDependencies
{
    State &state;
    CatalogSync &catalogs;
    EndpointDiscovery &endpoints;
    StageClient &stages;
    CrashWatch &crashWatch;
    StreamRegistry &streams;
    LimitWatch &limits;
    PathWatch &paths;
    PaceWatch &paces;
    ProcessCensus &processes;
    VersionRows &versions;
};

// Who sent a request to this instance.
enum class RequestSource {
    Caller,
    // Another instance, which could not send it to an endpoint.
    Instance,
};

// Removes itself from the list of open requests when it is destroyed.
using OpenRequestHook
    = boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

class RequestFlow : public OpenRequestHook
{
public:
    RequestFlow(const RequestDependencies &dependencies, Http::Exchange &exchange,
                CallerRequest request, RequestSource source);

    // Serves the request until it is answered, refused or abandoned by its caller.
    Http::Awaitable<void> run();
    Serving::RequestPhase phase() const;
    // Returns whether the instance's shutdown ends this request.
    bool mustEnd(const Serving::GracefulShutdown &shutdown, Common::Time now) const;
    // Makes `run` answer the caller at once, without another send. The response must not have
    // begun.
    void endForShutdown();
    // Returns whether the request must not be sent to an endpoint any more, and its answer has not
    // begun at the endpoint where it is.
    bool isQuarantined() const;
    // Makes `run` answer the caller at once, without another send.
    void endForQuarantine();
    // Called after `run`. Lets another request be the trial if no endpoint has run this one.
    void endTrial();
    // Takes note that an endpoint was restarted with another software version. A request that was
    // sent to it at `since` or later may have reached the new process.
    void noteRestarted(const Common::EndpointId &endpoint, std::uint64_t incarnation,
                       Common::Time since);
    // Records that the exit of the process ends this request without a complete response.
    void recordCutByExit();

private:
    // Why a request in progress gets its final answer at once.
    enum class EarlyEnd {
        Shutdown,
        Quarantine,
        // A doubt about the end of a stream has taken too long.
        Doubt,
    };

    // Result of one send to an endpoint.
    // No aggregate, since it is passed to coroutines by value. See Tools/check-awaited-temporaries.
    struct SendResult
    {
        SendResult() = default;

        Serving::SendOutcome outcome = Serving::SendOutcome::Unknown;
        // How long the send took; set at least where nothing was sent.
        Common::Duration duration{0};
        // Whether the complete response was relayed to the caller.
        bool isAnswered = false;
        // The endpoint's error response, relayed if the request is not retried.
        std::optional<Http::Response> failure;
        // The connection ended before the answer was complete.
        bool connectionLost = false;
        // It was lost behind a caller that did not read.
        bool isHeldBack = false;
        // The endpoint reported that a stage result is no longer available.
        bool inputsGone = false;
        std::string detail;
        // Nothing was sent, since the endpoint had stated a limit or was evacuated after it was
        // chosen.
        bool isTurnedBack = false;
        // The stream's answer ended in order without framing, and nobody has confirmed its end.
        bool hasDoubtfulEnd = false;
        // Nothing was sent, since the process behind the connection is not one that may go on with
        // the stream, or ended before it said which one it is.
        bool isOtherProcess = false;
    };

    Http::Awaitable<bool> admit();
    // Finds out where a stream that is taken up again began. Returns false if the request was
    // refused.
    Http::Awaitable<bool> admitResumption();
    // Whether another instance must go on with the request, since this one reaches no endpoint.
    bool mustForward() const;
    // Passes the request on. Returns false if nobody took it, so that it has certainly not run.
    Http::Awaitable<bool> forward();
    Http::Awaitable<SendResult> sendToInstance(const Membership::Member &instance);
    Http::CallOptions forwardOptions(Common::Time now);
    Http::Awaitable<std::optional<Refusal>> checkRoute();
    std::optional<RefusalReason> findRouteAndWorkspace();
    // Whether the request takes up a stream that an earlier attempt of its caller began.
    bool isResumption() const;
    // Finds out which version began the stream that the request takes up. Returns the refusal if
    // that is not known, or if the route does not lead there any more.
    Http::Awaitable<std::optional<Refusal>> findOrigin();
    // Returns the only version at which a stream can have begun that nobody knows; nothing if there
    // may have been several.
    std::optional<std::string> presumedVersion();
    // `unconfirmed` are the endpoints that may be another process than the list shows.
    void noteResumption(std::string_view result, const StreamSearch &search,
                        const std::vector<Common::EndpointId> &unconfirmed = {});
    // Takes over what others have told of the stream's end.
    void takeEvidence(const Serving::StreamOrigin &known);
    // Records which endpoint wrote the first event, before the caller gets it.
    void noteStreamBegun();
    // Makes the send of a stream ask for the process behind its connection, since the list is
    // outdated for some time after a restart.
    void addPeerQuestion(Http::CallOptions &options, const Routing::Endpoint &endpoint);
    // Notes what is known of the process behind a connection to the endpoint. Returns whether it
    // may be sent the request.
    bool acceptPeer(const Routing::Endpoint &endpoint, const Http::Peer &peer);
    bool mayGoOnAt(const Routing::Endpoint &endpoint, const Http::Peer &peer) const;
    // Records which process was sent the request.
    void notePeer(const Http::Peer &peer);
    // Asks the endpoint where a stream began whether the listed process still runs there, if
    // nothing else tells which process began the stream.
    Http::Awaitable<void> confirmOrigin();
    // Looks the version of the process up that began the stream, if it was not listed at that time.
    // Doubts one that was presumed, if a process has turned up that is not listed.
    void learnVersion();
    // Whether an endpoint that is not leaving runs the version that the request requires.
    bool isVersionListed() const;
    // Why no endpoint can be chosen.
    RefusalReason reasonNoEndpoint() const;
    std::string loggedResumedAttempt() const;
    Http::Awaitable<bool> runStages();
    StagePlan makeStagePlan(const Routing::Endpoint &endpoint) const;
    // Returns when the caller is expected to give up: at the deadline, or earlier on a stream that
    // delivers no event.
    Common::Time expectedAbandonAt() const;
    // Time without an event after which callers abandon a stream.
    Common::Duration abandonTimeout() const;
    // Returns a retry delay with random jitter, so that refused callers do not retry at once, and
    // not before there is room.
    Common::Duration retryAfterWithJitter(std::optional<Common::Duration> roomIn);
    // Returns the retry delay of a request that finds no endpoint to be sent to.
    Common::Duration retryAfterNoEndpoint();
    // Whether the request begins work, rather than going on with a stream.
    bool isNewWork() const;
    // Returns when an endpoint with a rate limit permits the next send; nothing if none does, or
    // the request would not wait for it.
    std::optional<Routing::NextSend> nextPermit(Common::Time now) const;
    // Latest time of a send that can still be answered in time.
    Common::Time latestSend() const;
    // Whether the request's turn to be sent comes in time, if it waits for a permit.
    bool mayWaitForPermit(Common::Time now) const;
    // Whether only endpoints with rate limits are left, the chosen one among them, and other
    // requests that wait for their permits go first.
    bool mustQueueForPermit(std::size_t chosen, Common::Time now) const;
    // Waits for the request's turn. Returns early if it will not come in time.
    Http::Awaitable<void> waitForPermit();
    // Like `chooseEndpoint`; where no endpoint permits a send now, returns the one that does first.
    std::optional<std::size_t> chooseSoonest(Common::Time now);
    // Takes the permit for so many sends to the endpoint, if it limits them.
    void takePermit(const Common::EndpointId &id, int sends, Common::Time now);
    // Counts a send from which a cold endpoint was held back.
    void countColdHold(Common::Time now);
    // Returns whether the request may still be sent, immediately before its first byte is written.
    bool maySendNow(const Common::EndpointId &id);
    // Whether the limit of an endpoint keeps the request from being sent to it.
    bool isRateLimited(Common::Time now) const;
    Common::Duration retryAfterLimit(Common::Time now);
    Http::Awaitable<void> sendUntilAnswered();
    std::optional<std::size_t> chooseEndpoint(Common::Time now);
    std::optional<std::size_t> chooseForPrompt(const Routing::Pool &pool, Common::Time now);
    Routing::PromptWork promptWork(Common::Time now) const;
    // Asks the endpoints that the choice compares for their load, if a wrong choice could make the
    // first event late.
    Http::Awaitable<void> askCandidates();
    // Record that the prompt is sent to an endpoint of a pool that reports contention, that its
    // first event has come, and that its stream has ended.
    void beginPrompt(const Common::EndpointId &id, Common::Time now);
    void notePromptBegun(const Common::EndpointId &id, Common::Time now);
    void notePromptEnded(const Common::EndpointId &id, Common::Time now);
    void addPromptSend(LogLine &line) const;
    // Returns why a request must not be retried on another endpoint; empty if it may be. Consumes
    // one extra send of the service's retry budget if the retry needs it.
    std::string_view retryDenialReason(const SendResult &last, Common::Time now);
    bool takeFromRetryBudget(Common::Time now);
    Http::Awaitable<SendResult> sendTo(const Routing::Endpoint &endpoint);
    // Relays the answer of an endpoint, or of an instance that has passed one on: `endpoint` is
    // null then.
    Http::Awaitable<SendResult> relayAnswer(Http::ResponseStream &stream,
                                            const EndpointResponseHead &answer,
                                            const Routing::Endpoint *endpoint);
    // Returns why a body that has been read to its end is not complete; empty if it is. If it ended
    // with its connection, the endpoint is asked whether the process that wrote it still runs.
    Http::Awaitable<std::string> faultAtEnd(Http::BodyEnd end, const Routing::Endpoint *endpoint);
    // Number of events that the most tokens of the request make; zero if not known.
    std::uint64_t maxEvents() const;
    // Whether the part of the retry budget that is meant for doubted ends has room.
    bool isDoubtAffordable(Common::Time now);
    // Doubts the end of the stream, for a limited time since `endedAt`.
    void beginDoubt(Common::Time endedAt);
    // Ends the doubt if an endpoint has shown that more follows.
    void settleDoubt();
    // Counts a stream that runs once and is cut, as its service does not frame it. The first one of
    // a service is logged.
    void noteUnframedCut();
    // Tells other instances what is known of the end of a stream that is not complete, before the
    // caller learns of it. It may take the stream up anywhere.
    void noteIncompleteStream();
    // Makes another endpoint than the one that ended the stream confirm the end, if there is one.
    void preferOtherThanDoubted();
    // Relays the end of an answer, unless it is doubted or a fault.
    Http::Awaitable<SendResult> relayStreamEnd(Http::ResponseStream &stream, Http::BodyEnd end,
                                               const Routing::Endpoint *endpoint);
    // Asks whether the process that wrote the last answer still runs.
    Http::Awaitable<ProcessAnswer> confirmWriter(const Routing::Endpoint *endpoint,
                                                 Common::Time until);
    Http::CallOptions callOptions(Common::Time now);
    // Returns until when the endpoint may make no progress. `progressAt` is when the request was
    // sent or its last event arrived.
    Common::Time sendDeadline(Common::Time progressAt, Common::Time now);
    Common::Duration inactivityTimeout() const;
    // Whether another send is left after the current one.
    bool hasAnotherAttempt() const;
    // Returns whether a stream that has begun may be resumed at another endpoint, since its
    // endpoint makes no progress.
    bool mayLeaveSilentEndpoint(Common::Time now);
    // Returns whether another endpoint and the retry budget would permit another send now.
    bool couldResumeElsewhere(Common::Time now);
    // A stream that waits for the next event of its endpoint.
    struct EventWait
    {
        explicit EventWait(boost::asio::io_context &context) : check(context)
        {
        }

        Common::DelayedAction check;
        Common::Time progressAt;
        // Not set while the caller takes its time to read the events.
        bool isReading = false;
        bool isWatched = false;
        // The call was cancelled, since the endpoint made no progress.
        bool hasTimedOut = false;
    };
    // Ends the call of a stream that has begun once its endpoint has made no progress for too long
    // and another one could go on. Whether one could is decided then: meanwhile other requests may
    // have used the retry budget.
    void watchSilence(EventWait &wait, Common::Time now);
    void applyResponseHead(const Routing::Endpoint &endpoint, const EndpointResponseHead &answer,
                           Common::Time sentAt);
    // Reports an endpoint that may have crashed before it began its answer.
    void noteConnectionLost(const Routing::Endpoint &endpoint);
    Http::Awaitable<SendResult> readNotRunResponse(Http::ResponseStream &stream, unsigned status,
                                                   bool isForThisRequest);
    Http::Awaitable<SendResult> relayBufferedResponse(Http::ResponseStream &stream,
                                                      const EndpointResponseHead &answer,
                                                      const Routing::Endpoint *endpoint);
    Http::Awaitable<SendResult> relayEventStream(Http::ResponseStream &stream,
                                                 const Routing::Endpoint *endpoint);
    Http::Awaitable<bool> relayReadyEvents(const Http::Headers &headers, unsigned status);
    // A body that has been read to its end.
    struct Body
    {
        std::string bytes;
        Http::BodyEnd end = Http::BodyEnd::Whole;
    };
    Http::Awaitable<Http::CallResult<Body>> readBody(Http::ResponseStream &stream);
    // Records how the last answer ended; no end if it was lost.
    void noteEnd(const Http::ResponseStream &stream, std::optional<Http::BodyEnd> end);
    Http::Awaitable<void> refuse(Refusal refusal, std::string_view detail);
    Http::Awaitable<void> endUnanswered(Serving::NextStep step, SendResult last);
    void recordEnd(std::string_view outcome, std::string_view detail);
    // Records the end of a send that brought no complete answer. `denialReason` tells why there is
    // no other one; empty if there is.
    void recordSendEnd(const Routing::Endpoint &endpoint, const SendResult &sent,
                       std::string_view denialReason);
    // Adds what marks the end of the last answer, and the process that wrote a stream's first
    // event.
    void addEvidence(LogLine &line) const;
    // Empty if the route needs no API key.
    Common::WorkspaceId workspaceId() const;
    bool isStream() const;
    std::string_view affinityKey() const;
    // Returns the names of the prompt parts that other requests may share, separated by commas.
    std::string sharedPartNames() const;
    Common::Duration estimatedEngineTime() const;
    // Time from sending the request to the end of its response with the most tokens it may have;
    // zero if unknown.
    Common::Duration estimatedResponseTime() const;
    // Returns whether the instance is shutting down and no longer accepts this request, which takes
    // up to `timeout`.
    bool isRefusedByShutdown(Common::Duration timeout, Common::Time now) const;
    // Returns whether the instance may exit before the catalog is confirmed. A confirmation cannot
    // be cancelled.
    bool cannotConfirmBeforeExit(Common::Time now) const;
    // Returns the final answer of a request that the shutdown ends before it is sent again.
    Refusal refusalForShutdown() const;
    Refusal refusalForQuarantine() const;
    // The same for a request that was ended while it was in progress.
    Refusal refusalForEarlyEnd() const;
    // Returns whether the request must not be sent now, because it would crash its endpoint. May
    // make it the one request that is sent nevertheless.
    bool isHeldBackByQuarantine();
    // Records whether a send shows that a trial is made.
    void noteSend(const SendResult &sent);
    // Why there is no other send; the request must have been ended early.
    std::string_view earlyEndName() const;
    // Cancels whatever the request waits for.
    void endEarly(EarlyEnd reason);
    // Records that an endpoint has begun to answer, and so was not crashed by the request.
    void noteAnswerBegun();
    // Whether the answer of the endpoint where the request is has begun.
    bool hasAnswerBegun() const;
    Common::Duration timeLeft(Common::Time now) const;

    RequestDependencies dependencies;
    State &state;
    Http::Exchange &exchange;
    CallerRequest request;
    RequestSource source;
    // The instance that goes on with the request; empty while this one does.
    Common::InstanceId forwardedTo;
    // The catalog version used for the whole request.
    Catalog::CatalogPtr catalog;
    const Catalog::Route *route = nullptr;
    const Catalog::Workspace *workspace = nullptr;
    int priority = 0;
    std::string service;
    Common::Time deadline;
    Serving::AttemptState attempts;
    std::vector<Common::EndpointId> triedEndpoints;
    Serving::EventSequence events;
    std::unique_ptr<StageRun> stageRun;
    std::vector<std::string> stageResults;
    // Whether the stage results were released; another send must compute them again.
    bool stageResultsReleased = false;
    Http::CallHandle call;
    bool callerGone = false;
    std::optional<EarlyEnd> earlyEnd;
    std::vector<Quarantine::Trait> traits;
    // Traits of the suspicion that the request is sent for, to find out whether it still crashes
    // its endpoint.
    std::optional<std::vector<Quarantine::Trait>> trialTraits;
    // Whether an endpoint may have run the request since.
    bool isTrialMade = false;
    // Number of events that earlier endpoints have delivered.
    std::uint64_t eventsBeforeSend = 0;
    bool isEndRecorded = false;
    boost::asio::steady_timer permitTimer;
    // The endpoint limited its requests when the permit for the current send was taken.
    bool hasPermit = false;
    bool isTurnedBack = false;
    std::optional<Common::Time> firstEventAt;
    std::optional<Common::Time> stagedAt;
    // The domain for which the stages were planned.
    std::optional<Common::FailureDomain> stageInputDomain;
    // The last choice by expected time.
    std::optional<Routing::PromptChoice> promptChoice;
    // What was expected of the last send of a prompt.
    struct PromptSend
    {
        Common::Time sentAt;
        std::optional<Common::Time> beganAt;
        // Tokens that were to be read before the first event.
        double tokens = 0;
        // Those of this prompt.
        double ownTokens = 0;
        Common::Duration expected{0};
        // At the send, and since the first event at that.
        double contention = 1;
        std::optional<Routing::PromptChoiceReason> reason;
    };
    std::optional<PromptSend> promptSend;
    // Endpoints that did not answer the last question for their load in time.
    std::vector<Common::EndpointId> silentEndpoints;
    // The endpoint process of the last send.
    Serving::StreamOrigin sentTo;
    // What marks the end of the last answer.
    std::optional<Http::BodyFraming> lastFraming;
    // How it ended; unset if it was lost.
    std::optional<Http::BodyEnd> lastEnd;
    // Whether the whole request had been handed to the system by then.
    bool wasLastRequestWritten = false;
    Serving::StreamProgress progress;
    bool isIncompleteNoted = false;
    Common::DelayedAction doubtTimer;
    // The endpoint process that began the stream, by this request or the one that it takes up.
    std::optional<Serving::StreamOrigin> origin;
    // If set, only endpoints that run this software version may be sent the request.
    std::optional<std::string> requiredVersion;
    // Nobody knows where the stream began: `requiredVersion` is the only one that the list names.
    bool isVersionPresumed = false;
    // The same, also after an event has come from there.
    bool isOriginPresumed = false;
    // The process that began the stream may have been another one than `origin` tells, or its
    // version is not known.
    bool isVersionUncertain = false;
    bool isOtherProcess = false;
    // The endpoint has not answered the question for its process yet.
    bool isAskingPeer = false;
    // What the process of the last send has said of itself: `Stated` if it was now or before, the
    // others if it was asked now.
    ProcessStatement statement = ProcessStatement::None;
    // Status of its answer if it was asked now.
    std::optional<unsigned> statementStatus;
    // Whether the connection of the last send had carried a request before. A process that has
    // stated itself on it is not asked again.
    std::optional<bool> isConnectionReused;
    // How often a stream did not go on at an endpoint of its version, since the process behind the
    // connection is not known.
    int unknownPeers = 0;
    // Age of the list when the endpoint of the last send was chosen.
    std::optional<Common::Duration> listAge;
    // `Responding` follows from the exchange and is never stored here.
    Serving::RequestPhase lastPhase = Serving::RequestPhase::Admission;
};

// Requests that the instance has read and not ended yet.
using OpenRequests
    = boost::intrusive::list<RequestFlow, boost::intrusive::constant_time_size<false>>;

} // namespace Tanagerbay::Entry
