// Settings of an entry instance on a platform.
#pragma once

#include "Common/Address.h"
#include "Common/EnumNames.h"
#include "Common/Ids.h"
#include "Common/JsonReader.h"
#include "Common/Time.h"
#include "Routing/ColdEndpoints.h"
#include "Serving/EventSequence.h"
#include "Serving/FleetBudget.h"

#include <set>

namespace Tanagerbay::Entry {

// Order of stage work where routes or workspaces of different priorities share a stage.
enum class StageOrder {
    // By what waiting and refusal cost callers; see Staging/CostOrder.h.
    LeastCost,
    // What can be on time first, in whatever priority.
    OnTimeFirst,
};

} // namespace Tanagerbay::Entry

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Entry::StageOrder>
{
    using Order = Entry::StageOrder;
    static constexpr NameTable<Order, 2> table
        = {{{Order::LeastCost, "least-cost"}, {Order::OnTimeFirst, "on-time-first"}}};
};

namespace Tanagerbay::Entry {

// Guarantees and limits of the platform.
struct Bounds
{
    // How long a leaving process may keep running before the platform kills it.
    Common::Milliseconds gracePeriod{8000};
    // An endpoint that leaves must get no new work after this period.
    Common::Milliseconds leavingDelay{2000};
    // Interval at which an endpoint renews its row in the store. The row lapses after three of
    // them.
    Common::Milliseconds endpointHeartbeat{1200};
    // A new version of the catalog must be in force within this period.
    Common::Milliseconds catalogDelay{2000};
    // Maximum time for which a caller may cache an answer of the directory.
    Common::Milliseconds maxDirectoryTtl{5000};
    Serving::FleetBudgetLimits extraSends;
    // Unset where the platform does not bound what a cold endpoint may get.
    std::optional<Routing::ColdBounds> coldEndpoints;
};

struct Settings
{
    Common::InstanceId instance;
    Common::FailureDomain failureDomain;
    Common::Address callers;
    Common::Address readiness;
    Common::Address directory;
    Common::Address control;
    // Where other instances connect. All instances use the same port.
    Common::Address peers;
    // IP address from which connections to endpoints, instances and the store are made; empty if
    // the system chooses it.
    std::string connectFrom;
    // Where other instances send requests that they cannot send to endpoints. All instances use the
    // same port; unset if requests are not passed on.
    Common::Address forwarding;
    // Where the metrics are served.
    Common::Address metrics;
    // IP addresses of seed instances. Heartbeats are also sent to them, because other instances may
    // know them.
    std::vector<std::string> seeds;
    Common::Address store;
    std::size_t maxConnections = 3000;
    // Capacity of the instance, so that demanding duties are placed on strong instances. Zero if
    // unknown.
    double cores = 0;
    double linkMbps = 0;
    // Memory that the process may use, and the descriptors that it may have open. Zero if unknown:
    // what is held for callers is not bounded in sum then.
    std::size_t memoryBytes = 0;
    std::size_t maxDescriptors = 0;
    // Number of the first event of each stream.
    std::uint64_t firstEvent = Serving::kFirstEventNumber;
    // Services that frame no streams and close the connection of one only behind its last event.
    // Others have to frame the streams that may run once.
    std::set<std::string> closeDelimitedServices;
    StageOrder stageOrder = StageOrder::LeastCost;
    Bounds bounds;
};

Settings parseSettings(const boost::json::value &document, Common::JsonFaults &faults);

} // namespace Tanagerbay::Entry
