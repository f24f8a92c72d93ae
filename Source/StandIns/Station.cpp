#include "StandIns/Station.h"

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

bool isHeld(FaultBoard &faults, std::string_view target)
{
    return faults.hit(target, FaultKind::Pause, clockNow()).has_value();
}

Http::Awaitable<bool> passFaultsBefore(Http::Exchange &exchange, FaultBoard &faults,
                                       std::string_view target)
{
    while (isHeld(faults, target) && !exchange.callerGone())
        co_await sleepFor(kPollInterval);
    const Common::Time now = clockNow();
    if (exchange.callerGone() || faults.hit(target, FaultKind::Die, now)
        || faults.hit(target, FaultKind::DropBefore, now))
        co_return false;
    if (faults.hit(target, FaultKind::Refuse, now)) {
        Http::Response refusal = Http::jsonResponse(503, R"({"error":"refused"})");
        co_await exchange.respond(std::move(refusal));
        co_return false;
    }
    if (faults.hit(target, FaultKind::Error, now)) {
        Http::Response failure = Http::jsonResponse(500, R"({"error":"failed"})");
        co_await exchange.respond(std::move(failure));
        co_return false;
    }
    co_return true;
}

bool passFaultsAfter(FaultBoard &faults, std::string_view target)
{
    const Common::Time now = clockNow();
    return !faults.hit(target, FaultKind::DropAfter, now)
        && !faults.hit(target, FaultKind::Die, now);
}

Station::Station(asio::any_io_executor executor, const PoolSettings &pool,
                 EndpointSettings endpoint, FaultBoard &faults)
    : executor(std::move(executor)), pool(pool), endpoint(std::move(endpoint)), faults(faults)
{
}

void Station::noteLoad()
{
    this->history.note({this->running, static_cast<std::uint32_t>(this->waiters.size())},
                       clockNow());
}

std::string Station::loadReport()
{
    const Common::Time now = clockNow();
    Common::Duration lag = this->pool.reportLag;
    if (const auto late = this->faults.hit(this->endpoint.id, FaultKind::LateReports, now))
        lag = Common::Milliseconds(static_cast<std::int64_t>(late->value));
    const bool leaving = this->faults.hit(this->endpoint.id, FaultKind::Leaving, now).has_value();
    return formatLoadReport(this->history.asOf(now, lag), this->pool.slots, leaving);
}

Http::Awaitable<bool> Station::acquire(Http::Exchange &exchange, bool patient)
{
    if (this->running < this->pool.slots) {
        ++this->running;
        this->noteLoad();
        co_return true;
    }
    auto position = this->waiters.end();
    if (!patient) {
        position = this->waiters.begin();
        while (position != this->waiters.end() && !position->patient)
            ++position;
    }
    const auto waiter = this->waiters.insert(
        position, Waiter{asio::steady_timer(this->executor), patient, false});
    this->noteLoad();
    exchange.onCallerGone([waiter] { waiter->timer.cancel(); });
    waiter->timer.expires_at(Common::Time::max());
    boost::system::error_code ignored;
    co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    exchange.onCallerGone(nullptr);
    const bool granted = waiter->granted;
    this->waiters.erase(waiter);
    this->noteLoad();
    if (granted && exchange.callerGone()) {
        this->release();
        co_return false;
    }
    co_return granted;
}

void Station::release()
{
    for (Waiter &waiter : this->waiters) {
        if (waiter.granted)
            continue;
        waiter.granted = true;
        waiter.timer.cancel();
        return;
    }
    --this->running;
    this->noteLoad();
}

Http::Awaitable<bool> Station::work(Http::Exchange &exchange, Common::Duration &worked)
{
    const auto slow = this->faults.hit(this->endpoint.id, FaultKind::Slow, clockNow());
    Common::Duration duration = this->pool.service;
    if (slow)
        duration = std::chrono::duration_cast<Common::Duration>(duration * slow->value);
    const Common::Time start = clockNow();
    const Common::Time end = start + duration;
    while (clockNow() < end && !exchange.callerGone()) {
        const Common::Duration left = end - clockNow();
        const Common::Duration slice = std::max<Common::Duration>(duration / 4, kPollInterval);
        co_await sleepFor(std::min(left, slice));
    }
    while (isHeld(this->faults, this->endpoint.id) && !exchange.callerGone())
        co_await sleepFor(kPollInterval);
    worked = clockNow() - start;
    this->busy += worked;
    if (exchange.callerGone())
        ++this->cancelled;
    co_return !exchange.callerGone();
}

Http::Response Station::replyTo(const Http::Request &request, Common::Duration worked)
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
        = this->faults.hit(this->endpoint.id, FaultKind::ForeignTag, clockNow()).has_value();
    if (!tag.empty())
        response.headers.add(Wire::kAttemptTag, foreign ? "other-run:0:0:0" : tag);
    response.headers.add(Wire::kLoadReport, this->loadReport());
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(worked).count();
    response.headers.add(Wire::kBusyMicros, std::to_string(micros));
    return response;
}

Http::Awaitable<void> Station::handle(Http::Exchange &exchange)
{
    if (!co_await passFaultsBefore(exchange, this->faults, this->endpoint.id))
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
    // A service acts as soon as it has the whole call; what follows is the time of its reply.
    if (isService) {
        ++this->total;
        const std::string key(request.headers.find(Wire::kIdempotencyKey));
        if (!key.empty())
            ++this->runs[key];
    }
    const bool patient = request.headers.find(Wire::kPriority) == "patient";
    if (!co_await this->acquire(exchange, patient))
        co_return;
    Common::Duration worked{0};
    const bool finished = co_await this->work(exchange, worked);
    this->release();
    if (!finished || !passFaultsAfter(this->faults, this->endpoint.id))
        co_return;
    if (!isService)
        ++this->total;
    Http::Response reply = this->replyTo(request, worked);
    co_await exchange.respond(std::move(reply));
}

} // namespace Tanagerbay::StandIns
