// Benchmarks of the decisions that are made for requests, list edits and callers, at sizes from the
// current deployment to the target.
#include "Common/Hash.h"
#include "Limits/Shares.h"
#include "Lists/Snapshot.h"
#include "Membership/Members.h"
#include "Quarantine/Verdict.h"
#include "Routing/Pool.h"
#include "Staging/StageQueue.h"

#include <benchmark/benchmark.h>

namespace {

using namespace Tanagerbay;

const Common::Time kNow{std::chrono::hours(1)};

void fillPool(Routing::Pool &pool, std::int64_t count)
{
    std::vector<Routing::EndpointEntry> entries;
    for (std::int64_t i = 0; i < count; ++i) {
        Routing::EndpointEntry entry;
        entry.id = Common::EndpointId("endpoint-" + std::to_string(i));
        entry.address = {"127.0.0.1", static_cast<std::uint16_t>(10'000 + i)};
        entry.failureDomain = Common::FailureDomain("d" + std::to_string(i % 7));
        entries.push_back(std::move(entry));
    }
    Routing::applyEntries(pool, entries);
    for (Routing::Endpoint &endpoint : pool.endpoints)
        endpoint.report.slots = 8;
}

// Chooses an endpoint for a prompt of 16 blocks, and records the start and the end of the call.
void chooseEndpoint(benchmark::State &state)
{
    Routing::Pool pool(65'536);
    fillPool(pool, state.range(0));
    std::mt19937_64 random(1);
    const Routing::PrefixBlocks blocks = Routing::prefixBlocks(std::string(1024, 'x'), 64);
    for (std::size_t i = 0; i < blocks.size(); ++i)
        pool.prefixes.noteCached(blocks[i], pool.endpoints[i % pool.endpoints.size()].id);
    Routing::ChoiceRequest request;
    request.failureDomain = Common::FailureDomain("d1");
    request.prefix = &blocks;
    Routing::CallReport report;
    report.duration = report.pace = std::chrono::milliseconds(10);
    for (auto _ : state) {
        const auto index = Routing::choose(pool, request, kNow, random);
        Routing::beginCall(pool, *index);
        report.endpoint = pool.endpoints[*index].id;
        Routing::endCall(pool, report, kNow);
    }
}

Lists::SnapshotPtr makeLists(std::int64_t workspaces)
{
    std::string plans = R"({"plans":[{"name":"p","deadlineMs":7000,"priority":"interactive",
        "concurrency":100,"ratePerSecond":100}],"workspaces":[)";
    for (std::int64_t i = 0; i < workspaces; ++i) {
        plans += (i > 0 ? "," : "") + std::string(R"({"id":"w)") + std::to_string(i)
            + R"(","plan":"p","keyDigests":[")" + Common::secretDigestOf("key-" + std::to_string(i))
            + R"("]})";
    }
    plans += "]}";
    auto lists = std::make_shared<const Lists::Snapshot>();
    lists = Lists::applyDocument(lists, Lists::ListKind::Plans, {1, "e", plans}).snapshot;
    const std::string entitlements = R"({"entitlements":[{"plan":"p","pipelines":["ask"]}]})";
    return Lists::applyDocument(lists, Lists::ListKind::Entitlements, {1, "e", entitlements})
        .snapshot;
}

// Looks up a caller's workspace, plan and entitlement by its key.
void findAccess(benchmark::State &state)
{
    const Lists::SnapshotPtr lists = makeLists(state.range(0));
    std::int64_t next = 0;
    for (auto _ : state) {
        const auto access
            = Lists::findAccess(*lists, "key-" + std::to_string(next++ % state.range(0)));
        benchmark::DoNotOptimize(access);
    }
}

// Parses and applies a whole list, as each instance does after an edit.
void applyList(benchmark::State &state)
{
    const Lists::SnapshotPtr lists = makeLists(state.range(0));
    std::uint64_t version = 1;
    for (auto _ : state) {
        const Lists::Document document{++version, "e", lists->plansDocument.body};
        benchmark::DoNotOptimize(Lists::applyDocument(lists, Lists::ListKind::Plans, document));
    }
    state.counters["bytes"] = static_cast<double>(lists->plansDocument.body.size());
}

// Admits and releases one request against a share.
void admitToShare(benchmark::State &state)
{
    Limits::ShareHolder holder;
    holder.base = {1000, 1e9};
    Common::Time now = kNow;
    for (auto _ : state) {
        now += std::chrono::microseconds(1);
        const Limits::ShareDecision decision = Limits::admit(holder, now, now);
        if (decision.verdict == Limits::ShareVerdict::Admitted)
            Limits::release(holder, decision.source);
    }
}

