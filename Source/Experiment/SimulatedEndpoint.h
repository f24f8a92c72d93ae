// Simulated endpoint of a stage service: it runs one call at a time, queues a few more, and has
// bounded memory for results.
#pragma once

#include "Experiment/Scenario.h"

#include <random>

namespace Tanagerbay::Experiment {

struct StoredResult
{
    std::uint64_t bytes = 0;
    Common::Time expiresAt;
};

struct SimulatedEndpoint
{
    const StageServiceModel *model = nullptr;
    std::string name;
    // Factor on the call time; differs slightly between endpoints.
    double slowness = 1;
    Common::Time freeAt;
    std::uint32_t openCalls = 0;
    std::map<std::string, StoredResult> results;
    double busySeconds = 0;
};

// Whether the endpoint refuses a call because its queue is full.
bool refusesCall(const SimulatedEndpoint &endpoint);

// Accepts a call that arrives at `now`. Returns its end time. `work` is the sum of its pieces' work
// factors, `inputBytes` the size of the inputs that it fetches first.
Common::Time acceptCall(SimulatedEndpoint &endpoint, double work, std::uint64_t inputBytes,
                        Common::Time now, std::mt19937_64 &random);

// Completes a call and stores the results that fit into the result memory. Returns one result per
// piece.
std::vector<Staging::PieceResult> completeCall(SimulatedEndpoint &endpoint,
                                               const std::vector<Staging::QueuedPiece> &pieces,
                                               const std::vector<bool> &inputsAvailable,
                                               Common::Time now);

bool hasResult(const SimulatedEndpoint &endpoint, const std::string &handle, Common::Time now);

} // namespace Tanagerbay::Experiment
