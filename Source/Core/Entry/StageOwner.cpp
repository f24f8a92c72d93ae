#include "Entry/StageOwner.h"

#include "Staging/CostOrder.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Tanagerbay::Entry {

namespace asio = boost::asio;

namespace {

// Handles of results that are no longer needed are batched for this long before they are sent to
// their endpoint. It is a tenth of a call's 200 ms, since pieces may be waiting for the space.
constexpr Common::Milliseconds kFreeBatchDelay{20};
constexpr Common::Milliseconds kFreeTimeout{500};
// An endpoint first fetches the inputs of a call: 10 MB over its link of 10 Gbit/s take 8 ms.
constexpr Common::Milliseconds kInputFetchDuration{60};
// A few round trips between failure domains. An unreachable endpoint delays pieces for this long.
constexpr Common::Milliseconds kConnectTimeout{250};
// Queue timers are set at least this far ahead.
constexpr Common::Milliseconds kMinWakeDelay{5};
// The results of a call are some 100 bytes for each piece.
constexpr std::size_t kMaxResultsBytes = 1 << 20;
constexpr unsigned kStatusOk = 200;

std::int64_t countAnswers(const std::vector<Staging::PieceResult> &results,
                          Staging::PieceAnswer answer)
{
    return std::count_if(results.begin(), results.end(),
                         [answer](const auto &result) { return result.answer == answer; });
}

} // namespace

StageOwner::StageOwner(State &state) : state(state)
{
}

StageOwner::Queue *StageOwner::findOrCreate(const std::string &service)
{
    const auto found = this->queues.find(service);
    if (found != this->queues.end())
        return &found->second;
    const Catalog::Service *catalogService
        = this->state.catalog ? Catalog::findService(*this->state.catalog, service) : nullptr;
    if (!catalogService || !catalogService->batching)
        return nullptr;
    Queue &queue = this->queues[service];
    queue.queue.service = service;
    this->configure(queue.queue, *catalogService);
    queue.wakeTimer = std::make_unique<asio::steady_timer>(this->state.context);
    queue.freeTimer = std::make_unique<asio::steady_timer>(this->state.context);
    Staging::applyEndpoints(queue.queue, this->state.poolOf(service).endpoints, clockNow());
    return &queue;
}

void StageOwner::configure(Staging::StageQueue &queue, const Catalog::Service &service)
{
    queue.batching = *service.batching;
    queue.isOnRoutes = Catalog::isOnRoutes(*this->state.catalog, queue.service);
    const bool weighsCosts = this->state.settings.stageOrder == StageOrder::LeastCost
        && Staging::hasSeveralPriorities(*this->state.catalog, queue.service);
    queue.order = weighsCosts ? Staging::QueueOrder::LeastCost : Staging::QueueOrder::OnTimeFirst;
}

void StageOwner::refresh()
{
    for (auto &[service, queue] : this->queues) {
        const Catalog::Service *catalogService
            = this->state.catalog ? Catalog::findService(*this->state.catalog, service) : nullptr;
        if (catalogService && catalogService->batching)
            this->configure(queue.queue, *catalogService);
        Staging::applyEndpoints(queue.queue, this->state.poolOf(service).endpoints, clockNow());
        this->dispatch(service);
    }
}

std::optional<Staging::PieceTicket> StageOwner::submit(const std::string &service,
                                                       Staging::PieceRequest request,
                                                       PieceListener listener)
{
    Queue *queue = this->findOrCreate(service);
    if (!queue)
        return std::nullopt;
    const Staging::PieceTicket ticket
        = Staging::submit(queue->queue, std::move(request), clockNow());
    queue->listeners.emplace(ticket, std::move(listener));
    return ticket;
}

void StageOwner::dispatch(const std::string &service)
{
    Queue *queue = this->findOrCreate(service);
    if (!queue)
        return;
    std::vector<Staging::SettledPiece> settled;
    const Common::Time now = clockNow();
    Staging::requeueOverdue(queue->queue, now);
    for (Staging::PlannedCall &call : Staging::planCalls(queue->queue, now, settled)) {
        asio::co_spawn(this->state.context, this->runCall(service, std::move(call)),
                       asio::detached);
    }
    this->notifySettled(*queue, settled);
    reportCosts(this->state, queue->queue, queue->costReport, now);
    this->armWakeTimer(service, *queue);
}

