// Whether what was read from the store may be applied, where the store may have returned from an
// older copy of itself.
#pragma once

#include "Entry/Ports.h"

namespace Tanagerbay::Entry {

enum class ReadingUse {
    Apply,
    // The changes belong to an epoch of which the reader does not know the state: read all of it.
    ReadAll,
    // The answer was given before the store returned from its copy.
    Discard,
    // A later state became known while the reading was under way. What has been dropped since must
    // not come back with it.
    Overtaken,
};

// Returns the use of a reading for a reader that has read up to `known`. A reading of epoch zero
// comes from a store that names no epoch and counts as one of the known epoch.
ReadingUse useOfReading(const StorePosition &known, const StorePosition &reading, bool isComplete);

// Returns the position after a reading that is applied or that asks for a full read. Reads may
// overlap, so a position never falls within an epoch.
StorePosition positionAfter(const StorePosition &known, const StorePosition &reading,
                            ReadingUse use);

} // namespace Tanagerbay::Entry
