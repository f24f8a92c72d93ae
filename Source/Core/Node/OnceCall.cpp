#include "Node/OnceCall.h"

#include "Common/Hash.h"
#include "Node/StageCall.h"
#include "Pipeline/Wire.h"

namespace Tanagerbay::Node {

namespace Wire = Pipeline::Wire;

using Common::Counter;
using Common::ErrorCode;
using Common::Ran;

namespace {

// Number of failed store calls after which the attempt is given up, so that the caller gets an
// early response.
constexpr std::uint32_t kMaxStoreFailures = 2;
constexpr std::uint32_t kMaxEndpoints = 3;
constexpr Common::Milliseconds kStoreRetryAfter{1000};
constexpr Common::Milliseconds kEndpointRetryAfter{500};

class OnceCall
{
public:
    OnceCall(RequestScope &scope, OnceRequest request, OutcomeWriter &outcomeWriter)
        : scope(scope), request(std::move(request)), outcomeWriter(outcomeWriter)
    {
    }

    Http::Awaitable<Common::Result<Http::Response>> run();

private:
    void prepare();
    Http::Awaitable<Once::ClaimStep> claim();
    Http::Awaitable<Once::ClaimStep> writeClaim();
    Http::Awaitable<Once::ClaimStep> readBack();
    Http::Awaitable<Common::Result<Http::Response>> send();
    Http::Awaitable<Http::CallResult<Http::Response>> sendTo(const ChosenEndpoint &endpoint);
    void reportCall(const ChosenEndpoint &endpoint, const Http::CallResult<Http::Response> &reply,
                    Common::Time start);
    Common::Result<Http::Response> recordReply(const Http::Response &reply);
    Common::Error recordUnknown(const Http::CallError &failure);
    Common::Error giveUp();
    Common::Error voidUnsent(const std::string &problem);
    Common::Result<Http::Response> replay() const;
    Storage::RowName rowName() const
    {
        return {kLedgerTable, this->key};
    }

