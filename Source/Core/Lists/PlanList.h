// The plan list: the plans, and the workspaces subscribed to them.
#pragma once

#include "Common/EnumNames.h"
#include "Common/Ids.h"
#include "Common/JsonReader.h"
#include "Common/Time.h"

#include <map>
#include <unordered_map>

namespace Tanagerbay::Lists {

// Engines and queues serve interactive requests before patient ones.
enum class Priority { Interactive, Patient };

} // namespace Tanagerbay::Lists

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Lists::Priority>
{
    using Priority = Lists::Priority;
    static constexpr NameTable<Priority, 2> table
        = {{{Priority::Interactive, "interactive"}, {Priority::Patient, "patient"}}};
};

namespace Tanagerbay::Lists {

// The deadline and priority of requests for a pipeline or service.
struct ServiceLevel
{
    Common::Milliseconds deadline{0};
    Priority priority = Priority::Interactive;
};

struct Plan
{
    Common::PlanName name;
    ServiceLevel defaultServiceLevel;
    // Deviations from the default, by the name of the pipeline or service.
    std::map<std::string, ServiceLevel, std::less<>> serviceLevels;
    // Maximum number of concurrent requests of one workspace, over all instances.
    std::int64_t concurrency = 0;
    // Maximum number of requests per second of one workspace, over all instances.
    std::int64_t ratePerSecond = 0;

    const ServiceLevel &serviceLevelFor(std::string_view action) const;
};

struct Workspace
{
    Common::WorkspaceId id;
    Common::PlanName plan;
    // SHA-256 digests of the callers' keys, in hexadecimal.
    std::vector<std::string> keyDigests;
};

struct PlanList
{
    std::map<Common::PlanName, Plan> plans;
    std::vector<Workspace> workspaces;
    // Index into `workspaces` by key digest.
    std::unordered_map<std::string, std::size_t> workspaceByKey;
    // Index into `workspaces` by identifier.
    std::unordered_map<Common::WorkspaceId, std::size_t> workspaceById;

    const Plan *findPlan(const Common::PlanName &name) const;
    // Returns the workspace that has a key with the digest, or null.
    const Workspace *findByKeyDigest(const std::string &digest) const;
};

// Parses and validates a plan list. Each fault names the path of the offending key. With faults,
// the result must not be used.
PlanList parsePlanList(const boost::json::value &document, Common::JsonFaults &faults);

} // namespace Tanagerbay::Lists
