// The list of plans and of the workspaces that hold them.
#pragma once

#include "Common/EnumNames.h"
#include "Common/Ids.h"
#include "Common/JsonReader.h"
#include "Common/Time.h"

#include <map>
#include <unordered_map>

namespace Tanagerbay::Lists {

// Interactive work goes before patient work at engines and in queues.
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

// What a plan promises for one pipeline or service, where that differs from the plan's default.
struct Promise
{
    Common::Milliseconds deadline{0};
    Priority priority = Priority::Interactive;
};

struct Plan
{
    Common::PlanName name;
    Promise defaultPromise;
    // By the name of a pipeline or service.
    std::map<std::string, Promise, std::less<>> promises;
    // Most requests of one workspace in progress at once, over all instances.
    std::int64_t concurrency = 0;
    // Most requests a second of one workspace, over all instances.
    std::int64_t ratePerSecond = 0;

    const Promise &promiseFor(std::string_view action) const;
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
    // Returns the workspace whose key has the digest, or null.
    const Workspace *findByKeyDigest(const std::string &digest) const;
};

// Parses and checks a plan list. Faults name the path of the key; with faults the result is
// unusable.
PlanList parsePlanList(const boost::json::value &document, Common::JsonFaults &faults);

} // namespace Tanagerbay::Lists