void StageOwner::armWakeTimer(const std::string &service, Queue &queue)
{
    const Common::Time now = clockNow();
    auto wakeTime = Staging::nextWakeAt(queue.queue, now);
    if (!wakeTime) {
        queue.wakeTimer->cancel();
        queue.wakeAt.reset();
        return;
    }
    const Common::Time at = std::max(*wakeTime, now + kMinWakeDelay);
    // A timer that fires too early is armed again, which is cheaper than rescheduling it each time.
    if (queue.wakeAt && *queue.wakeAt <= at && *queue.wakeAt > now)
        return;
    queue.wakeAt = at;
    queue.wakeTimer->expires_at(at);
    queue.wakeTimer->async_wait([this, service](const boost::system::error_code &error) {
        if (error)
            return;
        this->queues[service].wakeAt.reset();
        this->dispatch(service);
    });
}

void StageOwner::withdraw(const std::string &service, Staging::PieceTicket ticket)
{
    Queue *queue = this->findOrCreate(service);
    if (!queue)
        return;
    Staging::withdraw(queue->queue, ticket);
    queue->listeners.erase(ticket);
}

std::vector<Staging::PieceTicket> StageOwner::takeWaiting(const std::string &service)
{
    Queue *queue = this->findOrCreate(service);
    if (!queue)
        return {};
    const std::vector<Staging::PieceTicket> taken
        = Staging::takeWaiting(queue->queue, queue->queue.pieces.size());
    for (const Staging::PieceTicket ticket : taken)
        queue->listeners.erase(ticket);
    return taken;
}

std::vector<std::string> StageOwner::servicesWithPieces() const
{
    std::vector<std::string> services;
    for (const auto &[service, queue] : this->queues) {
        if (!queue.queue.pieces.empty())
            services.push_back(service);
    }
    return services;
}

void StageOwner::release(const std::string &service, const Common::EndpointId &maker,
                         const std::string &handle)
{
    Queue *queue = this->findOrCreate(service);
    if (!queue)
        return;
    Staging::release(queue->queue, maker, handle);
    this->armFreeTimer(service, *queue);
}

void StageOwner::armFreeTimer(const std::string &service, Queue &queue)
{
    if (queue.isFreeTimerArmed || !Staging::hasFreeOrders(queue.queue, clockNow()))
        return;
    queue.isFreeTimerArmed = true;
    queue.freeTimer->expires_after(kFreeBatchDelay);
    queue.freeTimer->async_wait([this, service](const boost::system::error_code &error) {
        if (error)
            return;
        Queue &owned = this->queues[service];
        owned.isFreeTimerArmed = false;
        this->sendFreeOrders(service, owned);
        this->dispatch(service);
    });
}

void StageOwner::sendFreeOrders(const std::string &service, Queue &queue)
{
    for (Staging::FreeOrder &order : Staging::takeFreeOrders(queue.queue, clockNow())) {
        asio::co_spawn(this->state.context, this->runFreeOrder(service, std::move(order)),
                       asio::detached);
    }
}

Http::Awaitable<void> StageOwner::runFreeOrder(std::string service, Staging::FreeOrder order)
{
    const Common::Time sentAt = clockNow();
    Http::CallOptions options;
    options.deadline = sentAt + kFreeTimeout;
    options.connectTimeout = kConnectTimeout;
    // The connection is used for calls afterwards.
    options.reusableIdleSince
        = Staging::reusableIdleSince(this->queues[service].queue, order.endpoint);
    options.maxBodyBytes = kMaxResultsBytes;
    options.beforeFirstByte
        = [this, &service, &order] { return !this->isEvacuated(service, order.endpoint); };
    // The copy of a reply to a call shows that the reply to this order is still to come.
    options.acceptReply = [this](const Http::Response &reply) {
        return this->state.dialect.readStageResults(reply.body) ? Http::ReplyUse::Reject
                                                                : Http::ReplyUse::Accept;
    };
    const auto answer = co_await this->state.client.call(
        order.address, this->state.dialect.writeFreeOrder(order.handles), options);
    // A failure is only counted: the endpoint drops the results itself after their lifetime.
    if (!answer || answer->status != kStatusOk)
        this->state.metrics.count("stage_frees_failed");
    if (answer) {
        this->applyResponseHead(
            service, order.endpoint,
            this->state.dialect.readResponseHead(answer->status, answer->headers), sentAt);
    }
}

