// The order in which the stages of one request run, and how much time each leaves.
#pragma once

#include "Catalog/Catalog.h"

#include <span>

namespace Tanagerbay::Staging {

// How far a stage of one request is.
struct ChainStep
{
    bool begun = false;
    bool done = false;
};

// Whether the stage takes the results of the other one.
bool takesResultsOf(const Catalog::Stage &stage, std::size_t other);

// Whether no other stage takes the results of this one.
bool isFinal(const std::vector<Catalog::Stage> &stages, std::size_t stage);

// Stages that may begin now: those before them are done, and large results would not lie idle while
// longer chains of the request's stages go on.
std::vector<std::size_t> readyStages(const std::vector<Catalog::Stage> &stages,
                                     std::span<const ChainStep> steps);

// Whether a stage that is not done takes the results, not counting `user`.
bool isNeededBesides(const std::vector<Catalog::Stage> &stages, std::span<const ChainStep> steps,
                     std::size_t stage, std::size_t user);

// Time from the start of the stage's call to the request's first event. `endpointTime` is what the
// endpoint needs from the last result to its first event.
Common::Duration timeAfterStartOf(const Catalog::Catalog &catalog,
                                  const std::vector<Catalog::Stage> &stages, std::size_t stage,
                                  Common::Duration endpointTime);

// Shortest time that the stages after this one take, from its end to the end of the last of them:
// calls of one piece that never wait.
Common::Duration leastTimeAfterEndOf(const Catalog::Catalog &catalog,
                                     const std::vector<Catalog::Stage> &stages, std::size_t stage);

} // namespace Tanagerbay::Staging
