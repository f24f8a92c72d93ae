// The entitlement list: the pipelines, services and models that each plan may use.
#pragma once

#include "Common/Ids.h"
#include "Common/JsonReader.h"
#include "Common/Time.h"

#include <map>
#include <set>

namespace Tanagerbay::Lists {

// A strict limit on how often one workspace may perform an action within a window.
struct Allowance
{
    std::string action;
    std::int64_t count = 0;
    // Windows are aligned to the epoch.
    std::chrono::seconds window{0};
};

struct Entitlement
{
    Common::PlanName plan;
    std::set<std::string, std::less<>> pipelines;
    std::set<std::string, std::less<>> services;
    std::set<std::string, std::less<>> models;
    std::map<std::string, Allowance, std::less<>> allowances;

    bool isEmpty() const
    {
        return this->pipelines.empty() && this->services.empty();
    }
    // Returns the allowance on an action, or null if the action has none.
    const Allowance *allowanceFor(std::string_view action) const;
};

struct EntitlementList
{
    std::map<Common::PlanName, Entitlement> entitlements;

    const Entitlement *find(const Common::PlanName &plan) const;
};

// Parses and validates an entitlement list. Each fault names the path of the offending key.
EntitlementList parseEntitlementList(const boost::json::value &document,
                                     Common::JsonFaults &faults);

} // namespace Tanagerbay::Lists
