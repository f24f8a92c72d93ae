// Runs the stages of one request: each as soon as those before it are done.
#pragma once

#include "Entry/StageClient.h"

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
    Http::Awaitable<std::optional<Staging::PieceEnd>> run();
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
        bool begun = false;
        bool done = false;
        bool released = false;
        WorkNumber work = 0;
        std::vector<Staging::SettledPiece> results;
    };

    void beginReady();
    // Whether the stage's large results would only wait for those of longer chains of stages.
    bool waitsForOthers(std::size_t stage) const;
    // Stages from this one to the end of its chain.
    std::size_t stepsFrom(std::size_t stage) const;
    void begin(std::size_t stage);
    // Names where most of the piece's bytes come from or go to.
    void placeNear(std::size_t stage, Staging::PieceRequest &piece) const;
    void releaseUsedInputs(std::size_t stage);
    // Whether a stage that is not done uses the results, not counting `user`.
    bool isNeededBesides(std::size_t stage, std::size_t user) const;
    void markInputsSpare(std::size_t stage);
    void release(std::size_t stage);
    bool isFinal(std::size_t stage) const;
    // Time from the start of the stage's call to the request's first event.
    Common::Duration timeAfterStartOf(std::size_t stage) const;

    State &state;
    StageClient &client;
    StagePlan plan;
    std::vector<Step> steps;
    std::size_t open = 0;
    std::optional<Staging::PieceEnd> fault;
    boost::asio::steady_timer changed;
    // Callbacks outlive a run that is cancelled.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Tanagerbay::Entry
