// Runs the stages of one request: each as soon as those before it are done.
#pragma once

#include "Entry/StageClient.h"
#include "Staging/StageChain.h"

namespace Tanagerbay::Entry {

// What the stages need to know of their request.
struct StagePlan
{
    std::string requestId;
    const Catalog::Catalog *catalog = nullptr;
    const Catalog::Route *route = nullptr;
    std::vector<std::uint32_t> pieceCounts;
    std::string pieceKey;
    // Where the results of the last stages will be used.
    Common::FailureDomain usedIn;
    int priority = 0;
    // When the request's first event should be made.
    Common::Time objectiveAt;
    // After this no result is of use.
    Common::Time expiresAt;
    // Time that the endpoint needs from the last result to its first event.
    Common::Duration endpointTime{0};
};

class StageRun
{
public:
    StageRun(State &state, StageClient &client, StagePlan plan);
    ~StageRun();
    StageRun(const StageRun &) = delete;
    StageRun &operator=(const StageRun &) = delete;

    // Waits until all stages are done. Returns nothing, or why they cannot be.
    Http::Awaitable<std::optional<Staging::PieceOutcome>> run();
    // Ends the waiting and drops what is open. Used when the caller leaves.
    void cancel();
    // Handles of all pieces of the stages that no other stage follows.
    std::vector<std::string> finalResults() const;
    // Tells the makers that the endpoint has most likely fetched the final results.
    void markFinalSpare();
    // Tells the makers that the results are not needed any more.
    void releaseAll();

private:
    struct Step
    {
        bool released = false;
        WorkNumber work = 0;
        std::vector<Staging::SettledPiece> results;
    };

    void beginReady();
    std::vector<std::size_t> findReady() const;
    void begin(std::size_t stage);
    // Names where most of the piece's bytes come from or go to.
    void placeNear(std::size_t stage, Staging::PieceRequest &piece) const;
    void releaseUsedInputs(std::size_t stage);
    void markInputsSpare(std::size_t stage);
    void release(std::size_t stage);

    State &state;
    StageClient &client;
    StagePlan plan;
    std::vector<Step> steps;
    std::vector<Staging::StageProgress> chain;
    std::size_t open = 0;
    std::optional<Staging::PieceOutcome> fault;
    boost::asio::steady_timer changed;
    // Callbacks outlive a run that is cancelled.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Tanagerbay::Entry
