#include "Entry/StoreReading.h"

#include <algorithm>

namespace Tanagerbay::Entry {

ReadingUse useOfReading(const StorePosition &known, const StorePosition &reading, bool isComplete)
{
    if (reading.epoch == 0 || reading.epoch == known.epoch)
        return reading.version < known.version ? ReadingUse::Overtaken : ReadingUse::Apply;
    if (reading.epoch < known.epoch)
        return ReadingUse::Discard;
    return isComplete || known.version == 0 ? ReadingUse::Apply : ReadingUse::ReadAll;
}

StorePosition positionAfter(const StorePosition &known, const StorePosition &reading,
                            ReadingUse use)
{
    const std::uint64_t epoch = std::max(known.epoch, reading.epoch);
    switch (use) {
    case ReadingUse::ReadAll:
        return {epoch, 0};
    case ReadingUse::Discard:
    case ReadingUse::Overtaken:
        return known;
    case ReadingUse::Apply:
        break;
    }
    if (epoch != known.epoch)
        return {epoch, reading.version};
    return {epoch, std::max(known.version, reading.version)};
}

} // namespace Tanagerbay::Entry
