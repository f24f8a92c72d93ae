// Ordering of the stages of a request and the time budgets derived from it.
#pragma once

#include "Catalog/Catalog.h"

#include <span>

namespace Tanagerbay::Staging {

// Progress of one stage of a request.
struct StageProgress
{
    bool hasStarted = false;
    bool isDone = false;
};

// Whether the stage takes the results of stage `other` as inputs.
bool dependsOn(const Catalog::Stage &stage, std::size_t other);

// Whether no other stage takes the results of this stage as inputs.
bool isFinal(const std::vector<Catalog::Stage> &stages, std::size_t stage);

// Returns the stages that may start now: their inputs are ready, and their results, if large, would
// not occupy memory while longer chains of the request's stages still run.
std::vector<std::size_t> readyStages(const std::vector<Catalog::Stage> &stages,
                                     std::span<const StageProgress> progress);

// Whether an unfinished stage other than `consumer` takes the results of `stage` as inputs.
bool hasOtherPendingConsumer(const std::vector<Catalog::Stage> &stages,
                             std::span<const StageProgress> progress, std::size_t stage,
                             std::size_t consumer);

// Planned time from the start of the stage's call to the request's first event. `endpointTime` is
// the time that the endpoint needs from the last result to its first event.
Common::Duration plannedTimeFromStart(const Catalog::Catalog &catalog,
                                      const std::vector<Catalog::Stage> &stages, std::size_t stage,
                                      Common::Duration endpointTime);

// Minimum time from the end of this stage to the end of the last stage that depends on it, with
// calls of one piece and no queueing.
Common::Duration minTimeAfterEnd(const Catalog::Catalog &catalog,
                                 const std::vector<Catalog::Stage> &stages, std::size_t stage);

// Time for which the inputs of a stage that starts now are kept: the shortest lifetime of them less
// the call that made them last, which others of them may have preceded. Nothing if it has no
// inputs.
std::optional<Common::Duration> inputLifetime(const Catalog::Catalog &catalog,
                                              const std::vector<Catalog::Stage> &stages,
                                              std::size_t stage);

} // namespace Tanagerbay::Staging
