#include "Node/StageCall.h"

#include "Pipeline/Wire.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::Node {

namespace asio = boost::asio;
namespace Wire = Pipeline::Wire;

using Common::Counter;
using Common::ErrorCode;

namespace {

// Minimum delay between an attempt and its hedge.
constexpr Common::Milliseconds kMinHedgeDelay{10};
constexpr std::uint64_t kMinHedgeSamples = 30;
constexpr double kHedgeDelayFactor = 1.3;

struct Attempt
{
    Pipeline::AttemptTag tag;
    Common::EndpointId endpoint;
    Http::CallHandle handle;
    std::optional<Http::CallResult<Http::Response>> result;
    // Set once the waiting coroutine has evaluated the result.
    bool isEvaluated = false;
};
using AttemptPtr = std::shared_ptr<Attempt>;

// The attempts of one call, and the timer that wakes the coroutine that waits for them.
struct AttemptSet
{
    explicit AttemptSet(const asio::any_io_executor &executor) : wakeTimer(executor)
    {
    }

    asio::steady_timer wakeTimer;
    std::vector<AttemptPtr> attempts;
    std::vector<Common::EndpointId> tried;

    std::size_t openAttempts() const
    {
        std::size_t open = 0;
        for (const AttemptPtr &attempt : this->attempts)
            open += attempt->isEvaluated ? 0 : 1;
        return open;
    }
    // Whether an attempt has ended that is not evaluated yet.
    bool hasResult() const
    {
        return std::any_of(
            this->attempts.begin(), this->attempts.end(),
            [](const AttemptPtr &attempt) { return attempt->result && !attempt->isEvaluated; });
    }
    void cancelAll()
    {
        for (const AttemptPtr &attempt : this->attempts) {
            if (!attempt->result)
                attempt->handle.cancel();
        }
    }
};
using AttemptSetPtr = std::shared_ptr<AttemptSet>;

Routing::CallEnd callEndOf(const Http::CallResult<Http::Response> &result)
{
    using Routing::CallEnd;
    if (result)
        return result->status >= 500 ? CallEnd::Failed : CallEnd::Succeeded;
    if (result.error().failure == Http::CallFailure::Cancelled)
        return CallEnd::Cancelled;
    if (result.error().failure == Http::CallFailure::ConnectFailed)
        return CallEnd::Unreachable;
    return CallEnd::Failed;
}

Http::Awaitable<void> runAttempt(Worker &worker, SharedState &shared, std::string poolName,
                                 AttemptSetPtr attemptSet, AttemptPtr attempt,
                                 Common::Address address, Http::Request request,
                                 Http::CallOptions options)
{
    const Common::Time start = clockNow();
    options.handle = &attempt->handle;
    options.acceptHead = attemptTagCheck(shared, attempt->tag);
    auto result = co_await worker.client.call(std::move(address), std::move(request), options);
    const Common::Time now = clockNow();
    Routing::CallReport report;
    report.endpoint = attempt->endpoint;
    report.end = callEndOf(result);
    report.duration = now - start;
    report.pace = report.duration;
    if (result) {
        report.busy = parseMicros(result->headers.find(Wire::kBusyMicros));
        report.load = parseLoadReport(result->headers.find(Wire::kLoadReport));
    }
    PoolShard &shard = shared.poolNamed(poolName);
    {
        const std::lock_guard<std::mutex> guard(shard.lock);
        Routing::endCall(shard.pool, report, now);
    }
    if (report.end != Routing::CallEnd::Cancelled) {
        shared.metrics.recordStageCall(poolName, report.end == Routing::CallEnd::Succeeded,
                                       report.duration, report.busy);
    }
    attempt->result = std::move(result);
    attemptSet->wakeTimer.cancel();
}

bool startAttempt(RequestScope &scope, Pipeline::Run &run, const StageCall &call,
                  const AttemptSetPtr &attemptSet, bool hedge)
{
    PoolShard &shard = scope.shared.poolNamed(call.pool);
    Routing::ChoiceRequest choice;
    choice.failureDomain = scope.shared.settings.failureDomain;
    choice.tried = attemptSet->tried;
    const auto chosen = chooseEndpoint(scope, shard, choice);
    if (!chosen)
        return false;
    const Common::Time now = clockNow();
    auto attempt = std::make_shared<Attempt>();
    attempt->tag = Pipeline::beginAttempt(run, randomId(scope.worker.random), hedge);
    attempt->endpoint = chosen->id;
    attemptSet->attempts.push_back(attempt);
    attemptSet->tried.push_back(chosen->id);
    Http::Request request{"POST", call.target,
                          callHeaders(scope, attempt->tag, call.contentType, call.deadline, now),
                          call.body};
    Http::CallOptions options;
    options.deadline = call.deadline;
    options.requiresFraming = true;
    scope.shared.counters.add(Counter::StageAttempts);
    asio::co_spawn(scope.worker.context,
                   runAttempt(scope.worker, scope.shared, call.pool, attemptSet, attempt,
                              chosen->address, std::move(request), std::move(options)),
                   asio::detached);
    return true;
}

// Takes one retry or hedge from the pool's retry budget. Returns false if the budget is exhausted.
bool takeRetry(RequestScope &scope, PoolShard &shard)
{
    const std::lock_guard<std::mutex> guard(shard.lock);
    const bool allowed = Routing::takeExtraAttempt(shard.pool.budget);
    scope.shared.counters.add(allowed ? Counter::StageRetries : Counter::StageRetriesDenied);
    return allowed;
}

// Returns when to send a hedge, or `Common::Time::max()` if hedging is disabled or there are too
// few samples.
Common::Time hedgeTime(const RequestScope &scope, const PoolShard &shard, Common::Time now)
{
    const Settings &settings = scope.shared.settings;
    const double base = settings.routing.hedgeQuantile;
    if (base <= 0)
        return Common::Time::max();
    // The more weight a deployment gives to cost, the higher the quantile and the rarer the hedges.
    const double quantile = base + (1 - base) * (1 - settings.attainmentWeight);
    const std::lock_guard<std::mutex> guard(shard.lock);
    if (shard.pool.durations.sampleCount() < kMinHedgeSamples)
        return Common::Time::max();
    const Common::Duration usual = shard.pool.durations.quantile(quantile, {});
    const auto delay = std::chrono::duration_cast<Common::Duration>(usual * kHedgeDelayFactor);
    return now + std::max<Common::Duration>(delay, kMinHedgeDelay);
}

struct Evaluation
{
    std::optional<Http::Response> reply;
    std::string problem;
};

// Evaluates the attempts that have ended since the last evaluation, up to the first usable reply.
Evaluation evaluateEnded(RequestScope &scope, Pipeline::Run &run, AttemptSet &attemptSet)
{
    Evaluation evaluation;
    for (const AttemptPtr &attempt : attemptSet.attempts) {
        if (attempt->isEvaluated || !attempt->result)
            continue;
        attempt->isEvaluated = true;
        Http::CallResult<Http::Response> &result = *attempt->result;
        scope.anyBytesSent = scope.anyBytesSent || result || result.error().written;
        const bool accepted = result && result->status == 200
            && Pipeline::classifyReply(run, result->headers.find(Wire::kAttemptTag))
                == Pipeline::ReplyVerdict::Accept;
        Pipeline::closeAttempt(run, attempt->tag);
        if (result && result->status == 200 && !accepted) {
            evaluation.problem = "the reply belongs to no open attempt";
        } else if (!result) {
            evaluation.problem = std::string(Common::nameOf(result.error().failure)) + ": "
                + result.error().message;
            if (result.error().failure == Http::CallFailure::ConnectionLost)
                scope.shared.counters.add(Counter::RepliesTruncated);
        } else if (result->status < 500) {
            evaluation.reply = std::move(*result);
            return evaluation;
        } else {
            evaluation.problem = "the endpoint returned status " + std::to_string(result->status);
        }
    }
    return evaluation;
}

} // namespace

