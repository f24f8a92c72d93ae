#include "StandIns/Engine.h"

#include "Common/Clock.h"
#include "Common/Hash.h"
#include "Http/EventStream.h"
#include "Pipeline/TokenStream.h"
#include "Pipeline/Wire.h"
#include "StandIns/Answers.h"
#include "StandIns/Station.h"

#include <charconv>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::StandIns {

namespace asio = boost::asio;
namespace json = boost::json;
namespace Wire = Pipeline::Wire;

using Common::clockNow;

namespace {

constexpr std::size_t kMostEvents = 10'000;
constexpr std::size_t kMostEventsPerReply = 1000;
constexpr Common::Milliseconds kHeldPoll{10};
constexpr Common::Milliseconds kKeepLeftStreams{15'000};

Http::Response badRequest(const std::string &problem)
{
    return Http::jsonResponse(400, json::serialize(json::object{{"error", problem}}));
}

} // namespace

Engine::Engine(asio::any_io_executor executor, const PoolSettings &pool, EndpointSettings endpoint,
               FaultBoard &faults, std::uint64_t seed)
    : executor(std::move(executor)), pool(pool), endpoint(std::move(endpoint)), faults(faults),
      random(seed)
{
}

Http::Awaitable<void> Engine::handle(Http::Exchange &exchange)
{
    if (!co_await passFaultsBefore(exchange, this->faults, this->endpoint.id))
        co_return;
    const Http::Target target = Http::splitTarget(exchange.request().target);
    if (target.path == "/v1/stages/generation") {
        co_await this->generate(exchange);
        co_return;
    }
    constexpr std::string_view kStreams = "/v1/streams/";
    if (target.path.starts_with(kStreams)) {
        co_await this->resume(exchange, target.path.substr(kStreams.size()));
        co_return;
    }
    Http::Response response = Http::jsonResponse(404, R"({"error":"not found"})");
    if (target.path == "/v1/load")
        response = Http::jsonResponse(200, this->loadReport());
    else if (target.path == "/v1/cache-events")
        response = this->cacheEvents(target.query);
    co_await exchange.respond(std::move(response));
}

Engine::SequencePtr Engine::startSequence(const Http::Request &request, std::string &problem)
{
    Common::JsonFaults faultsFound;
    const auto document = Common::parseJson(request.body, faultsFound);
    if (!document) {
        problem = Common::describeFaults(faultsFound);
        return nullptr;
    }
    Common::ObjectReader reader(*document, "", faultsFound);
    const std::string prompt = reader.text("prompt");
    const auto wanted = reader.integer("maxTokens", 1, 1'000'000);
    const std::vector<std::string> prefix = reader.textArray("prefix", false);
    if (!faultsFound.empty()) {
        problem = Common::describeFaults(faultsFound);
        return nullptr;
    }
    auto sequence = std::make_shared<Sequence>(Sequence{asio::steady_timer(this->executor)});
    sequence->promptDigest = Common::digestOf(prompt);
    sequence->blocks = Routing::prefixBlocks(prompt, Wire::kPrefixBlockBytes);
    sequence->produced = prefix.size();
    sequence->wanted = static_cast<std::size_t>(wanted);
    sequence->patient = request.headers.find(Wire::kPriority) == "patient";
    return sequence;
}

Http::Awaitable<void> Engine::generate(Http::Exchange &exchange)
{
    std::string problem;
    const SequencePtr sequence = this->startSequence(exchange.request(), problem);
    if (!sequence) {
        Http::Response refusal = badRequest(problem);
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    const std::size_t first = sequence->produced;
    this->enqueue(sequence);
    co_await this->stream(exchange, sequence, first);
}

// Takes up a stream whose reader left, from its first token on.
Http::Awaitable<void> Engine::resume(Http::Exchange &exchange, std::string_view streamName)
{
    const std::string name(streamName);
    this->forgetOldStreams(clockNow());
    const auto found = this->leftStreams.find(name);
    if (found == this->leftStreams.end()) {
        Http::Response unknown = Http::jsonResponse(404, R"({"error":"no such stream"})");
        co_await exchange.respond(std::move(unknown));
        co_return;
    }
    const SequencePtr sequence = found->second.sequence;
    this->leftStreams.erase(found);
    sequence->abandoned = false;
    if (sequence->produced < sequence->wanted)
        this->enqueue(sequence);
    co_await this->stream(exchange, sequence, 0);
}

void Engine::forgetOldStreams(Common::Time now)
{
    for (auto entry = this->leftStreams.begin(); entry != this->leftStreams.end();) {
        const bool old = now - entry->second.leftAt > kKeepLeftStreams;
        entry = old ? this->leftStreams.erase(entry) : std::next(entry);
    }
}

Http::Awaitable<void> Engine::stream(Http::Exchange &exchange, SequencePtr sequence,
                                     std::size_t first)
{
    exchange.onCallerGone([sequence] { sequence->wake.cancel(); });
    Http::Response head;
    head.headers.add("Content-Type", "text/event-stream");
    const bool foreign
        = this->faults.hit(this->endpoint.id, FaultKind::ForeignTag, clockNow()).has_value();
    const std::string tag(exchange.request().headers.find(Wire::kAttemptTag));
    head.headers.add(Wire::kAttemptTag, foreign ? "other-run:0:0:0" : tag);
    head.headers.add(Wire::kLoadReport, this->loadReport());
    bool whole = co_await exchange.beginStream(std::move(head));
    if (whole)
        whole = co_await this->sendTokens(exchange, *sequence, first);
    exchange.onCallerGone(nullptr);
    if (whole) {
        co_await exchange.endStream();
        co_return;
    }
    if (sequence->produced < sequence->wanted)
        ++this->cancelled;
    // Work stops, and what was produced is kept for a reader that comes back.
    sequence->abandoned = true;
    const std::string name = tag.substr(0, tag.rfind(':'));
    if (!this->faults.hit(this->endpoint.id, FaultKind::Die, clockNow()))
        this->leftStreams[name] = {sequence, clockNow()};
    this->forgetOldStreams(clockNow());
}

Http::Awaitable<bool> Engine::sendTokens(Http::Exchange &exchange, Sequence &sequence,
                                         std::size_t first)
{
    std::size_t sent = first;
    std::vector<std::string> all;
    for (std::size_t i = 0; i < first; ++i)
        all.push_back(tokenAt(sequence.promptDigest, i));
    std::string buffer;
    while (sent < sequence.wanted) {
        if (sent == sequence.produced) {
            sequence.wake.expires_at(Common::Time::max());
            boost::system::error_code ignored;
            co_await sequence.wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        const Common::Time now = clockNow();
        if (exchange.callerGone() || this->faults.hit(this->endpoint.id, FaultKind::Die, now))
            co_return false;
        if (sent > first && this->faults.hit(this->endpoint.id, FaultKind::Truncate, now))
            co_return false;
        buffer.clear();
        for (; sent < sequence.produced; ++sent) {
            all.push_back(tokenAt(sequence.promptDigest, sent));
            Http::appendEvent(buffer, {std::to_string(sent), "", all.back()});
        }
        if (!buffer.empty() && !co_await exchange.writeChunk(buffer))
            co_return false;
    }
    const auto micros
        = std::chrono::duration_cast<std::chrono::microseconds>(sequence.busy).count();
    const json::object done{
        {"tokens", sent},
        {"digest", Pipeline::streamDigest(all)},
        {"busyMicros", micros},
        {"load", json::parse(this->loadReport())},
    };
    buffer.clear();
    Http::appendEvent(buffer, {"", std::string(Wire::kDoneEvent), json::serialize(done)});
    co_return co_await exchange.writeChunk(buffer);
}

void Engine::enqueue(SequencePtr sequence)
{
    auto position = this->waiting.end();
    if (!sequence->patient) {
        position = this->waiting.begin();
        while (position != this->waiting.end() && !(*position)->patient)
            ++position;
    }
    this->waiting.insert(position, std::move(sequence));
    this->noteLoad();
    if (this->batchRuns)
        return;
    this->batchRuns = true;
    asio::co_spawn(this->executor, this->runBatch(), asio::detached);
}

Common::Duration Engine::prefill(Sequence &sequence)
{
    // The cached part is the longest run of blocks from the start.
    std::size_t cachedCount = 0;
    while (cachedCount < sequence.blocks.size()
           && this->cache.contains(sequence.blocks[cachedCount]))
        ++cachedCount;
    for (const std::uint64_t block : sequence.blocks)
        this->cacheBlock(block);
    const std::size_t missing = sequence.blocks.size() - cachedCount;
    this->blocksFromCache += cachedCount;
    this->blocksPrefilled += missing;
    return this->pool.prefillPerBlock * missing;
}

void Engine::admitWaiting(Common::Duration &prefillTime)
{
    std::erase_if(this->waiting, [](const SequencePtr &entry) { return entry->abandoned; });
    while (this->running.size() < this->pool.slots && !this->waiting.empty()) {
        SequencePtr sequence = this->waiting.front();
        this->waiting.pop_front();
        const Common::Duration own = this->prefill(*sequence);
        sequence->busy += own;
        prefillTime += own;
        this->running.push_back(std::move(sequence));
    }
}

Common::Duration Engine::stepDuration() const
{
    const double fullness = static_cast<double>(this->running.size()) / this->pool.slots;
    const double factor = 1 + this->pool.batchSlowdown * fullness;
    return std::chrono::duration_cast<Common::Duration>(this->pool.tokenInterval * factor);
}

void Engine::finishStep(Common::Duration duration)
{
    this->busy += duration;
    const Common::Duration share = duration / std::max<std::size_t>(this->running.size(), 1);
    for (auto entry = this->running.begin(); entry != this->running.end();) {
        Sequence &sequence = **entry;
        if (!sequence.abandoned && sequence.produced < sequence.wanted) {
            ++sequence.produced;
            ++this->tokensProduced;
            sequence.busy += share;
            sequence.wake.cancel();
        }
        const bool over = sequence.abandoned || sequence.produced >= sequence.wanted;
        entry = over ? this->running.erase(entry) : std::next(entry);
    }
    this->noteLoad();
}

Http::Awaitable<void> Engine::runBatch()
{
    asio::steady_timer timer(this->executor);
    boost::system::error_code ignored;
    Common::Time next = clockNow();
    while (!this->waiting.empty() || !this->running.empty()) {
        while (isHeld(this->faults, this->endpoint.id)) {
            timer.expires_after(kHeldPoll);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        Common::Duration prefillTime{0};
        this->admitWaiting(prefillTime);
        Common::Duration duration = this->stepDuration() + prefillTime;
        if (const auto slow = this->faults.hit(this->endpoint.id, FaultKind::Slow, clockNow()))
            duration = std::chrono::duration_cast<Common::Duration>(duration * slow->value);
        // Steps follow one another without the timer's rounding adding up.
        next = std::max(next + duration, clockNow());
        timer.expires_at(next);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        this->finishStep(duration);
    }
    this->batchRuns = false;
}

void Engine::cacheBlock(std::uint64_t block)
{
    if (this->pool.cacheBlocks == 0)
        return;
    const auto found = this->cache.find(block);
    if (found != this->cache.end()) {
        this->cacheOrder.splice(this->cacheOrder.end(), this->cacheOrder, found->second);
        return;
    }
    this->cacheOrder.push_back(block);
    this->cache[block] = std::prev(this->cacheOrder.end());
    this->noteCacheEvent(true, block);
    if (this->cache.size() <= this->pool.cacheBlocks)
        return;
    const std::uint64_t oldest = this->cacheOrder.front();
    this->cacheOrder.pop_front();
    this->cache.erase(oldest);
    this->noteCacheEvent(false, oldest);
}

void Engine::noteCacheEvent(bool added, std::uint64_t block)
{
    const std::uint64_t number = this->nextEvent++;
    std::uniform_real_distribution<double> draw(0, 1);
    if (draw(this->random) < this->pool.cacheEventLoss)
        return;
    this->events.push_back({number, clockNow(), added, block});
    if (this->events.size() > kMostEvents)
        this->events.pop_front();
}

Http::Response Engine::cacheEvents(std::string_view query)
{
    std::uint64_t since = 0;
    constexpr std::string_view kSince = "since=";
    if (query.starts_with(kSince))
        std::from_chars(query.data() + kSince.size(), query.data() + query.size(), since);
    const Common::Time latest = clockNow() - this->pool.reportLag;
    json::array list;
    for (const CacheEvent &event : this->events) {
        if (event.number <= since)
            continue;
        if (event.at > latest || list.size() >= kMostEventsPerReply)
            break;
        // Hashes are sent as text, since JSON numbers do not hold 64 bits everywhere.
        list.push_back(json::object{{"number", event.number},
                                    {"added", event.added},
                                    {"block", std::to_string(event.block)}});
    }
    return Http::jsonResponse(200, json::serialize(json::object{{"events", list}}));
}

void Engine::noteLoad()
{
    this->history.note({static_cast<std::uint32_t>(this->running.size()),
                        static_cast<std::uint32_t>(this->waiting.size())},
                       clockNow());
}

std::string Engine::loadReport()
{
    const Common::Time now = clockNow();
    Common::Duration lag = this->pool.reportLag;
    if (const auto late = this->faults.hit(this->endpoint.id, FaultKind::LateReports, now))
        lag = Common::Milliseconds(static_cast<std::int64_t>(late->value));
    const bool leaving = this->faults.hit(this->endpoint.id, FaultKind::Leaving, now).has_value();
    return formatLoadReport(this->history.asOf(now, lag), this->pool.slots, leaving);
}

} // namespace Tanagerbay::StandIns
