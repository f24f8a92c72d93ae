#include "Experiment/SimulatedEndpoint.h"

namespace Tanagerbay::Experiment {

namespace {

// Maximum relative deviation of a call's time from the catalog's value.
constexpr double kCallTimeSpread = 0.05;

} // namespace

bool refusesCall(const SimulatedEndpoint &endpoint)
{
    return endpoint.openCalls > endpoint.model->maxWaitingCalls;
}

Common::Time acceptCall(SimulatedEndpoint &endpoint, double work, std::uint64_t inputBytes,
                        Common::Time now, std::mt19937_64 &random)
{
    const Catalog::Batching &batching = endpoint.model->batching;
    std::uniform_real_distribution<double> spread(1 - kCallTimeSpread, 1 + kCallTimeSpread);
    const double fetchSeconds
        = static_cast<double>(inputBytes) / endpoint.model->linkBytesPerSecond;
    const double seconds = fetchSeconds
        + (Common::toSeconds(batching.callTime) + Common::toSeconds(batching.pieceTime) * work)
            * endpoint.slowness * spread(random);
    ++endpoint.openCalls;
    endpoint.busySeconds += seconds;
    endpoint.freeAt = std::max(endpoint.freeAt, now)
        + std::chrono::duration_cast<Common::Duration>(std::chrono::duration<double>(seconds));
    return endpoint.freeAt;
}

bool hasResult(const SimulatedEndpoint &endpoint, const std::string &handle, Common::Time now)
{
    const auto found = endpoint.results.find(handle);
    return found != endpoint.results.end() && found->second.expiresAt > now;
}

std::vector<Staging::PieceResult> completeCall(SimulatedEndpoint &endpoint,
                                               const std::vector<Staging::QueuedPiece> &pieces,
                                               const std::vector<bool> &inputsAvailable,
                                               Common::Time now)
{
    --endpoint.openCalls;
    std::erase_if(endpoint.results,
                  [now](const auto &entry) { return entry.second.expiresAt <= now; });
    std::uint64_t usedBytes = 0;
    for (const auto &[handle, result] : endpoint.results)
        usedBytes += result.bytes;
    std::vector<Staging::PieceResult> answers;
    for (std::size_t i = 0; i < pieces.size(); ++i) {
        const std::uint64_t bytes = pieces[i].request.resultBytes;
        if (!inputsAvailable[i]) {
            answers.push_back({Staging::PieceAnswer::InputGone, ""});
            continue;
        }
        if (usedBytes + bytes > endpoint.model->batching.resultMemoryBytes) {
            answers.push_back({Staging::PieceAnswer::NoRoom, ""});
            continue;
        }
        usedBytes += bytes;
        const std::string handle = endpoint.name + "/" + pieces[i].request.requestId + "/"
            + std::to_string(pieces[i].ticket);
        endpoint.results[handle] = {bytes, now + endpoint.model->batching.resultLifetime};
        answers.push_back({Staging::PieceAnswer::Made, handle});
    }
    return answers;
}

} // namespace Tanagerbay::Experiment