std::optional<ChosenEndpoint> chooseEndpoint(RequestScope &scope, PoolShard &shard,
                                             const Routing::ChoiceRequest &request)
{
    const std::lock_guard<std::mutex> guard(shard.lock);
    const auto index = Routing::choose(shard.pool, request, clockNow(), scope.worker.random);
    if (!index)
        return std::nullopt;
    Routing::beginCall(shard.pool, *index);
    const Routing::Endpoint &endpoint = shard.pool.endpoints[*index];
    return ChosenEndpoint{endpoint.id, endpoint.address};
}

Http::Headers callHeaders(const RequestScope &scope, const Pipeline::AttemptTag &tag,
                          std::string_view contentType, Common::Time deadline, Common::Time now)
{
    Http::Headers headers;
    headers.add("Content-Type", contentType);
    headers.add(Wire::kAttemptTag, Pipeline::formatTag(tag));
    headers.add(Wire::kTimeLeftMs, std::to_string(Common::toMilliseconds(deadline - now)));
    headers.add(Wire::kPriority, Common::nameOf(scope.serviceLevel.priority));
    return headers;
}

std::function<bool(const Http::ResponseStream &)> attemptTagCheck(SharedState &shared,
                                                                  const Pipeline::AttemptTag &tag)
{
    return [&shared, expected = Pipeline::formatTag(tag)](const Http::ResponseStream &reply) {
        // An error response may come from an intermediary that does not echo the tag.
        if (reply.status() != 200 || reply.header(Wire::kAttemptTag) == expected)
            return true;
        shared.counters.add(Counter::RepliesForeign);
        return false;
    };
}

