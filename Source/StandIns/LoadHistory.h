// History of an endpoint's load figures, from which it reports its load with a lag.
#pragma once

#include "Common/Time.h"

#include <cstdint>
#include <deque>
#include <string>

namespace Tanagerbay::StandIns {

struct LoadFigures
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

class LoadHistory
{
public:
    void record(const LoadFigures &figures, Common::Time now);
    // Returns the figures that were current `lag` before `now`; zeros if none were recorded by
    // then. Drops older entries, so a later call with a longer lag may find none.
    LoadFigures asOf(Common::Time now, Common::Duration lag);

private:
    struct Entry
    {
        Common::Time at;
        LoadFigures figures;
    };
    std::deque<Entry> entries;
};

// Formats a load report as JSON, as sent in the `Load-Report` header field.
std::string formatLoadReport(const LoadFigures &figures, std::uint32_t slots, bool leaving);

} // namespace Tanagerbay::StandIns
