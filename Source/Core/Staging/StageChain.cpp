#include "Staging/StageChain.h"

#include <algorithm>

namespace Tanagerbay::Staging {

namespace {

// Planned time of a stage relative to a full call; covers queueing, messages and fetching inputs.
// In `tanagerbay experiment` with Examples/experiments/lessons.json, a lower value makes requests
// late in their last stage under overload, a higher one gives up some requests that would have been
// on time.
constexpr double kPlannedCallTimeFactor = 1.3;
// Results of at least this size are produced no earlier than needed, since they occupy their
// endpoint's memory until the other stages of the request have finished.
constexpr std::uint64_t kLargeResultBytes = 256 << 10;

// Number of stages from this one to the end of the longest chain that depends on it, inclusive.
std::size_t stagesToChainEnd(const std::vector<Catalog::Stage> &stages, std::size_t stage)
{
    std::size_t maxLength = 0;
    for (std::size_t i = stage + 1; i < stages.size(); ++i) {
        if (dependsOn(stages[i], stage))
            maxLength = std::max(maxLength, stagesToChainEnd(stages, i));
    }
    return maxLength + 1;
}

// Whether the stage's large results would only wait for other stages: one with small results that
// begins an equally long or longer chain has not started yet.
bool shouldDeferForLongerChain(const std::vector<Catalog::Stage> &stages,
                               std::span<const StageProgress> progress, std::size_t stage)
{
    if (stages[stage].resultBytes < kLargeResultBytes)
        return false;
    for (std::size_t i = 0; i < stages.size(); ++i) {
        if (!progress[i].hasStarted && i != stage && stages[i].resultBytes < kLargeResultBytes
            && stagesToChainEnd(stages, i) >= stagesToChainEnd(stages, stage))
            return true;
    }
    return false;
}

} // namespace

bool dependsOn(const Catalog::Stage &stage, std::size_t other)
{
    return std::find(stage.after.begin(), stage.after.end(), other) != stage.after.end();
}

bool isFinal(const std::vector<Catalog::Stage> &stages, std::size_t stage)
{
    return std::none_of(stages.begin(), stages.end(),
                        [stage](const Catalog::Stage &other) { return dependsOn(other, stage); });
}

std::vector<std::size_t> readyStages(const std::vector<Catalog::Stage> &stages,
                                     std::span<const StageProgress> progress)
{
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < stages.size(); ++i) {
        const std::vector<std::size_t> &after = stages[i].after;
        const bool inputsAreReady
            = std::all_of(after.begin(), after.end(), [&](std::size_t before) {
                  return before < stages.size() && progress[before].isDone;
              });
        if (!progress[i].hasStarted && inputsAreReady
            && !shouldDeferForLongerChain(stages, progress, i))
            ready.push_back(i);
    }
    return ready;
}

bool hasOtherPendingConsumer(const std::vector<Catalog::Stage> &stages,
                             std::span<const StageProgress> progress, std::size_t stage,
                             std::size_t consumer)
{
    for (std::size_t i = 0; i < stages.size(); ++i) {
        if (i != consumer && dependsOn(stages[i], stage) && !progress[i].isDone)
            return true;
    }
    return false;
}

Common::Duration plannedTimeFromStart(const Catalog::Catalog &catalog,
                                      const std::vector<Catalog::Stage> &stages, std::size_t stage,
                                      Common::Duration endpointTime)
{
    Common::Duration later = endpointTime;
    for (std::size_t i = stage + 1; i < stages.size(); ++i) {
        if (dependsOn(stages[i], stage))
            later = std::max(later, plannedTimeFromStart(catalog, stages, i, endpointTime));
    }
    const Catalog::Service *service = Catalog::findService(catalog, stages[stage].service);
    if (!service || !service->batching)
        return later;
    const Common::Duration full
        = Catalog::expectedCallTime(*service->batching, service->batching->maxPieces);
    return later + std::chrono::duration_cast<Common::Duration>(full * kPlannedCallTimeFactor);
}

Common::Duration minTimeAfterEnd(const Catalog::Catalog &catalog,
                                 const std::vector<Catalog::Stage> &stages, std::size_t stage)
{
    Common::Duration minTime{0};
    for (std::size_t i = stage + 1; i < stages.size(); ++i) {
        if (!dependsOn(stages[i], stage))
            continue;
        Common::Duration own{0};
        const Catalog::Service *service = Catalog::findService(catalog, stages[i].service);
        if (service && service->batching)
            own = Catalog::expectedCallTime(*service->batching, 1);
        minTime = std::max(minTime, own + minTimeAfterEnd(catalog, stages, i));
    }
    return minTime;
}

std::optional<Common::Duration> inputLifetime(const Catalog::Catalog &catalog,
                                              const std::vector<Catalog::Stage> &stages,
                                              std::size_t stage)
{
    std::optional<Common::Duration> shortest;
    for (const std::size_t before : stages[stage].after) {
        const Catalog::Service *service = before < stages.size()
            ? Catalog::findService(catalog, stages[before].service)
            : nullptr;
        if (!service || !service->batching || service->batching->resultLifetime.count() == 0)
            continue;
        const Common::Duration kept = service->batching->resultLifetime
            - Catalog::expectedCallTime(*service->batching, service->batching->maxPieces);
        shortest = shortest ? std::min(*shortest, kept) : kept;
    }
    return shortest;
}

} // namespace Tanagerbay::Staging