void StageOwner::applyResponseHead(const std::string &service, const Common::EndpointId &id,
                                   const EndpointResponseHead &head, Common::Time sentAt)
{
    Routing::Pool &pool = this->state.poolOf(service);
    const auto found = pool.indexById.find(id);
    if (found == pool.indexById.end())
        return;
    const Common::Time now = clockNow();
    if (head.holdFor) {
        Routing::holdBack(pool, id, *head.holdFor, now);
        Staging::holdBack(this->queues[service].queue, id, *head.holdFor, now);
    }
    // Copies, since the handlers may change the pool.
    const Routing::Endpoint endpoint = pool.endpoints[found->second];
    if (this->limitHandler)
        this->limitHandler(endpoint, head, sentAt);
    if (this->responseHandler)
        this->responseHandler(endpoint, head);
}

bool StageOwner::isEvacuated(const std::string &service, const Common::EndpointId &id)
{
    const Routing::Pool &pool = this->state.poolOf(service);
    const auto found = pool.indexById.find(id);
    return found != pool.indexById.end() && pool.endpoints[found->second].isEvacuated;
}

void StageOwner::onLimit(
    std::function<void(const Routing::Endpoint &, const EndpointResponseHead &, Common::Time)>
        action)
{
    this->limitHandler = std::move(action);
}

void StageOwner::onResponse(
    std::function<void(const Routing::Endpoint &, const EndpointResponseHead &)> action)
{
    this->responseHandler = std::move(action);
}

void StageOwner::onPath(std::function<void(const Common::EndpointId &, bool)> action)
{
    this->pathHandler = std::move(action);
}

std::size_t StageOwner::openPieces() const
{
    std::size_t open = 0;
    for (const auto &[service, queue] : this->queues)
        open += queue.queue.pieces.size();
    return open;
}

void StageOwner::notifySettled(Queue &queue, const std::vector<Staging::SettledPiece> &settled)
{
    for (const Staging::SettledPiece &piece : settled) {
        const auto found = queue.listeners.find(piece.ticket);
        if (found == queue.listeners.end())
            continue;
        const PieceListener listener = std::move(found->second);
        queue.listeners.erase(found);
        listener.settled(piece);
    }
}

void StageOwner::markEvictable(const std::string &service, const Common::EndpointId &maker,
                               const std::string &handle)
{
    if (Queue *queue = this->findOrCreate(service))
        Staging::markEvictable(queue->queue, maker, handle, clockNow());
}

Http::Awaitable<void> StageOwner::notifyFetched(std::string service, Staging::CallNumber call,
                                                std::vector<Staging::PieceTicket> tickets)
{
    co_await this->state.sleepFor(kInputFetchDuration);
    Queue &queue = this->queues[service];
    // A call that is no longer open has been answered or has failed.
    if (!Staging::isOpen(queue.queue, call))
        co_return;
    for (const Staging::PieceTicket ticket : tickets) {
        const auto found = queue.listeners.find(ticket);
        if (found == queue.listeners.end())
            continue;
        // A copy, since the action may end the piece and so destroy its listener.
        if (const auto fetched = found->second.fetched)
            fetched();
    }
    this->dispatch(service);
}

Http::ReplyUse StageOwner::useOfReply(const std::string &service, const Staging::PlannedCall &call,
                                      const Http::Response &reply)
{
    if (reply.status != kStatusOk)
        return Http::ReplyUse::AcceptAndClose;
    const auto results = this->state.dialect.readStageResults(reply.body);
    const auto match = results
        ? Staging::matchAnswer(this->queues[service].queue, call, *results, clockNow())
        : Staging::AnswerMatch::EarlierCall;
    if (match == Staging::AnswerMatch::EarlierCall) {
        this->state.metrics.count("stage_replies_rejected");
        return Http::ReplyUse::Reject;
    }
    // Behind the copy of an earlier answer, that to this call would be taken for the next one's.
    const bool isSurelyOwn = match == Staging::AnswerMatch::ThisCall
        && countAnswers(*results, Staging::PieceAnswer::Made) > 0;
    return isSurelyOwn ? Http::ReplyUse::Accept : Http::ReplyUse::AcceptAndClose;
}

