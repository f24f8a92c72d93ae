#include "Entry/StageRun.h"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::Entry {

namespace {

// Part of a full call that a piece's call takes on average; calls are rarely full.
constexpr double kTypicalCall = 0.8;
// Results from this size on are made no earlier than they are needed, since they fill their maker's
// room for as long as other stages of the request take.
constexpr std::uint64_t kLargeResult = 256 << 10;
// Inputs that take more than this part of their maker's room keep other requests waiting.
constexpr double kNoticeableRoom = 0.02;

} // namespace

StageRun::StageRun(State &state, StageClient &client, StagePlan given)
    : state(state), client(client), plan(std::move(given)), changed(state.context)
{
    this->plan.pieceCounts.resize(this->plan.route->stages.size(), 0);
    this->steps.resize(this->plan.route->stages.size());
    for (std::size_t i = 0; i < this->steps.size(); ++i) {
        // A stage without pieces is left out.
        this->steps[i].begun = this->steps[i].done = this->plan.pieceCounts[i] == 0;
    }
}

StageRun::~StageRun()
{
    *this->alive = false;
    this->cancel();
    this->releaseAll();
}

Http::Awaitable<std::optional<Staging::PieceEnd>> StageRun::run()
{
    this->beginReady();
    while (this->open > 0 && !this->fault) {
        this->changed.expires_at(this->plan.expiresAt);
        boost::system::error_code cancelled;
        co_await this->changed.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, cancelled));
        if (!cancelled)
            this->fault = Staging::PieceEnd::Expired;
    }
    if (this->fault)
        this->cancel();
    co_return this->fault;
}

void StageRun::cancel()
{
    for (Step &step : this->steps) {
        if (step.begun && !step.done && step.work != 0)
            this->client.cancel(step.work);
        step.work = 0;
    }
    this->open = 0;
    this->changed.cancel();
}

void StageRun::beginReady()
{
    for (std::size_t i = 0; i < this->steps.size(); ++i) {
        const std::vector<std::size_t> &after = this->plan.route->stages[i].after;
        const bool ready = std::all_of(after.begin(), after.end(), [this](std::size_t before) {
            return before < this->steps.size() && this->steps[before].done;
        });
        if (!this->steps[i].begun && ready && !this->waitsForOthers(i))
            this->begin(i);
    }
}

bool StageRun::waitsForOthers(std::size_t stage) const
{
    if (this->plan.route->stages[stage].resultBytes < kLargeResult)
        return false;
    for (std::size_t i = 0; i < this->steps.size(); ++i) {
        if (!this->steps[i].begun && this->stepsFrom(i) >= this->stepsFrom(stage) && i != stage
            && this->plan.route->stages[i].resultBytes < kLargeResult)
            return true;
    }
    return false;
}

std::size_t StageRun::stepsFrom(std::size_t stage) const
{
    const std::vector<Catalog::Stage> &stages = this->plan.route->stages;
    std::size_t most = 0;
    for (std::size_t i = stage + 1; i < stages.size(); ++i) {
        const std::vector<std::size_t> &after = stages[i].after;
        if (std::find(after.begin(), after.end(), stage) != after.end())
            most = std::max(most, this->stepsFrom(i));
    }
    return most + 1;
}

void StageRun::begin(std::size_t stage)
{
    const Catalog::Stage &entry = this->plan.route->stages[stage];
    Staging::PieceRequest piece;
    piece.requestId = this->plan.requestId;
    piece.stage = static_cast<std::uint32_t>(stage);
    piece.key = this->plan.pieceKey;
    if (!entry.after.empty()) {
        piece.inputs.emplace();
        for (const std::size_t before : entry.after) {
            for (const Staging::SettledPiece &result : this->steps[before].results)
                piece.inputs->push_back(result.handle);
        }
    }
    piece.resultBytes = entry.resultBytes;
    this->placeNear(stage, piece);
    piece.priority = this->plan.priority;
    piece.startBy = this->plan.objectiveAt - this->timeAfterStartOf(stage);
    piece.expiresAt = this->plan.expiresAt;
    StageWork work{entry.service, {}, {}};
    for (std::uint32_t i = 0; i < this->plan.pieceCounts[stage]; ++i) {
        piece.piece = i;
        work.pieces.push_back(piece);
    }
    this->steps[stage].begun = true;
    ++this->open;
    const auto alive = this->alive;
    if (!entry.after.empty()) {
        work.allFetched = [this, stage, alive] {
            if (*alive)
                this->markInputsSpare(stage);
        };
    }
    this->steps[stage].work
        = this->client.submit(std::move(work), [this, stage, alive](const StageOutcome &outcome) {
              if (!*alive || this->steps[stage].work == 0)
                  return;
              Step &step = this->steps[stage];
              step.work = 0;
              --this->open;
              if (outcome.fault) {
                  this->fault = outcome.fault;
              } else {
                  step.done = true;
                  step.results = outcome.results;
                  this->releaseUsedInputs(stage);
                  this->beginReady();
              }
              this->changed.cancel();
          });
}

