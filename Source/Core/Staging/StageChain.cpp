#include "Staging/StageChain.h"

#include <algorithm>

namespace Tanagerbay::Staging {

namespace {

// Time planned for a stage over that of a full call, for waiting, messages and the fetching of
// inputs. From `tanagerbay experiment` with Examples/experiments/lessons.json: less makes requests
// late in their last stage under overload, more gives up some that would have been on time.
constexpr double kPlannedCall = 1.3;
// Results from this size on are made no earlier than they are needed, since they fill their maker's
// room for as long as other stages of the request take.
constexpr std::uint64_t kLargeResult = 256 << 10;

// Stages from this one to the end of its chain.
std::size_t stepsFrom(const std::vector<Catalog::Stage> &stages, std::size_t stage)
{
    std::size_t most = 0;
    for (std::size_t i = stage + 1; i < stages.size(); ++i) {
        if (takesResultsOf(stages[i], stage))
            most = std::max(most, stepsFrom(stages, i));
    }
    return most + 1;
}

// Whether the stage's large results would only wait for those of longer chains of stages.
bool waitsForOthers(const std::vector<Catalog::Stage> &stages, std::span<const ChainStep> steps,
                    std::size_t stage)
{
    if (stages[stage].resultBytes < kLargeResult)
        return false;
    for (std::size_t i = 0; i < stages.size(); ++i) {
        if (!steps[i].begun && i != stage && stages[i].resultBytes < kLargeResult
            && stepsFrom(stages, i) >= stepsFrom(stages, stage))
            return true;
    }
    return false;
}

} // namespace

bool takesResultsOf(const Catalog::Stage &stage, std::size_t other)
{
    return std::find(stage.after.begin(), stage.after.end(), other) != stage.after.end();
}

bool isFinal(const std::vector<Catalog::Stage> &stages, std::size_t stage)
{
    return std::none_of(stages.begin(), stages.end(), [stage](const Catalog::Stage &other) {
        return takesResultsOf(other, stage);
    });
}

std::vector<std::size_t> readyStages(const std::vector<Catalog::Stage> &stages,
                                     std::span<const ChainStep> steps)
{
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < stages.size(); ++i) {
        const std::vector<std::size_t> &after = stages[i].after;
        const bool inputsAreMade = std::all_of(after.begin(), after.end(), [&](std::size_t before) {
            return before < stages.size() && steps[before].done;
        });
        if (!steps[i].begun && inputsAreMade && !waitsForOthers(stages, steps, i))
            ready.push_back(i);
    }
    return ready;
}

bool isNeededBesides(const std::vector<Catalog::Stage> &stages, std::span<const ChainStep> steps,
                     std::size_t stage, std::size_t user)
{
    for (std::size_t i = 0; i < stages.size(); ++i) {
        if (i != user && takesResultsOf(stages[i], stage) && !steps[i].done)
            return true;
    }
    return false;
}

Common::Duration timeAfterStartOf(const Catalog::Catalog &catalog,
                                  const std::vector<Catalog::Stage> &stages, std::size_t stage,
                                  Common::Duration endpointTime)
{
    Common::Duration later = endpointTime;
    for (std::size_t i = stage + 1; i < stages.size(); ++i) {
        if (takesResultsOf(stages[i], stage))
            later = std::max(later, timeAfterStartOf(catalog, stages, i, endpointTime));
    }
    const Catalog::Service *service = Catalog::findService(catalog, stages[stage].service);
    if (!service || !service->batching)
        return later;
    const Common::Duration full
        = Catalog::expectedCallTime(*service->batching, service->batching->maxPieces);
    return later + std::chrono::duration_cast<Common::Duration>(full * kPlannedCall);
}

Common::Duration leastTimeAfterEndOf(const Catalog::Catalog &catalog,
                                     const std::vector<Catalog::Stage> &stages, std::size_t stage)
{
    Common::Duration least{0};
    for (std::size_t i = stage + 1; i < stages.size(); ++i) {
        if (!takesResultsOf(stages[i], stage))
            continue;
        Common::Duration own{0};
        const Catalog::Service *service = Catalog::findService(catalog, stages[i].service);
        if (service && service->batching)
            own = Catalog::expectedCallTime(*service->batching, 1);
        least = std::max(least, own + leastTimeAfterEndOf(catalog, stages, i));
    }
    return least;
}

} // namespace Tanagerbay::Staging