Membership::Members makeMembers(std::int64_t count)
{
    Membership::Members members;
    members.self = Common::InstanceId("i0");
    members.suspectAfter = Common::Milliseconds(3000);
    for (std::int64_t i = 0; i < count; ++i) {
        Membership::MemberReport report;
        report.id = Common::InstanceId("i" + std::to_string(i));
        report.callerAddress = {"127.0.0.1", static_cast<std::uint16_t>(10'000 + i)};
        report.peerAddress = {"127.0.0.1", static_cast<std::uint16_t>(20'000 + i)};
        report.failureDomain = Common::FailureDomain("d" + std::to_string(i % 7));
        report.incarnation = 1;
        report.sequence = 1;
        Membership::noteReport(members, report, kNow);
    }
    return members;
}

// Selects the entry instances for a caller that requests a list of them.
void answerEntries(benchmark::State &state)
{
    const Membership::Members members = makeMembers(state.range(0));
    const Common::FailureDomain domain("d1");
    for (auto _ : state)
        benchmark::DoNotOptimize(Membership::entriesFor(members, domain, kNow));
}

// Composes one call, and settles it: with so many pieces waiting, at so many endpoints.
void answerStageCall(benchmark::State &state)
{
    constexpr std::uint32_t kPiecesPerRequest = 8;
    Staging::StageQueue queue;
    queue.batching = {1,
                      40,
                      std::chrono::milliseconds(200),
                      std::chrono::milliseconds(4),
                      5'200'000,
                      std::chrono::seconds(4)};
    std::vector<Routing::Endpoint> endpoints(static_cast<std::size_t>(state.range(1)));
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        endpoints[i].id = Common::EndpointId("endpoint-" + std::to_string(i));
        endpoints[i].address = {"127.0.0.1", static_cast<std::uint16_t>(10'000 + i)};
    }
    Staging::applyEndpoints(queue, endpoints, kNow);
    std::uint64_t requests = 0;
    const auto submitRequest = [&queue, &requests] {
        Staging::PieceRequest piece;
        piece.requestId = "request-" + std::to_string(++requests);
        piece.resultBytes = 6000;
        piece.startBy = kNow + std::chrono::microseconds(requests);
        piece.expiresAt = kNow + std::chrono::hours(1);
        for (piece.piece = 0; piece.piece < kPiecesPerRequest; ++piece.piece)
            Staging::submit(queue, piece, kNow);
    };
    std::vector<Staging::SettledPiece> settled;
    std::vector<Staging::PlannedCall> calls;
    for (auto _ : state) {
        while (static_cast<std::int64_t>(queue.waiting.pieceCount) < state.range(0))
            submitRequest();
        for (Staging::PlannedCall &call : Staging::planCalls(queue, kNow, settled))
            calls.push_back(std::move(call));
        const Staging::PlannedCall call = std::move(calls.back());
        calls.pop_back();
        const std::vector<Staging::PieceResult> results(call.pieces.size(),
                                                        {Staging::PieceAnswer::Late, ""});
        benchmark::DoNotOptimize(Staging::callAnswered(queue, call.number, results, kNow));
        benchmark::DoNotOptimize(Staging::nextWakeAt(queue, kNow));
    }
}

BENCHMARK(answerStageCall)
    ->Args({100, 10})
    ->Args({1000, 10})
    ->Args({10'000, 10})
    ->Args({100, 160})
    ->Args({1000, 160})
    ->Args({10'000, 160})
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(chooseEndpoint)->Arg(9)->Arg(36)->Arg(150)->Arg(600);
BENCHMARK(findAccess)->Arg(5)->Arg(500)->Arg(5000)->Arg(19'000);
BENCHMARK(applyList)->Arg(5)->Arg(500)->Arg(5000)->Arg(19'000)->Unit(benchmark::kMillisecond);
BENCHMARK(admitToShare);
BENCHMARK(answerEntries)->Arg(7)->Arg(28)->Arg(100)->Arg(400);

// Checks whether a request with this number of prompt parts is quarantined, and records that its
// answer has begun. Three crashes of 64 accuse the same trait, the others chance traits.
void checkQuarantine(benchmark::State &state)
{
    Quarantine::Evidence evidence;
    std::mt19937_64 random(1);
    for (int i = 0; i < 64; ++i) {
        const std::string name = "endpoint-" + std::to_string(i);
        std::vector<Quarantine::Trait> suspects{random(), random(), random()};
        if (i < 3)
            suspects.push_back(1);
        Quarantine::mergeCrash(evidence, {{Common::EndpointId(name), 1}, kNow, suspects}, kNow);
    }
    const Common::Time now = kNow + std::chrono::seconds(1);
    const auto suspicions = Quarantine::quarantined(evidence, now);
    std::vector<Quarantine::Trait> traits;
    for (std::int64_t i = 0; i < state.range(0); ++i)
        traits.push_back(random());
    for (auto _ : state) {
        benchmark::DoNotOptimize(Quarantine::findSuspicion(suspicions, traits));
        benchmark::DoNotOptimize(Quarantine::noteAnswerBegun(evidence, traits, now));
    }
}

// Decides what is quarantined, which happens when evidence changes.
void decideQuarantine(benchmark::State &state)
{
    Quarantine::Evidence evidence;
    std::mt19937_64 random(1);
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        const std::string name = "endpoint-" + std::to_string(i);
        std::vector<Quarantine::Trait> suspects{1};
        for (int k = 0; k < 40; ++k)
            suspects.push_back(random());
        Quarantine::mergeCrash(evidence, {{Common::EndpointId(name), 1}, kNow, suspects}, kNow);
    }
    const Common::Time now = kNow + std::chrono::seconds(1);
    for (auto _ : state)
        benchmark::DoNotOptimize(Quarantine::quarantined(evidence, now));
}

} // namespace

BENCHMARK(checkQuarantine)->Arg(3)->Arg(30)->Arg(300);
BENCHMARK(decideQuarantine)->Arg(3)->Arg(30)->Arg(256);

BENCHMARK_MAIN();