void StageRun::placeNear(std::size_t stage, Staging::PieceRequest &piece) const
{
    // Each piece fetches all inputs for itself.
    double heldShare = 0;
    std::map<Common::FailureDomain, std::uint64_t> inputBytes;
    for (const std::size_t before : this->plan.route->stages[stage].after) {
        const Catalog::Stage &entry = this->plan.route->stages[before];
        const Routing::Pool &pool = this->state.poolOf(entry.service);
        const Catalog::Service *maker = Catalog::findService(*this->plan.catalog, entry.service);
        if (maker && maker->batching && maker->batching->roomBytes > 0) {
            heldShare += static_cast<double>(entry.resultBytes * this->steps[before].results.size())
                / static_cast<double>(maker->batching->roomBytes);
        }
        for (const Staging::SettledPiece &result : this->steps[before].results) {
            const auto maker = pool.indexById.find(result.maker);
            if (maker != pool.indexById.end())
                inputBytes[pool.endpoints[maker->second].failureDomain] += entry.resultBytes;
        }
    }
    piece.inputsHoldRoom = heldShare > kNoticeableRoom;
    for (const auto &[domain, bytes] : inputBytes) {
        if (bytes > piece.transferBytes) {
            piece.transferBytes = bytes;
            piece.nearTo = domain;
        }
    }
    if (this->isFinal(stage) && piece.resultBytes > piece.transferBytes) {
        piece.transferBytes = piece.resultBytes;
        piece.nearTo = this->plan.usedIn;
    }
}

void StageRun::releaseUsedInputs(std::size_t stage)
{
    for (const std::size_t before : this->plan.route->stages[stage].after) {
        if (!this->isNeededBesides(before, stage))
            this->release(before);
    }
}

bool StageRun::isNeededBesides(std::size_t stage, std::size_t user) const
{
    for (std::size_t i = 0; i < this->steps.size(); ++i) {
        const std::vector<std::size_t> &after = this->plan.route->stages[i].after;
        const bool uses = std::find(after.begin(), after.end(), stage) != after.end();
        if (uses && i != user && !this->steps[i].done)
            return true;
    }
    return false;
}

void StageRun::markInputsSpare(std::size_t stage)
{
    for (const std::size_t before : this->plan.route->stages[stage].after) {
        const Step &step = this->steps[before];
        if (!step.released && !this->isNeededBesides(before, stage))
            this->client.markSpare(this->plan.route->stages[before].service, step.results);
    }
}

void StageRun::markFinalSpare()
{
    for (std::size_t i = 0; i < this->steps.size(); ++i) {
        if (this->isFinal(i) && !this->steps[i].released)
            this->client.markSpare(this->plan.route->stages[i].service, this->steps[i].results);
    }
}

void StageRun::release(std::size_t stage)
{
    Step &step = this->steps[stage];
    if (step.released || step.results.empty())
        return;
    step.released = true;
    this->client.release(this->plan.route->stages[stage].service, step.results);
}

void StageRun::releaseAll()
{
    for (std::size_t i = 0; i < this->steps.size(); ++i)
        this->release(i);
}

bool StageRun::isFinal(std::size_t stage) const
{
    const std::vector<Catalog::Stage> &stages = this->plan.route->stages;
    return std::none_of(stages.begin(), stages.end(), [stage](const Catalog::Stage &other) {
        return std::find(other.after.begin(), other.after.end(), stage) != other.after.end();
    });
}

std::vector<std::string> StageRun::finalResults() const
{
    std::vector<std::string> handles;
    for (std::size_t i = 0; i < this->steps.size(); ++i) {
        if (!this->isFinal(i))
            continue;
        for (const Staging::SettledPiece &result : this->steps[i].results)
            handles.push_back(result.handle);
    }
    return handles;
}

Common::Duration StageRun::timeAfterStartOf(std::size_t stage) const
{
    const std::vector<Catalog::Stage> &stages = this->plan.route->stages;
    Common::Duration later = this->plan.endpointTime;
    for (std::size_t i = stage + 1; i < stages.size(); ++i) {
        const std::vector<std::size_t> &after = stages[i].after;
        if (std::find(after.begin(), after.end(), stage) != after.end())
            later = std::max(later, this->timeAfterStartOf(i));
    }
    const Catalog::Service *service
        = Catalog::findService(*this->plan.catalog, stages[stage].service);
    if (!service || !service->batching)
        return later;
    const Common::Duration full
        = Catalog::expectedCallTime(*service->batching, service->batching->maxPieces);
    return later + std::chrono::duration_cast<Common::Duration>(full * kTypicalCall);
}

} // namespace Tanagerbay::Entry
