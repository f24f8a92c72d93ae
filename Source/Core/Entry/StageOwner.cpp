#include "Entry/StageOwner.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Tanagerbay::Entry {

namespace asio = boost::asio;

namespace {

// Results that are not needed any more are gathered for this long before their endpoint is told; a
// tenth of a call's 200 ms, since their room may be waited for.
constexpr Common::Milliseconds kFreeDelay{20};
constexpr Common::Milliseconds kFreeTimeout{500};
// An endpoint fetches the inputs of a call first; 10 MB over its link of 10 Gbit/s take 8 ms.
constexpr Common::Milliseconds kFetchTime{60};
// A few round trips between failure domains; a dark endpoint holds pieces up for this long.
constexpr Common::Milliseconds kConnectTimeout{250};
// Queue timers are not set closer than this.
constexpr Common::Milliseconds kLeastWake{5};

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

StageOwner::Queue *StageOwner::find(const std::string &service)
{
    const auto found = this->queues.find(service);
    if (found != this->queues.end())
        return &found->second;
    const Catalog::Service *entry
        = this->state.catalog ? Catalog::findService(*this->state.catalog, service) : nullptr;
    if (!entry || !entry->batching)
        return nullptr;
    Queue &queue = this->queues[service];
    queue.queue.service = service;
    queue.queue.batching = *entry->batching;
    queue.wake = std::make_unique<asio::steady_timer>(this->state.context);
    queue.freeTimer = std::make_unique<asio::steady_timer>(this->state.context);
    Staging::applyEndpoints(queue.queue, this->state.poolOf(service).endpoints, clockNow());
    return &queue;
}

void StageOwner::refresh()
{
    for (auto &[service, queue] : this->queues) {
        const Catalog::Service *entry
            = this->state.catalog ? Catalog::findService(*this->state.catalog, service) : nullptr;
        if (entry && entry->batching)
            queue.queue.batching = *entry->batching;
        Staging::applyEndpoints(queue.queue, this->state.poolOf(service).endpoints, clockNow());
        this->pump(service);
    }
}

std::optional<Staging::PieceTicket> StageOwner::submit(const std::string &service,
                                                       Staging::PieceRequest request,
                                                       PieceListener listener)
{
    Queue *queue = this->find(service);
    if (!queue)
        return std::nullopt;
    const Staging::PieceTicket ticket
        = Staging::submit(queue->queue, std::move(request), clockNow());
    queue->listeners.emplace(ticket, std::move(listener));
    return ticket;
}

void StageOwner::pump(const std::string &service)
{
    Queue *queue = this->find(service);
    if (!queue)
        return;
    std::vector<Staging::SettledPiece> settled;
    const Common::Time now = clockNow();
    Staging::requeueOverdue(queue->queue, now);
    for (Staging::PlannedCall &call : Staging::planCalls(queue->queue, now, settled)) {
        asio::co_spawn(this->state.context, this->runCall(service, std::move(call)),
                       asio::detached);
    }
    this->settle(*queue, settled);
    this->armWake(service, *queue);
}

void StageOwner::armWake(const std::string &service, Queue &queue)
{
    const Common::Time now = clockNow();
    auto wake = Staging::nextWakeAt(queue.queue, now);
    if (!wake) {
        queue.wake->cancel();
        queue.wakeAt.reset();
        return;
    }
    const Common::Time at = std::max(*wake, now + kLeastWake);
    // A timer that fires a little early is armed again; that is cheaper than moving it each time.
    if (queue.wakeAt && *queue.wakeAt <= at && *queue.wakeAt > now)
        return;
    queue.wakeAt = at;
    queue.wake->expires_at(at);
    queue.wake->async_wait([this, service](const boost::system::error_code &error) {
        if (error)
            return;
        this->queues[service].wakeAt.reset();
        this->pump(service);
    });
}

void StageOwner::withdraw(const std::string &service, Staging::PieceTicket ticket)
{
    Queue *queue = this->find(service);
    if (!queue)
        return;
    Staging::withdraw(queue->queue, ticket);
    queue->listeners.erase(ticket);
}

std::vector<Staging::PieceTicket> StageOwner::takeWaiting(const std::string &service)
{
    Queue *queue = this->find(service);
    if (!queue)
        return {};
    const std::vector<Staging::PieceTicket> taken = Staging::takeWaiting(queue->queue);
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
    Queue *queue = this->find(service);
    if (!queue)
        return;
    Staging::release(queue->queue, maker, handle);
    this->armFreeTimer(service, *queue);
}

void StageOwner::armFreeTimer(const std::string &service, Queue &queue)
{
    if (queue.freeTimerRuns || !Staging::hasFreeOrders(queue.queue))
        return;
    queue.freeTimerRuns = true;
    queue.freeTimer->expires_after(kFreeDelay);
    queue.freeTimer->async_wait([this, service](const boost::system::error_code &error) {
        if (error)
            return;
        Queue &late = this->queues[service];
        late.freeTimerRuns = false;
        this->sendFreeOrders(late);
        this->pump(service);
    });
}

void StageOwner::sendFreeOrders(Queue &queue)
{
    for (Staging::FreeOrder &order : Staging::takeFreeOrders(queue.queue)) {
        asio::co_spawn(this->state.context, this->runFreeOrder(std::move(order)), asio::detached);
    }
}

Http::Awaitable<void> StageOwner::runFreeOrder(Staging::FreeOrder order)
{
    Http::CallOptions options;
    options.deadline = clockNow() + kFreeTimeout;
    options.connectTimeout = kConnectTimeout;
    const auto answer = co_await this->state.client.call(
        order.address, this->state.dialect.writeFreeOrder(order.handles), options);
    // The endpoint drops the results by itself after their lifetime.
    if (!answer || answer->status != 200)
        this->state.metrics.count("stage_frees_failed");
}

std::size_t StageOwner::openPieces() const
{
    std::size_t open = 0;
    for (const auto &[service, queue] : this->queues)
        open += queue.queue.pieces.size();
    return open;
}

void StageOwner::settle(Queue &queue, const std::vector<Staging::SettledPiece> &settled)
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

void StageOwner::markSpare(const std::string &service, const Common::EndpointId &maker,
                           const std::string &handle)
{
    if (Queue *queue = this->find(service))
        Staging::markEvictable(queue->queue, maker, handle, clockNow());
}

Http::Awaitable<void> StageOwner::tellFetched(std::string service, Staging::CallNumber call,
                                              std::vector<Staging::PieceTicket> tickets)
{
    co_await this->state.sleepFor(kFetchTime);
    Queue &queue = this->queues[service];
    // A call that has ended already was answered or has failed.
    if (!Staging::isOpen(queue.queue, call))
        co_return;
    for (const Staging::PieceTicket ticket : tickets) {
        const auto found = queue.listeners.find(ticket);
        if (found != queue.listeners.end() && found->second.fetched)
            found->second.fetched();
    }
    this->pump(service);
}

Http::Awaitable<void> StageOwner::runCall(std::string service, Staging::PlannedCall call)
{
    const Common::Time sentAt = clockNow();
    const std::string endpoint = call.endpoint.id.value;
    Common::Duration longestWait{0};
    for (const Staging::QueuedPiece &piece : call.pieces)
        longestWait = std::max(longestWait, sentAt - piece.queuedAt);
    std::vector<Staging::PieceTicket> tickets;
    for (const Staging::QueuedPiece &piece : call.pieces) {
        if (piece.request.inputs)
            tickets.push_back(piece.ticket);
    }
    if (!call.freeFirst.empty()) {
        Staging::FreeOrder order;
        order.address = call.endpoint.address;
        order.handles = call.freeFirst;
        co_await this->runFreeOrder(std::move(order));
    }
    if (!tickets.empty()) {
        asio::co_spawn(this->state.context,
                       this->tellFetched(service, call.number, std::move(tickets)), asio::detached);
    }
    Http::CallOptions options;
    options.deadline = call.deadline;
    options.connectTimeout = kConnectTimeout;
    options.repeatable = false;
    Http::Request request = this->state.dialect.writeStageCall(call, sentAt);
    const auto answer
        = co_await this->state.client.call(call.endpoint.address, std::move(request), options);
    const Common::Time now = clockNow();
    std::vector<Staging::SettledPiece> settled;
    std::string_view outcome = "answered";
    std::int64_t noRoom = 0;
    std::int64_t inputsGone = 0;
    Queue &queue = this->queues[service];
    if (!answer) {
        const auto fault
            = answer.error().written ? Staging::CallFault::Lost : Staging::CallFault::Unreachable;
        outcome = Common::nameOf(answer.error().failure);
        settled = Staging::callFailed(queue.queue, call.number, fault, now);
    } else {
        const EndpointAnswer head = this->state.dialect.readAnswer(answer->status, answer->headers);
        const auto results = answer->status == 200
            ? this->state.dialect.readStageResults(answer->body)
            : std::nullopt;
        if (results) {
            noRoom = countAnswers(*results, Staging::PieceAnswer::NoRoom);
            inputsGone = countAnswers(*results, Staging::PieceAnswer::InputGone);
            settled = Staging::callAnswered(queue.queue, call.number, *results, now);
        } else {
            const bool refused = head.saysNotRun || head.otherEndpoint;
            outcome = refused ? "refused" : "invalid";
            const auto fault = refused ? Staging::CallFault::Refused : Staging::CallFault::Lost;
            settled = Staging::callFailed(queue.queue, call.number, fault, now);
        }
    }
    this->state.metrics.count(labelled("stage_calls", "outcome", outcome));
    this->state.metrics.count("stage_pieces", call.pieces.size());
    this->state.metrics.time(labelled("stage_call", "service", service), now - sentAt);
    this->state.log.write(
        LogLine("stage-call")
            .text("service", service)
            .text("endpoint", endpoint)
            .number("pieces", static_cast<std::int64_t>(call.pieces.size()))
            .number("waiting", static_cast<std::int64_t>(queue.queue.waiting.size()))
            .text("outcome", outcome)
            .number("noRoom", noRoom)
            .number("inputsGone", inputsGone)
            .milliseconds("waitedMs", longestWait)
            .milliseconds("tookMs", now - sentAt),
        now);
    this->settle(queue, settled);
    // Results of pieces that nobody waits for any more are freed with the others.
    this->armFreeTimer(service, queue);
    this->pump(service);
}

} // namespace Tanagerbay::Entry
