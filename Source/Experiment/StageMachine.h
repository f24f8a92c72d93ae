// One endpoint of a stage service as an experiment plays it: it works on one call at a time, keeps
// a few waiting, and has bounded room for results.
#pragma once

#include "Experiment/Scenario.h"

#include <random>

namespace Tanagerbay::Experiment {

struct MachineResult
{
    std::uint64_t bytes = 0;
    Common::Time until;
};

struct StageMachine
{
    const StageServiceModel *model = nullptr;
    std::string name;
    // Speed differs a little from endpoint to endpoint.
    double slowness = 1;
    Common::Time freeAt;
    std::uint32_t callsTaken = 0;
    std::map<std::string, MachineResult> results;
    double secondsWorked = 0;
};

// Whether the endpoint refuses a call that arrives now.
bool refusesCall(const StageMachine &machine);

// Takes a call that arrives now. Returns when it ends. `work` is the sum of its pieces' work
// factors, `inputBytes` what it fetches first.
Common::Time takeCall(StageMachine &machine, double work, std::uint64_t inputBytes,
                      Common::Time now, std::mt19937_64 &random);

// Ends a call: keeps the results that have room. Returns one answer a piece.
std::vector<Staging::PieceResult> endCall(StageMachine &machine,
                                          const std::vector<Staging::QueuedPiece> &pieces,
                                          const std::vector<bool> &inputsThere, Common::Time now);

bool hasResult(const StageMachine &machine, const std::string &handle, Common::Time now);

} // namespace Tanagerbay::Experiment
