// Runs the stages of one request, each as soon as the stages it depends on are done.
#pragma once

#include "Entry/StageClient.h"
#include "Staging/StageChain.h"

namespace Tanagerbay::Entry {

// Properties of a request that its stages use.
struct StagePlan
{
    std::string requestId;
    const Catalog::Catalog *catalog = nullptr;
    const Catalog::Route *route = nullptr;
    std::vector<std::uint32_t> pieceCounts;
    std::string pieceKey;
    // Failure domain of the endpoint that uses the results of the final stages.
    Common::FailureDomain consumerDomain;
    int priority = 0;
    // When the first event of the response is due.
    Common::Time firstEventDueAt;
    // Results are of no use after this.
    Common::Time expiresAt;
    // Time that the endpoint needs from the last stage result to its first event.
    Common::Duration endpointDuration{0};
};

class StageRun
{
public:
    StageRun(State &state, StageClient &client, StagePlan plan);
    ~StageRun();
    StageRun(const StageRun &) = delete;
    StageRun &operator=(const StageRun &) = delete;

    // Waits until all stages are done. Returns nothing on success, otherwise the cause of failure.
    Http::Awaitable<std::optional<Staging::PieceOutcome>> run();
    // Ends `run()` and cancels the open stages, for example when the caller disconnects.
    void cancel();
    // Returns the result handles of the final stages, those that no other stage depends on.
    std::vector<std::string> finalResults() const;
    // When the stage whose work expired will have room again, if its owner said so.
    std::optional<Common::Duration> roomIn() const;
    // Marks the final results as evictable: the endpoint has most likely fetched them.
    void markFinalEvictable();
    // Releases all results; the endpoints that hold them may drop them.
    void releaseAll();

private:
    struct Step
    {
        bool released = false;
        WorkId workId = 0;
        std::vector<Staging::SettledPiece> results;
    };

    void startReadyStages();
    std::vector<std::size_t> findReady() const;
    void startStage(std::size_t stage);
    // Sets the failure domain that most of the piece's bytes come from or go to.
    void setPreferredDomain(std::size_t stage, Staging::PieceRequest &piece) const;
    void releaseUsedInputs(std::size_t stage);
    void markInputsEvictable(std::size_t stage);
    void release(std::size_t stage);

    State &state;
    StageClient &client;
    StagePlan plan;
    std::vector<Step> steps;
    std::vector<Staging::StageProgress> chain;
    std::size_t openStages = 0;
    std::optional<Staging::PieceOutcome> fault;
    std::optional<Common::Duration> statedRoomIn;
    boost::asio::steady_timer wakeTimer;
    // Set to false on destruction, since callbacks may run after a cancelled run was destroyed.
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace Tanagerbay::Entry
