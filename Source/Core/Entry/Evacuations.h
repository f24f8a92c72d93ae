// Which failure domains the operator has evacuated, as far as this instance knows.
//
// The operator's rows lie in the store. An instance learns of them by its own readings, from
// readers of the store and from other instances, in whatever order; of two statements about a
// domain, the one with the later position in the store's history is believed. A complete statement
// also tells which domains have no row.
//
// A store that returns from an older copy of itself may have lost the row of an evacuation that is
// in force. The belief then stays for a while, in which the operator writes the row again.
#pragma once

#include "Entry/Ports.h"

namespace Tanagerbay::Entry {

// How long a belief stays that the store has lost by returning from an older copy.
constexpr std::chrono::seconds kLostEvacuationMemory{30};

struct Evacuation
{
    // Otherwise it was taken back.
    bool isEvacuated = false;
    // Where the store's history says so.
    StorePosition position;
    // When the first instance read it that told of it.
    Common::Time readAt;
    // When the belief ends, if the store has lost the row.
    std::optional<Common::Time> endsAt;
};

// What an instance states about a failure domain.
struct EvacuationNews
{
    Common::FailureDomain domain;
    bool isEvacuated = false;
    StorePosition position;
    Common::Time readAt;
};

// What an instance states about all failure domains.
struct EvacuationReport
{
    // Position at which no other domain was evacuated than those that the news name; unset if the
    // sender does not know that.
    std::optional<StorePosition> completeAt;
    std::vector<EvacuationNews> news;
};

struct Evacuations
{
    std::map<Common::FailureDomain, Evacuation> byDomain;
    // Up to where the store's history is known; unset before the first complete statement.
    std::optional<StorePosition> completeAt;
};

// What a statement has changed.
struct EvacuationChange
{
    Common::FailureDomain domain;
    // Whether the domain is evacuated now and was not before, or the reverse. Otherwise only a
    // later position has become known.
    bool isTurn = false;
};

bool isEvacuated(const Evacuations &known, const Common::FailureDomain &domain);
std::size_t countEvacuated(const Evacuations &known);

// Applies a reading of the store that ends at `position`. Rows that could not be parsed change
// nothing. The reading must not be older than an earlier one that was applied.
std::vector<EvacuationChange> applyReading(Evacuations &known, const CatalogUpdate &reading,
                                           const StorePosition &position, Common::Time now);

// Applies what another instance states.
std::vector<EvacuationChange> applyReport(Evacuations &known, const EvacuationReport &report,
                                          Common::Time now);

// Ends beliefs that the store has lost, once their time has come.
std::vector<EvacuationChange> endLost(Evacuations &known, Common::Time now);

// All that is known.
EvacuationReport reportOf(const Evacuations &known);

} // namespace Tanagerbay::Entry
