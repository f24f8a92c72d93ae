#include "StandIns/LoadHistory.h"

namespace Tanagerbay::StandIns {

namespace {

constexpr Common::Milliseconds kResolution{5};
constexpr std::size_t kMaxEntries = 4000;

} // namespace

void LoadHistory::record(const LoadFigures &figures, Common::Time now)
{
    if (!this->entries.empty() && now - this->entries.back().at < kResolution) {
        this->entries.back().figures = figures;
        return;
    }
    this->entries.push_back({now, figures});
    if (this->entries.size() > kMaxEntries)
        this->entries.pop_front();
}

LoadFigures LoadHistory::asOf(Common::Time now, Common::Duration lag)
{
    // Entries before the one that was current at that time are not needed any more.
    while (this->entries.size() > 1 && this->entries[1].at <= now - lag)
        this->entries.pop_front();
    if (this->entries.empty() || this->entries.front().at > now - lag)
        return {};
    return this->entries.front().figures;
}

std::string formatLoadReport(const LoadFigures &figures, std::uint32_t slots, bool leaving)
{
    return R"({"running":)" + std::to_string(figures.running) + R"(,"waiting":)"
        + std::to_string(figures.waiting) + R"(,"slots":)" + std::to_string(slots)
        + R"(,"leaving":)" + (leaving ? "true" : "false") + "}";
}

} // namespace Tanagerbay::StandIns
