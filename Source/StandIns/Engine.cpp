#include "StandIns/Engine.h"

#include "Common/Clock.h"
#include "Common/Hash.h"
#include "Http/EventStream.h"
#include "Pipeline/TokenStream.h"
#include "Pipeline/Wire.h"
#include "StandIns/Answers.h"
#include "StandIns/CallEndpoint.h"

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

constexpr std::size_t kMaxCacheEvents = 10'000;
constexpr std::size_t kMaxCacheEventsPerReply = 1000;
constexpr Common::Milliseconds kPausePollInterval{10};
constexpr Common::Milliseconds kAbandonedStreamRetention{15'000};

Http::Response badRequest(const std::string &problem)
{
    return Http::jsonResponse(400, json::serialize(json::object{{"error", problem}}));
}

} // namespace

Engine::Engine(asio::any_io_executor executor, const PoolSettings &pool, EndpointSettings endpoint,
               FaultInjector &faults, std::uint64_t seed)
    : executor(std::move(executor)), pool(pool), endpoint(std::move(endpoint)), faults(faults),
      random(seed)
{
}

Http::Awaitable<void> Engine::handle(Http::Exchange &exchange)
{
    if (!co_await applyRequestFaults(exchange, this->faults, this->endpoint.id))
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

void Engine::restart(std::string version)
{
    this->endpoint.version = std::move(version);
    for (auto *sequences : {&this->waiting, &this->running}) {
        for (const SequencePtr &sequence : *sequences) {
            sequence->abandoned = true;
            sequence->wake.cancel();
        }
    }
    this->abandonedStreams.clear();
    this->cache.clear();
    this->cacheOrder.clear();
}

std::string Engine::tokenOf(const Sequence &sequence, std::size_t index)
{
    if (index < sequence.prefix.size())
        return sequence.prefix[index];
    return tokenAt(sequence.promptDigest, index) + sequence.tokenSuffix;
}

Engine::SequencePtr Engine::startSequence(const Http::Request &request, std::string &problem)
{
    Common::JsonFaults jsonFaults;
    const auto document = Common::parseJson(request.body, jsonFaults);
    if (!document) {
        problem = Common::describeFaults(jsonFaults);
        return nullptr;
    }
    Common::ObjectReader reader(*document, "", jsonFaults);
    const std::string prompt = reader.text("prompt");
    const auto requestedCount = reader.integer("maxTokens", 1, 1'000'000);
    std::vector<std::string> prefix = reader.textArray("prefix", false);
    if (!jsonFaults.empty()) {
        problem = Common::describeFaults(jsonFaults);
        return nullptr;
    }
    auto sequence = std::make_shared<Sequence>(Sequence{asio::steady_timer(this->executor)});
    sequence->promptDigest = Common::digestOf(prompt);
    sequence->blocks = Routing::prefixBlocks(prompt, Wire::kPrefixBlockBytes);
    sequence->producedCount = prefix.size();
    sequence->prefix = std::move(prefix);
    if (!this->endpoint.version.empty())
        sequence->tokenSuffix = "~" + this->endpoint.version;
    sequence->requestedCount = static_cast<std::size_t>(requestedCount);
    sequence->isPatient = request.headers.find(Wire::kPriority) == "patient";
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
    const std::size_t first = sequence->producedCount;
    this->enqueue(sequence);
    co_await this->stream(exchange, sequence, first);
}

// Resumes a stream whose reader disconnected, sending it again from its first token.
Http::Awaitable<void> Engine::resume(Http::Exchange &exchange, std::string_view streamName)
{
    const std::string name(streamName);
    this->evictExpiredStreams(clockNow());
    const auto found = this->abandonedStreams.find(name);
    if (found == this->abandonedStreams.end()) {
        Http::Response unknown = Http::jsonResponse(404, R"({"error":"no such stream"})");
        co_await exchange.respond(std::move(unknown));
        co_return;
    }
    const SequencePtr sequence = found->second.sequence;
    this->abandonedStreams.erase(found);
    sequence->abandoned = false;
    if (sequence->producedCount < sequence->requestedCount)
        this->enqueue(sequence);
    co_await this->stream(exchange, sequence, 0);
}

void Engine::evictExpiredStreams(Common::Time now)
{
    for (auto entry = this->abandonedStreams.begin(); entry != this->abandonedStreams.end();) {
        const bool expired = now - entry->second.abandonedAt > kAbandonedStreamRetention;
        entry = expired ? this->abandonedStreams.erase(entry) : std::next(entry);
    }
}

Http::Awaitable<void> Engine::stream(Http::Exchange &exchange, SequencePtr sequence,
                                     std::size_t first)
{
    exchange.onCallerGone([sequence] { sequence->wake.cancel(); });
    Http::Response head;
    head.headers.add("Content-Type", "text/event-stream");
    const bool foreign
        = this->faults.trigger(this->endpoint.id, FaultKind::ForeignTag, clockNow()).has_value();
    const std::string tag(exchange.request().headers.find(Wire::kAttemptTag));
    head.headers.add(Wire::kAttemptTag, foreign ? "other-run:0:0:0" : tag);
    head.headers.add(Wire::kLoadReport, this->loadReport());
    const bool isVersionHidden
        = this->faults.trigger(this->endpoint.id, FaultKind::HiddenVersion, clockNow()).has_value();
    if (!this->endpoint.version.empty() && !isVersionHidden)
        head.headers.add(Wire::kSoftwareVersion, this->endpoint.version);
    bool streamComplete = co_await exchange.beginStream(std::move(head));
    if (streamComplete)
        streamComplete = co_await this->sendTokens(exchange, *sequence, first);
    exchange.onCallerGone(nullptr);
    if (streamComplete) {
        co_await exchange.endStream();
        co_return;
    }
    if (sequence->producedCount < sequence->requestedCount)
        ++this->cancelled;
    // Generation stops. The tokens produced so far are kept for a reader that resumes the stream.
    const bool isProcessGone = std::exchange(sequence->abandoned, true);
    const std::string name = tag.substr(0, tag.rfind(':'));
    if (!isProcessGone && !this->faults.trigger(this->endpoint.id, FaultKind::Die, clockNow()))
        this->abandonedStreams[name] = {sequence, clockNow()};
    this->evictExpiredStreams(clockNow());
}

Http::Awaitable<bool> Engine::sendTokens(Http::Exchange &exchange, Sequence &sequence,
                                         std::size_t first)
{
    std::size_t sent = first;
    std::vector<std::string> allTokens;
    for (std::size_t i = 0; i < first; ++i)
        allTokens.push_back(tokenOf(sequence, i));
    std::string buffer;
    while (sent < sequence.requestedCount) {
        if (sent == sequence.producedCount && !sequence.abandoned) {
            sequence.wake.expires_at(Common::Time::max());
            boost::system::error_code ignored;
            co_await sequence.wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        const Common::Time now = clockNow();
        if (exchange.callerGone() || sequence.abandoned
            || this->faults.trigger(this->endpoint.id, FaultKind::Die, now))
            co_return false;
        if (sent > first && this->faults.trigger(this->endpoint.id, FaultKind::Truncate, now))
            co_return false;
        buffer.clear();
        for (; sent < sequence.producedCount; ++sent) {
            allTokens.push_back(tokenOf(sequence, sent));
            Http::appendEvent(buffer, {std::to_string(sent), "", allTokens.back()});
        }
        if (!buffer.empty() && !co_await exchange.writeChunk(buffer))
            co_return false;
    }
    const auto micros
        = std::chrono::duration_cast<std::chrono::microseconds>(sequence.busy).count();
    const json::object done{
        {"tokens", sent},
        {"digest", Pipeline::streamDigest(allTokens)},
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
    if (!sequence->isPatient) {
        position = this->waiting.begin();
        while (position != this->waiting.end() && !(*position)->isPatient)
            ++position;
    }
    this->waiting.insert(position, std::move(sequence));
    this->recordLoad();
    if (this->isBatchRunning)
        return;
    this->isBatchRunning = true;
    asio::co_spawn(this->executor, this->runBatch(), asio::detached);
}

Common::Duration Engine::prefill(Sequence &sequence)
{
    // Only the longest cached prefix of the blocks saves prefill; cached blocks after a gap do not
    // count.
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
        const Common::Duration sequencePrefill = this->prefill(*sequence);
        sequence->busy += sequencePrefill;
        prefillTime += sequencePrefill;
        this->running.push_back(std::move(sequence));
    }
}

Common::Duration Engine::stepDuration() const
{
    const double occupancy = static_cast<double>(this->running.size()) / this->pool.slots;
    const double factor = 1 + this->pool.batchSlowdown * occupancy;
    return std::chrono::duration_cast<Common::Duration>(this->pool.tokenInterval * factor);
}

void Engine::finishStep(Common::Duration duration)
{
    this->busy += duration;
    const Common::Duration share = duration / std::max<std::size_t>(this->running.size(), 1);
    for (auto entry = this->running.begin(); entry != this->running.end();) {
        Sequence &sequence = **entry;
        if (!sequence.abandoned && sequence.producedCount < sequence.requestedCount) {
            ++sequence.producedCount;
            ++this->tokensProduced;
            sequence.busy += share;
            sequence.wake.cancel();
        }
        const bool isFinished
            = sequence.abandoned || sequence.producedCount >= sequence.requestedCount;
        entry = isFinished ? this->running.erase(entry) : std::next(entry);
    }
    this->recordLoad();
}

Http::Awaitable<void> Engine::runBatch()
{
    asio::steady_timer timer(this->executor);
    boost::system::error_code ignored;
    Common::Time next = clockNow();
    while (!this->waiting.empty() || !this->running.empty()) {
        while (isPaused(this->faults, this->endpoint.id)) {
            timer.expires_after(kPausePollInterval);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        Common::Duration prefillTime{0};
        this->admitWaiting(prefillTime);
        Common::Duration duration = this->stepDuration() + prefillTime;
        if (const auto slow = this->faults.trigger(this->endpoint.id, FaultKind::Slow, clockNow()))
            duration = std::chrono::duration_cast<Common::Duration>(duration * slow->value);
        // The next step is timed from the planned end of the previous one, so that timer latency
        // does not accumulate.
        next = std::max(next + duration, clockNow());
        timer.expires_at(next);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        this->finishStep(duration);
    }
    this->isBatchRunning = false;
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
    this->recordCacheEvent(true, block);
    if (this->cache.size() <= this->pool.cacheBlocks)
        return;
    const std::uint64_t oldest = this->cacheOrder.front();
    this->cacheOrder.pop_front();
    this->cache.erase(oldest);
    this->recordCacheEvent(false, oldest);
}

void Engine::recordCacheEvent(bool added, std::uint64_t block)
{
    const std::uint64_t number = this->nextEvent++;
    std::uniform_real_distribution<double> draw(0, 1);
    if (draw(this->random) < this->pool.cacheEventLoss)
        return;
    this->events.push_back({number, clockNow(), added, block});
    if (this->events.size() > kMaxCacheEvents)
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
        if (event.at > latest || list.size() >= kMaxCacheEventsPerReply)
            break;
        // Hashes are sent as text, since not every JSON parser keeps 64-bit numbers exact.
        list.push_back(json::object{{"number", event.number},
                                    {"added", event.added},
                                    {"block", std::to_string(event.block)}});
    }
    return Http::jsonResponse(200, json::serialize(json::object{{"events", list}}));
}

void Engine::recordLoad()
{
    this->history.record({static_cast<std::uint32_t>(this->running.size()),
                          static_cast<std::uint32_t>(this->waiting.size())},
                         clockNow());
}

std::string Engine::loadReport()
{
    const Common::Time now = clockNow();
    Common::Duration lag = this->pool.reportLag;
    if (const auto late = this->faults.trigger(this->endpoint.id, FaultKind::LateReports, now))
        lag = Common::Milliseconds(static_cast<std::int64_t>(late->value));
    const bool leaving
        = this->faults.trigger(this->endpoint.id, FaultKind::Leaving, now).has_value();
    return formatLoadReport(this->history.asOf(now, lag), this->pool.slots, leaving);
}

} // namespace Tanagerbay::StandIns