    RequestScope &scope;
    OnceRequest request;
    OutcomeWriter &outcomeWriter;
    std::string key;
    Once::Attempt attempt;
    Once::LedgerRow claimRow;
    // The row as last read, or as written by this attempt's claim.
    Once::StoredRow stored;
    std::uint32_t storeFailures = 0;
    // Whether a claim of this attempt may have been committed or may still be.
    bool claimMayBeCommitted = false;
};

void OnceCall::prepare()
{
    const Common::Time now = clockNow();
    this->key = Once::rowKey(this->scope.access.workspace->id, this->request.key);
    this->attempt.id = Common::AttemptId(randomId(this->scope.worker.random));
    this->attempt.requestDigest = Common::digestOf(this->request.service + "/" + this->request.path
                                                   + "\n" + this->scope.exchange.request().body);
    this->attempt.sendDeadline
        = std::min(now + this->scope.shared.settings.once.claimTimeout, this->scope.deadline);
    this->claimRow.state = Once::RowState::Claimed;
    this->claimRow.attempt = this->attempt.id;
    this->claimRow.requestDigest = this->attempt.requestDigest;
}

Http::Awaitable<Once::ClaimStep> OnceCall::writeClaim()
{
    Storage::Transaction transaction;
    transaction.checks.push_back({this->rowName(), this->stored.version});
    transaction.puts.push_back({this->rowName(), Once::encodeRow(this->claimRow),
                                this->scope.shared.settings.once.retention});
    this->scope.shared.counters.add(Counter::OnceClaims);
    const auto result = co_await this->scope.worker.table.commit(std::move(transaction));
    const Common::Time now = clockNow();
    switch (result.state) {
    case Storage::CommitState::Committed:
        this->claimMayBeCommitted = true;
        this->stored = {result.versions.front(), this->claimRow};
        co_return Once::stepAfterClaimReply(Once::ClaimReply::Committed, this->attempt, now);
    case Storage::CommitState::Conflict:
        co_return Once::stepAfterClaimReply(Once::ClaimReply::Conflict, this->attempt, now);
    case Storage::CommitState::NotApplied:
        ++this->storeFailures;
        co_return Once::maySend(this->attempt, now) ? Once::ClaimStep::WriteClaim
                                                    : Once::ClaimStep::GiveUp;
    case Storage::CommitState::Unknown:
        break;
    }
    ++this->storeFailures;
    this->claimMayBeCommitted = true;
    co_return Once::stepAfterClaimReply(Once::ClaimReply::Lost, this->attempt, now);
}

Http::Awaitable<Once::ClaimStep> OnceCall::readBack()
{
    Storage::RowName name = this->rowName();
    const auto row = co_await this->scope.worker.table.readOne(std::move(name));
    const Common::Time now = clockNow();
    if (!row) {
        ++this->storeFailures;
        co_return Once::stepAfterRead(nullptr, this->attempt, now);
    }
    Once::StoredRow read;
    if (row->version > 0) {
        auto decoded = Once::decodeRow(row->body);
        // An unreadable row may be in any state, so nothing may be sent.
        if (!decoded)
            co_return Once::ClaimStep::GiveUp;
        read = {row->version, std::move(*decoded)};
    }
    this->stored = std::move(read);
    co_return Once::stepAfterRead(&this->stored, this->attempt, now);
}

Http::Awaitable<Once::ClaimStep> OnceCall::claim()
{
    Once::ClaimStep step = Once::ClaimStep::WriteClaim;
    while (step == Once::ClaimStep::WriteClaim || step == Once::ClaimStep::ReadBack) {
        if (this->scope.mustEnd || this->storeFailures >= kMaxStoreFailures)
            co_return Once::ClaimStep::GiveUp;
        if (step == Once::ClaimStep::WriteClaim)
            step = co_await this->writeClaim();
        else
            step = co_await this->readBack();
    }
    co_return step;
}

Common::Error OnceCall::giveUp()
{
    this->scope.shared.counters.add(Counter::OnceUnresolved);
    if (this->claimMayBeCommitted)
        this->outcomeWriter.voidAttempt(this->key, this->claimRow);
    if (this->scope.mustEnd)
        return drainTimeoutError(this->scope);
    return {ErrorCode::StoreUnavailable,
            "the ledger of at-most-once calls is unavailable; the call was not sent", Ran::No,
            kStoreRetryAfter};
}

Common::Error OnceCall::voidUnsent(const std::string &problem)
{
    this->outcomeWriter.voidAttempt(this->key, this->claimRow);
    if (this->scope.mustEnd)
        return drainTimeoutError(this->scope);
    return {ErrorCode::EndpointFailed, "the call was not sent: " + problem, Ran::No,
            kEndpointRetryAfter};
}

Common::Result<Http::Response> OnceCall::replay() const
{
    const Once::Outcome &outcome = this->stored.row.outcome;
    if (!outcome.bodyKept) {
        return tl::unexpected(Common::Error{ErrorCode::OutcomeUnknown,
                                            "the call ran and returned status "
                                                + std::to_string(outcome.status)
                                                + "; its response was too large to store",
                                            Ran::Yes});
    }
    Http::Response response;
    response.status = outcome.status;
    response.headers.add("Content-Type", outcome.contentType);
    response.headers.add("Idempotent-Replay", "true");
    response.body = outcome.body;
    return response;
}

Http::Awaitable<Http::CallResult<Http::Response>> OnceCall::sendTo(const ChosenEndpoint &endpoint)
{
    const Common::Time now = clockNow();
    const Pipeline::AttemptTag tag{this->attempt.id.value, 0, 0,
                                   randomId(this->scope.worker.random)};
    Http::Request call{
        "POST", "/v1/call/" + this->request.path,
        callHeaders(this->scope, tag, this->request.contentType, this->scope.deadline, now),
        this->scope.exchange.request().body};
    call.headers.add(Wire::kIdempotencyKey, this->key);
    Http::CallOptions options;
    options.deadline = this->scope.deadline;
    options.freshConnection = true;
    options.repeatable = false;
    options.requiresFraming = true;
    options.beforeFirstByte
        = [this] { return !this->scope.mustEnd && Once::maySend(this->attempt, clockNow()); };
    options.acceptHead = attemptTagCheck(this->scope.shared, tag);
    // If only the caller has gone, the call continues, so that its outcome can be recorded.
    Http::CallHandle handle;
    options.handle = &handle;
    this->scope.cancelCalls = [this, &handle] {
        if (this->scope.mustEnd)
            handle.cancel();
    };
    auto reply = co_await this->scope.worker.client.call(endpoint.address, std::move(call),
                                                         std::move(options));
    this->scope.cancelCalls = nullptr;
    co_return reply;
}

void OnceCall::reportCall(const ChosenEndpoint &endpoint,
                          const Http::CallResult<Http::Response> &reply, Common::Time start)
{
    const Common::Time now = clockNow();
    Routing::CallReport report;
    report.endpoint = endpoint.id;
    report.duration = now - start;
    report.pace = report.duration;
    report.end = Routing::CallEnd::Failed;
    if (reply) {
        report.busy = parseMicros(reply->headers.find(Wire::kBusyMicros));
        report.load = parseLoadReport(reply->headers.find(Wire::kLoadReport));
        if (reply->status < 500)
            report.end = Routing::CallEnd::Succeeded;
    } else if (reply.error().failure == Http::CallFailure::ConnectFailed) {
        report.end = Routing::CallEnd::Unreachable;
    }
    PoolShard &shard = this->scope.shared.poolNamed(this->request.pool);
    {
        const std::lock_guard<std::mutex> guard(shard.lock);
        Routing::endCall(shard.pool, report, now);
    }
    this->scope.shared.metrics.recordStageCall(this->request.pool,
                                               report.end == Routing::CallEnd::Succeeded,
                                               report.duration, report.busy);
}

Common::Result<Http::Response> OnceCall::recordReply(const Http::Response &reply)
{
    Once::LedgerRow row = this->claimRow;
    row.state = Once::RowState::Finished;
    row.outcome.status = reply.status;
    row.outcome.contentType = std::string(reply.headers.find("Content-Type"));
    row.outcome.ran = reply.status < 500 ? Ran::Yes : Ran::Maybe;
    row.outcome.bodyKept = reply.body.size() <= this->scope.shared.settings.once.maxKeptBodyBytes;
    if (row.outcome.bodyKept)
        row.outcome.body = reply.body;
    this->outcomeWriter.record(this->key, this->stored.version, row);
    if (row.outcome.ran != Ran::Yes) {
        return tl::unexpected(Common::Error{
            ErrorCode::EndpointFailed,
            "the service returned status " + std::to_string(reply.status), Ran::Maybe});
    }
    Http::Response response;
    response.status = reply.status;
    response.headers.add("Content-Type", row.outcome.contentType);
    response.body = reply.body;
    return response;
}

Common::Error OnceCall::recordUnknown(const Http::CallError &failure)
{
    Once::LedgerRow row = this->claimRow;
    row.state = Once::RowState::Finished;
    row.outcome.ran = Ran::Maybe;
    this->outcomeWriter.record(this->key, this->stored.version, row);
    const bool timedOut = failure.failure == Http::CallFailure::Timeout;
    return {timedOut ? ErrorCode::DeadlineExceeded : ErrorCode::EndpointFailed,
            "the call was sent but no valid reply was received: "
                + std::string(Common::nameOf(failure.failure)) + ": " + failure.message,
            Ran::Maybe};
}

Http::Awaitable<Common::Result<Http::Response>> OnceCall::send()
{
    PoolShard &shard = this->scope.shared.poolNamed(this->request.pool);
    Routing::ChoiceRequest choice;
    choice.failureDomain = this->scope.shared.settings.failureDomain;
    std::string problem = "pool " + this->request.pool + " has no endpoint";
    for (std::uint32_t tries = 0; tries < kMaxEndpoints; ++tries) {
        if (this->scope.mustEnd)
            break;
        if (!Once::maySend(this->attempt, clockNow())) {
            problem = "no endpoint was reached before the send deadline";
            break;
        }
        const auto endpoint = chooseEndpoint(this->scope, shard, choice);
        if (!endpoint)
            break;
        choice.tried.push_back(endpoint->id);
        const Common::Time start = clockNow();
        const auto reply = co_await this->sendTo(*endpoint);
        this->reportCall(*endpoint, reply, start);
        if (reply) {
            this->scope.anyBytesSent = true;
            co_return this->recordReply(*reply);
        }
        if (reply.error().written) {
            this->scope.anyBytesSent = true;
            co_return tl::unexpected(this->recordUnknown(reply.error()));
        }
        problem = std::string(Common::nameOf(reply.error().failure));
    }
    co_return tl::unexpected(this->voidUnsent(problem));
}

Http::Awaitable<Common::Result<Http::Response>> OnceCall::run()
{
    this->prepare();
    const Once::ClaimStep step = co_await this->claim();
    switch (step) {
    case Once::ClaimStep::Send:
        co_return co_await this->send();
    case Once::ClaimStep::Replay:
        this->scope.shared.counters.add(Counter::OnceReplayed);
        co_return this->replay();
    case Once::ClaimStep::RefuseHeld:
        this->scope.shared.counters.add(Counter::OnceConflicts);
        co_return tl::unexpected(Once::keyHeldError(this->stored.row));
    case Once::ClaimStep::RefuseReused:
        this->scope.shared.counters.add(Counter::OnceConflicts);
        co_return Common::notRun(ErrorCode::KeyReused,
                                 "the idempotency key was already used for a different request");
    case Once::ClaimStep::WriteClaim:
    case Once::ClaimStep::ReadBack:
    case Once::ClaimStep::GiveUp:
        break;
    }
    co_return tl::unexpected(this->giveUp());
}

} // namespace

Http::Awaitable<Common::Result<Http::Response>> callOnce(RequestScope &scope, OnceRequest request,
                                                         OutcomeWriter &outcomeWriter)
{
    OnceCall call(scope, std::move(request), outcomeWriter);
    co_return co_await call.run();
}

} // namespace Tanagerbay::Node