Http::Awaitable<Common::Result<Http::Response>> callStage(RequestScope &scope, Pipeline::Run &run,
                                                          StageCall call)
{
    if (scope.mustEnd)
        co_return tl::unexpected(drainTimeoutError(scope));
    PoolShard &shard = scope.shared.poolNamed(call.pool);
    const auto attemptSet = std::make_shared<AttemptSet>(scope.worker.context.get_executor());
    scope.cancelCalls = [attemptSet] {
        attemptSet->cancelAll();
        attemptSet->wakeTimer.cancel();
    };
    {
        const std::lock_guard<std::mutex> guard(shard.lock);
        Routing::noteFirstAttempt(shard.pool.budget);
    }
    Common::Result<Http::Response> outcome = tl::unexpected(runError(
        scope, ErrorCode::EndpointFailed, "pool " + call.pool + " has no available endpoint"));
    bool inProgress = startAttempt(scope, run, call, attemptSet, false);
    Common::Time hedgeAt = hedgeTime(scope, shard, clockNow());
    while (inProgress) {
        // An attempt that is refused before it is sent ends at once, before the timer can be
        // cancelled.
        if (!attemptSet->hasResult()) {
            attemptSet->wakeTimer.expires_at(std::min(hedgeAt, call.deadline));
            boost::system::error_code ignored;
            co_await attemptSet->wakeTimer.async_wait(
                asio::redirect_error(asio::use_awaitable, ignored));
        }
        Evaluation evaluation = evaluateEnded(scope, run, *attemptSet);
        const Common::Time now = clockNow();
        if (evaluation.reply) {
            outcome = std::move(*evaluation.reply);
            break;
        }
        if (scope.callerGone) {
            outcome
                = tl::unexpected(runError(scope, ErrorCode::CallerGone, "the caller disconnected"));
            break;
        }
        if (scope.mustEnd) {
            // An attempt that has not ended may have written bytes.
            scope.anyBytesSent = scope.anyBytesSent || attemptSet->openAttempts() > 0;
            outcome = tl::unexpected(drainTimeoutError(scope));
            break;
        }
        if (now >= call.deadline) {
            scope.anyBytesSent = true;
            outcome
                = tl::unexpected(runError(scope, ErrorCode::DeadlineExceeded,
                                          "stage in pool " + call.pool + " exceeded its deadline"));
            break;
        }
        const bool allFailed = attemptSet->openAttempts() == 0;
        const bool hedgeDue = now >= hedgeAt;
        if (!allFailed && !hedgeDue)
            continue;
        if (hedgeDue)
            hedgeAt = Common::Time::max();
        const bool started
            = takeRetry(scope, shard) && startAttempt(scope, run, call, attemptSet, !allFailed);
        if (started || !allFailed)
            continue;
        outcome = tl::unexpected(runError(scope, ErrorCode::EndpointFailed,
                                          "pool " + call.pool + ": " + evaluation.problem));
        inProgress = false;
    }
    scope.cancelCalls = nullptr;
    attemptSet->cancelAll();
    co_return outcome;
}

} // namespace Tanagerbay::Node
