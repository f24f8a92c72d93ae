#include "StandIns/CallEndpoint.h"

#include "Common/Clock.h"
#include "Pipeline/Wire.h"
#include "StandIns/Answers.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::StandIns {

namespace asio = boost::asio;
namespace json = boost::json;
namespace Wire = Pipeline::Wire;

using Common::clockNow;

namespace {

constexpr Common::Milliseconds kPollInterval{10};

Http::Awaitable<void> sleepFor(Common::Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

bool isPaused(FaultInjector &faults, std::string_view target)
{
    return faults.trigger(target, FaultKind::Pause, clockNow()).has_value();
}

Http::Awaitable<bool> applyRequestFaults(Http::Exchange &exchange, FaultInjector &faults,
                                         std::string_view target)
{
    while (isPaused(faults, target) && !exchange.callerGone())
        co_await sleepFor(kPollInterval);
    const Common::Time now = clockNow();
    if (exchange.callerGone() || faults.trigger(target, FaultKind::Die, now)
        || faults.trigger(target, FaultKind::DropBefore, now))
        co_return false;
    if (faults.trigger(target, FaultKind::Refuse, now)) {
        Http::Response refusal = Http::jsonResponse(503, R"({"error":"refused"})");
        co_await exchange.respond(std::move(refusal));
        co_return false;
    }
    if (faults.trigger(target, FaultKind::Error, now)) {
        Http::Response failure = Http::jsonResponse(500, R"({"error":"failed"})");
        co_await exchange.respond(std::move(failure));
        co_return false;
    }
    co_return true;
}

bool shouldSendReply(FaultInjector &faults, std::string_view target)
{
    const Common::Time now = clockNow();
    return !faults.trigger(target, FaultKind::DropAfter, now)
        && !faults.trigger(target, FaultKind::Die, now);
}

CallEndpoint::CallEndpoint(asio::any_io_executor executor, const PoolSettings &pool,
                           EndpointSettings endpoint, FaultInjector &faults)
    : executor(std::move(executor)), pool(pool), endpoint(std::move(endpoint)), faults(faults)
{
}

void CallEndpoint::recordLoad()
{
    this->history.record({this->running, static_cast<std::uint32_t>(this->waiters.size())},
                         clockNow());
}

std::string CallEndpoint::loadReport()
{
    const Common::Time now = clockNow();
    Common::Duration lag = this->pool.reportLag;
    if (const auto late = this->faults.trigger(this->endpoint.id, FaultKind::LateReports, now))
        lag = Common::Milliseconds(static_cast<std::int64_t>(late->value));
    const bool leaving
        = this->faults.trigger(this->endpoint.id, FaultKind::Leaving, now).has_value();
    return formatLoadReport(this->history.asOf(now, lag), this->pool.slots, leaving);
}

Http::Awaitable<bool> CallEndpoint::acquire(Http::Exchange &exchange, bool isPatient)
{
    if (this->running < this->pool.slots) {
        ++this->running;
        this->recordLoad();
        co_return true;
    }
    auto position = this->waiters.end();
    if (!isPatient) {
        position = this->waiters.begin();
        while (position != this->waiters.end() && !position->isPatient)
            ++position;
    }
    const auto waiter = this->waiters.insert(
        position, Waiter{asio::steady_timer(this->executor), isPatient, false});
    this->recordLoad();
    exchange.onCallerGone([waiter] { waiter->timer.cancel(); });
    waiter->timer.expires_at(Common::Time::max());
    boost::system::error_code ignored;
    co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    exchange.onCallerGone(nullptr);
    const bool granted = waiter->granted;
    this->waiters.erase(waiter);
    this->recordLoad();
    if (granted && exchange.callerGone()) {
        this->release();
        co_return false;
    }
    co_return granted;
}

void CallEndpoint::release()
{
    for (Waiter &waiter : this->waiters) {
        if (waiter.granted)
            continue;
        waiter.granted = true;
        waiter.timer.cancel();
        return;
    }
    --this->running;
    this->recordLoad();
}

Http::Awaitable<bool> CallEndpoint::work(Http::Exchange &exchange, Common::Duration &worked)
{
    const auto slow = this->faults.trigger(this->endpoint.id, FaultKind::Slow, clockNow());
    Common::Duration duration = this->pool.serviceTime;
    if (slow)
        duration = std::chrono::duration_cast<Common::Duration>(duration * slow->value);
    const Common::Time start = clockNow();
    const Common::Time end = start + duration;
    while (clockNow() < end && !exchange.callerGone()) {
        const Common::Duration left = end - clockNow();
        const Common::Duration slice = std::max<Common::Duration>(duration / 4, kPollInterval);
        co_await sleepFor(std::min(left, slice));
    }
    while (isPaused(this->faults, this->endpoint.id) && !exchange.callerGone())
        co_await sleepFor(kPollInterval);
    worked = clockNow() - start;
    this->busy += worked;
    if (exchange.callerGone())
        ++this->cancelled;
    co_return !exchange.callerGone();
}

Http::Response CallEndpoint::replyTo(const Http::Request &request, Common::Duration worked)
{
    const std::string_view path = Http::splitTarget(request.target).path;
    Http::Response response = Http::jsonResponse(200, "");
    if (this->pool.kind == PoolKind::Service) {
        constexpr std::string_view kPrefix = "/v1/call/";
        response.body = serviceReply(this->pool.name, path.substr(kPrefix.size()), request.body);
    } else {
        boost::system::error_code error;
        const json::value body = json::parse(request.body, error);
        if (error || !body.is_object())
            return Http::jsonResponse(400, R"({"error":"bad body"})");
        const json::value *input = body.get_object().if_contains("input");
        const json::value *previous = body.get_object().if_contains("previous");
        const std::string_view kind = path.substr(path.rfind('/') + 1);
        const json::value output = stageOutput(kind, input ? *input : json::value(),
                                               previous ? *previous : json::value());
        response.body = json::serialize(json::object{{"output", output}});
    }
    const std::string_view tag = request.headers.find(Wire::kAttemptTag);
    const bool foreign
        = this->faults.trigger(this->endpoint.id, FaultKind::ForeignTag, clockNow()).has_value();
    if (!tag.empty())
        response.headers.add(Wire::kAttemptTag, foreign ? "other-run:0:0:0" : tag);
    response.headers.add(Wire::kLoadReport, this->loadReport());
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(worked).count();
    response.headers.add(Wire::kBusyMicros, std::to_string(micros));
    return response;
}

Http::Awaitable<void> CallEndpoint::handle(Http::Exchange &exchange)
{
    if (!co_await applyRequestFaults(exchange, this->faults, this->endpoint.id))
        co_return;
    const Http::Request &request = exchange.request();
    const std::string_view path = Http::splitTarget(request.target).path;
    if (path == "/v1/load") {
        Http::Response report = Http::jsonResponse(200, this->loadReport());
        co_await exchange.respond(std::move(report));
        co_return;
    }
    const bool isService = path.starts_with("/v1/call/");
    if (!isService && !path.starts_with("/v1/stages/")) {
        Http::Response unknown = Http::jsonResponse(404, R"({"error":"not found"})");
        co_await exchange.respond(std::move(unknown));
        co_return;
    }
    // A service call takes effect as soon as it is received, so its run is counted even if the
    // caller disconnects before the reply.
    if (isService) {
        ++this->total;
        const std::string key(request.headers.find(Wire::kIdempotencyKey));
        if (!key.empty())
            ++this->runs[key];
    }
    const bool isPatient = request.headers.find(Wire::kPriority) == "patient";
    if (!co_await this->acquire(exchange, isPatient))
        co_return;
    Common::Duration worked{0};
    const bool finished = co_await this->work(exchange, worked);
    this->release();
    if (!finished || !shouldSendReply(this->faults, this->endpoint.id))
        co_return;
    if (!isService)
        ++this->total;
    Http::Response reply = this->replyTo(request, worked);
    co_await exchange.respond(std::move(reply));
}

} // namespace Tanagerbay::StandIns
