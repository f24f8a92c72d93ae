// Stand-in of a model engine: continuous batching, a bounded prefix cache, two priorities and
// streamed answers that can be resumed after a disconnect.
#pragma once

#include "Http/Server.h"
#include "Routing/PrefixIndex.h"
#include "StandIns/FaultInjector.h"
#include "StandIns/LoadHistory.h"
#include "StandIns/Settings.h"

#include <deque>
#include <list>
#include <random>
#include <unordered_map>

#include <boost/asio/steady_timer.hpp>

namespace Tanagerbay::StandIns {

// All members are used on one executor.
class Engine
{
public:
    Engine(boost::asio::any_io_executor executor, const PoolSettings &pool,
           EndpointSettings endpoint, FaultInjector &faults, std::uint64_t seed);

    Http::Awaitable<void> handle(Http::Exchange &exchange);

    // Simulates that another process of this version takes the engine's place: streams in progress
    // end early, retained ones and the cache are lost.
    void restart(std::string version);

    std::uint64_t totalTokens() const
    {
        return this->tokensProduced;
    }
    std::uint64_t cancelledSequences() const
    {
        return this->cancelled;
    }
    std::uint64_t prefilledBlocks() const
    {
        return this->blocksPrefilled;
    }
    std::uint64_t cachedBlocks() const
    {
        return this->blocksFromCache;
    }
    Common::Duration busyTime() const
    {
        return this->busy;
    }

private:
    struct Sequence
    {
        boost::asio::steady_timer wake;
        std::string promptDigest;
        // Tokens that were sent with the request.
        std::vector<std::string> prefix;
        // Appended to each token that this engine generates, so that a reader can tell versions
        // apart.
        std::string tokenSuffix;
        Routing::PrefixBlocks blocks;
        // Index of the next token to produce, counted from the start of the answer, including
        // the prefix sent with the request.
        std::size_t producedCount = 0;
        std::size_t requestedCount = 0;
        bool isPatient = false;
        bool abandoned = false;
        Common::Duration busy{0};
    };
    using SequencePtr = std::shared_ptr<Sequence>;

    Http::Awaitable<void> generate(Http::Exchange &exchange);
    Http::Awaitable<void> resume(Http::Exchange &exchange, std::string_view streamName);
    Http::Awaitable<void> stream(Http::Exchange &exchange, std::shared_ptr<Sequence> sequence,
                                 std::size_t first);
    void evictExpiredStreams(Common::Time now);
    static std::string tokenOf(const Sequence &sequence, std::size_t index);
    SequencePtr startSequence(const Http::Request &request, std::string &problem);
    Http::Awaitable<bool> sendTokens(Http::Exchange &exchange, Sequence &sequence,
                                     std::size_t first);
    Http::Awaitable<void> runBatch();
    void admitWaiting(Common::Duration &prefill);
    Common::Duration prefill(Sequence &sequence);
    Common::Duration stepDuration() const;
    void finishStep(Common::Duration duration);
    void enqueue(SequencePtr sequence);
    void cacheBlock(std::uint64_t block);
    void recordCacheEvent(bool added, std::uint64_t block);
    Http::Response cacheEvents(std::string_view query);
    std::string loadReport();
    void recordLoad();

    boost::asio::any_io_executor executor;
    const PoolSettings &pool;
    EndpointSettings endpoint;
    FaultInjector &faults;
    std::mt19937_64 random;
    LoadHistory history;
    std::list<SequencePtr> waiting;
    std::list<SequencePtr> running;
    bool isBatchRunning = false;
    // A stream whose reader disconnected before the end. It can be resumed until its retention
    // period ends.
    struct AbandonedStream
    {
        SequencePtr sequence;
        Common::Time abandonedAt;
    };
    std::unordered_map<std::string, AbandonedStream> abandonedStreams;

    std::list<std::uint64_t> cacheOrder;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache;
    struct CacheEvent
    {
        std::uint64_t number = 0;
        Common::Time at;
        bool added = false;
        std::uint64_t block = 0;
    };
    std::deque<CacheEvent> events;
    std::uint64_t nextEvent = 1;

    std::uint64_t tokensProduced = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t blocksPrefilled = 0;
    std::uint64_t blocksFromCache = 0;
    Common::Duration busy{0};
};

} // namespace Tanagerbay::StandIns