Http::Awaitable<void> StageOwner::runCall(std::string service, Staging::PlannedCall call)
{
    const Common::Time sentAt = clockNow();
    const std::string endpoint = call.endpoint.id.value;
    Common::Duration maxWait{0};
    for (const Staging::QueuedPiece &piece : call.pieces)
        maxWait = std::max(maxWait, sentAt - piece.queuedAt);
    std::vector<Staging::PieceTicket> tickets;
    for (const Staging::QueuedPiece &piece : call.pieces) {
        if (piece.request.inputs)
            tickets.push_back(piece.ticket);
    }
    if (!call.freeFirst.empty()) {
        Staging::FreeOrder order;
        order.endpoint = call.endpoint.id;
        order.address = call.endpoint.address;
        order.handles = call.freeFirst;
        co_await this->runFreeOrder(service, std::move(order));
    }
    if (!tickets.empty()) {
        asio::co_spawn(this->state.context,
                       this->notifyFetched(service, call.number, std::move(tickets)),
                       asio::detached);
    }
    Http::CallOptions options;
    options.deadline = call.deadline;
    options.connectTimeout = kConnectTimeout;
    options.repeatable = false;
    options.reusableIdleSince
        = Staging::reusableIdleSince(this->queues[service].queue, call.endpoint.id);
    options.maxBodyBytes = kMaxResultsBytes;
    options.acceptReply = [this, &service, &call](const Http::Response &reply) {
        return this->useOfReply(service, call, reply);
    };
    bool isTurnedBack = false;
    options.beforeFirstByte = [this, &service, &call, &isTurnedBack] {
        isTurnedBack = !Staging::mayBegin(this->queues[service].queue, call);
        if (isTurnedBack && this->isEvacuated(service, call.endpoint.id))
            this->state.metrics.count(
                labelled("sends_turned_back_by_evacuation", "service", service));
        return !isTurnedBack;
    };
    const Common::Time calledAt = clockNow();
    Http::Request request = this->state.dialect.writeStageCall(call, sentAt);
    const auto answer
        = co_await this->state.client.call(call.endpoint.address, std::move(request), options);
    const Common::Time now = clockNow();
    std::vector<Staging::SettledPiece> settled;
    std::string_view outcome = "answered";
    std::int64_t noRoom = 0;
    std::int64_t inputsGone = 0;
    Queue &queue = this->queues[service];
    const bool isUnreachable
        = !answer && answer.error().failure == Http::CallFailure::ConnectFailed;
    if (this->pathHandler && (answer || isUnreachable))
        this->pathHandler(call.endpoint.id, answer.has_value());
    if (!answer) {
        const auto fault = isTurnedBack ? Staging::CallFault::Refused
            : answer.error().written    ? Staging::CallFault::Lost
                                        : Staging::CallFault::Unreachable;
        outcome = Common::nameOf(answer.error().failure);
        settled = Staging::callFailed(queue.queue, call.number, fault, now);
    } else {
        const EndpointResponseHead head
            = this->state.dialect.readResponseHead(answer->status, answer->headers);
        const auto results = answer->status == kStatusOk
            ? this->state.dialect.readStageResults(answer->body)
            : std::nullopt;
        if (results) {
            noRoom = countAnswers(*results, Staging::PieceAnswer::NoRoom);
            inputsGone = countAnswers(*results, Staging::PieceAnswer::InputGone);
            settled = Staging::callAnswered(queue.queue, call.number, *results, now);
        } else {
            const bool refused = head.reportsNotRun || head.isOtherEndpoint;
            outcome = refused ? "refused" : "invalid";
            const auto fault = refused ? Staging::CallFault::Refused : Staging::CallFault::Lost;
            settled = Staging::callFailed(queue.queue, call.number, fault, now);
        }
        this->applyResponseHead(service, call.endpoint.id, head, calledAt);
    }
    this->state.metrics.count(labelled("stage_calls", "outcome", outcome));
    this->state.metrics.count("stage_pieces", call.pieces.size());
    this->state.metrics.time(labelled("stage_call", "service", service), now - sentAt);
    this->state.log.write(
        LogLine("stage-call")
            .text("service", service)
            .text("endpoint", endpoint)
            .number("pieces", static_cast<std::int64_t>(call.pieces.size()))
            .number("waiting", static_cast<std::int64_t>(queue.queue.waiting.pieceCount))
            .text("outcome", outcome)
            .number("noRoom", noRoom)
            .number("inputsGone", inputsGone)
            .milliseconds("waitedMs", maxWait)
            .milliseconds("tookMs", now - sentAt),
        now);
    this->notifySettled(queue, settled);
    // Results of pieces that were withdrawn during the call are to be freed as well.
    this->armFreeTimer(service, queue);
    this->dispatch(service);
}

} // namespace Tanagerbay::Entry
