#include "StandIns/FaultInjector.h"

namespace Tanagerbay::StandIns {

FaultInjector::FaultInjector(std::uint64_t seed) : random(seed)
{
}

void FaultInjector::set(std::string_view target, FaultKind kind, const Fault &fault)
{
    const std::lock_guard<std::mutex> guard(this->lock);
    this->faults[{std::string(target), kind}] = fault;
}

void FaultInjector::clearAll()
{
    const std::lock_guard<std::mutex> guard(this->lock);
    this->faults.clear();
}

void FaultInjector::clear(std::string_view target)
{
    const std::lock_guard<std::mutex> guard(this->lock);
    std::erase_if(this->faults,
                  [target](const auto &entry) { return entry.first.first == target; });
}

std::optional<Fault> FaultInjector::trigger(std::string_view target, FaultKind kind,
                                            Common::Time now)
{
    const std::lock_guard<std::mutex> guard(this->lock);
    if (this->faults.empty())
        return std::nullopt;
    const auto found = this->faults.find({std::string(target), kind});
    if (found == this->faults.end())
        return std::nullopt;
    if (now >= found->second.until) {
        this->faults.erase(found);
        return std::nullopt;
    }
    std::uniform_real_distribution<double> draw(0, 1);
    if (found->second.probability < 1 && draw(this->random) >= found->second.probability)
        return std::nullopt;
    return found->second;
}

} // namespace Tanagerbay::StandIns
