#include "Experiment/StageMachine.h"

namespace Tanagerbay::Experiment {

namespace {

// Calls take up to this much more or less than the catalog says, from one to the next.
constexpr double kCallSpread = 0.05;

} // namespace

bool refusesCall(const StageMachine &machine)
{
    return machine.callsTaken > machine.model->waitingCalls;
}

Common::Time takeCall(StageMachine &machine, double work, std::uint64_t inputBytes,
                      Common::Time now, std::mt19937_64 &random)
{
    const Catalog::Batching &batching = machine.model->batching;
    std::uniform_real_distribution<double> spread(1 - kCallSpread, 1 + kCallSpread);
    const double fetching = static_cast<double>(inputBytes) / machine.model->linkBytesPerSecond;
    const double seconds = fetching
        + (Common::toSeconds(batching.callTime) + Common::toSeconds(batching.pieceTime) * work)
            * machine.slowness * spread(random);
    ++machine.callsTaken;
    machine.secondsWorked += seconds;
    machine.freeAt = std::max(machine.freeAt, now)
        + std::chrono::duration_cast<Common::Duration>(std::chrono::duration<double>(seconds));
    return machine.freeAt;
}

bool hasResult(const StageMachine &machine, const std::string &handle, Common::Time now)
{
    const auto found = machine.results.find(handle);
    return found != machine.results.end() && found->second.until > now;
}

std::vector<Staging::PieceResult> endCall(StageMachine &machine,
                                          const std::vector<Staging::QueuedPiece> &pieces,
                                          const std::vector<bool> &inputsThere, Common::Time now)
{
    --machine.callsTaken;
    std::erase_if(machine.results, [now](const auto &entry) { return entry.second.until <= now; });
    std::uint64_t used = 0;
    for (const auto &[handle, result] : machine.results)
        used += result.bytes;
    std::vector<Staging::PieceResult> answers;
    for (std::size_t i = 0; i < pieces.size(); ++i) {
        const std::uint64_t bytes = pieces[i].request.resultBytes;
        if (!inputsThere[i]) {
            answers.push_back({Staging::PieceAnswer::InputGone, ""});
            continue;
        }
        if (used + bytes > machine.model->batching.resultMemoryBytes) {
            answers.push_back({Staging::PieceAnswer::NoRoom, ""});
            continue;
        }
        used += bytes;
        const std::string handle = machine.name + "/" + pieces[i].request.requestId + "/"
            + std::to_string(pieces[i].ticket);
        machine.results[handle] = {bytes, now + machine.model->batching.resultLifetime};
        answers.push_back({Staging::PieceAnswer::Made, handle});
    }
    return answers;
}

} // namespace Tanagerbay::Experiment
