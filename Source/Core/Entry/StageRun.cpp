#include "Entry/StageRun.h"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::Entry {

StageRun::StageRun(State &state, StageClient &client, StagePlan stagePlan)
    : state(state), client(client), plan(std::move(stagePlan)), wakeTimer(state.context)
{
    this->plan.pieceCounts.resize(this->plan.route->stages.size(), 0);
    this->steps.resize(this->plan.route->stages.size());
    this->chain.resize(this->plan.route->stages.size());
    for (std::size_t i = 0; i < this->steps.size(); ++i) {
        // Stages without pieces are skipped.
        this->chain[i].hasStarted = this->chain[i].isDone = this->plan.pieceCounts[i] == 0;
    }
}

StageRun::~StageRun()
{
    *this->isAlive = false;
    this->cancel();
    this->releaseAll();
}

Http::Awaitable<std::optional<Staging::PieceOutcome>> StageRun::run()
{
    this->startReadyStages();
    while (this->openStages > 0 && !this->fault) {
        this->wakeTimer.expires_at(this->plan.expiresAt);
        boost::system::error_code cancelled;
        co_await this->wakeTimer.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, cancelled));
        if (!cancelled)
            this->fault = Staging::PieceOutcome::Expired;
    }
    if (this->fault)
        this->cancel();
    co_return this->fault;
}

std::optional<Common::Duration> StageRun::roomIn() const
{
    return this->statedRoomIn;
}

void StageRun::cancel()
{
    for (Step &step : this->steps) {
        if (step.workId != 0)
            this->client.cancel(step.workId);
        step.workId = 0;
    }
    this->openStages = 0;
    this->wakeTimer.cancel();
}

void StageRun::startReadyStages()
{
    // Starting one stage may make another ready.
    for (auto ready = this->findReady(); !ready.empty(); ready = this->findReady()) {
        for (const std::size_t stage : ready)
            this->startStage(stage);
    }
}

std::vector<std::size_t> StageRun::findReady() const
{
    return Staging::readyStages(this->plan.route->stages, this->chain);
}

void StageRun::startStage(std::size_t stage)
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
    this->setPreferredDomain(stage, piece);
    piece.priority = this->plan.priority;
    piece.startBy = this->plan.firstEventDueAt
        - Staging::plannedTimeFromStart(*this->plan.catalog, this->plan.route->stages, stage,
                                        this->plan.endpointDuration);
    piece.expiresAt = this->plan.expiresAt
        - Staging::minTimeAfterEnd(*this->plan.catalog, this->plan.route->stages, stage);
    // `expiresAt` of the plan is without the endpoint's time, which the planned time has.
    piece.lastStartBy = this->plan.expiresAt + this->plan.endpointDuration
        - Staging::plannedTimeFromStart(*this->plan.catalog, this->plan.route->stages, stage,
                                        this->plan.endpointDuration);
    if (const auto kept
        = Staging::inputLifetime(*this->plan.catalog, this->plan.route->stages, stage))
        piece.lastStartBy = std::min(*piece.lastStartBy, clockNow() + *kept);
    StageWork work{entry.service, {}, {}};
    for (std::uint32_t i = 0; i < this->plan.pieceCounts[stage]; ++i) {
        piece.piece = i;
        work.pieces.push_back(piece);
    }
    this->chain[stage].hasStarted = true;
    ++this->openStages;
    const auto isAlive = this->isAlive;
    if (!entry.after.empty()) {
        work.onInputsFetched = [this, stage, isAlive] {
            if (*isAlive)
                this->markInputsEvictable(stage);
        };
    }
    this->steps[stage].workId
        = this->client.submit(std::move(work), [this, stage, isAlive](const StageOutcome &outcome) {
              if (!*isAlive || this->steps[stage].workId == 0)
                  return;
              Step &step = this->steps[stage];
              step.workId = 0;
              --this->openStages;
              if (outcome.fault) {
                  this->fault = outcome.fault;
                  this->statedRoomIn = outcome.roomIn;
              } else {
                  this->chain[stage].isDone = true;
                  step.results = outcome.results;
                  this->releaseUsedInputs(stage);
                  this->startReadyStages();
              }
              this->wakeTimer.cancel();
          });
}

void StageRun::setPreferredDomain(std::size_t stage, Staging::PieceRequest &piece) const
{
    // Each piece fetches all inputs separately.
    std::map<Common::FailureDomain, std::uint64_t> inputBytesByDomain;
    for (const std::size_t before : this->plan.route->stages[stage].after) {
        const Catalog::Stage &entry = this->plan.route->stages[before];
        const Routing::Pool &pool = this->state.poolOf(entry.service);
        for (const Staging::SettledPiece &result : this->steps[before].results) {
            const auto maker = pool.indexById.find(result.producer);
            if (maker != pool.indexById.end())
                inputBytesByDomain[pool.endpoints[maker->second].failureDomain]
                    += entry.resultBytes;
        }
    }
    for (const auto &[domain, bytes] : inputBytesByDomain) {
        if (bytes > piece.transferBytes) {
            piece.transferBytes = bytes;
            piece.nearTo = domain;
        }
    }
    if (Staging::isFinal(this->plan.route->stages, stage)
        && piece.resultBytes > piece.transferBytes) {
        piece.transferBytes = piece.resultBytes;
        piece.nearTo = this->plan.consumerDomain;
    }
}

void StageRun::releaseUsedInputs(std::size_t stage)
{
    for (const std::size_t before : this->plan.route->stages[stage].after) {
        if (!Staging::hasOtherPendingConsumer(this->plan.route->stages, this->chain, before, stage))
            this->release(before);
    }
}

void StageRun::markInputsEvictable(std::size_t stage)
{
    for (const std::size_t before : this->plan.route->stages[stage].after) {
        const Step &step = this->steps[before];
        if (!step.released
            && !Staging::hasOtherPendingConsumer(this->plan.route->stages, this->chain, before,
                                                 stage))
            this->client.markEvictable(this->plan.route->stages[before].service, step.results);
    }
}

void StageRun::markFinalEvictable()
{
    for (std::size_t i = 0; i < this->steps.size(); ++i) {
        if (Staging::isFinal(this->plan.route->stages, i) && !this->steps[i].released)
            this->client.markEvictable(this->plan.route->stages[i].service, this->steps[i].results);
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

std::vector<std::string> StageRun::finalResults() const
{
    std::vector<std::string> handles;
    for (std::size_t i = 0; i < this->steps.size(); ++i) {
        if (!Staging::isFinal(this->plan.route->stages, i))
            continue;
        for (const Staging::SettledPiece &result : this->steps[i].results)
            handles.push_back(result.handle);
    }
    return handles;
}

} // namespace Tanagerbay::Entry
