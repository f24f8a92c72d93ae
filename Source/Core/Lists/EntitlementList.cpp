#include "Lists/EntitlementList.h"

namespace Tanagerbay::Lists {

namespace {

constexpr std::int64_t kMaxAllowanceCount = 1'000'000'000;
constexpr std::int64_t kMaxWindowSeconds = 366 * 24 * 3600;

std::set<std::string, std::less<>> toSet(const std::vector<std::string> &texts)
{
    return {texts.begin(), texts.end()};
}

Allowance readAllowance(const boost::json::value &value, std::string path,
                        Common::JsonFaults &faults)
{
    Common::ObjectReader reader(value, std::move(path), faults);
    Allowance allowance;
    allowance.action = reader.text("action");
    allowance.count = reader.integer("count", 0, kMaxAllowanceCount);
    allowance.window = std::chrono::seconds(reader.integer("windowSeconds", 1, kMaxWindowSeconds));
    reader.finish();
    return allowance;
}

Entitlement readEntitlement(const boost::json::value &value, std::string path,
                            Common::JsonFaults &faults)
{
    Common::ObjectReader reader(value, std::move(path), faults);
    Entitlement entitlement;
    entitlement.plan = Common::PlanName(reader.text("plan"));
    entitlement.pipelines = toSet(reader.textArray("pipelines", false));
    entitlement.services = toSet(reader.textArray("services", false));
    entitlement.models = toSet(reader.textArray("models", false));
    const boost::json::array &allowances = reader.array("allowances", false);
    for (std::size_t i = 0; i < allowances.size(); ++i) {
        const std::string entryPath = reader.pathOf("allowances", i);
        Allowance allowance = readAllowance(allowances[i], entryPath, faults);
        const std::string &action = allowance.action;
        if (!action.empty() && !entitlement.pipelines.contains(action)
            && !entitlement.services.contains(action))
            faults.push_back({entryPath + ".action",
                              "must name a pipeline or service of this entitlement, is " + action});
        if (!entitlement.allowances.emplace(action, allowance).second)
            faults.push_back({entryPath + ".action", "duplicate allowance for action " + action});
    }
    reader.finish();
    return entitlement;
}

} // namespace

const Allowance *Entitlement::allowanceFor(std::string_view action) const
{
    const auto found = this->allowances.find(action);
    return found == this->allowances.end() ? nullptr : &found->second;
}

const Entitlement *EntitlementList::find(const Common::PlanName &plan) const
{
    const auto found = this->entitlements.find(plan);
    return found == this->entitlements.end() ? nullptr : &found->second;
}

EntitlementList parseEntitlementList(const boost::json::value &document, Common::JsonFaults &faults)
{
    Common::ObjectReader reader(document, "", faults);
    EntitlementList list;
    const boost::json::array &entries = reader.array("entitlements", true);
    for (std::size_t i = 0; i < entries.size(); ++i) {
        Entitlement entry = readEntitlement(entries[i], reader.pathOf("entitlements", i), faults);
        const Common::PlanName plan = entry.plan;
        if (!list.entitlements.emplace(plan, std::move(entry)).second)
            faults.push_back({reader.pathOf("entitlements", i) + ".plan",
                              "duplicate entitlement for plan " + plan.value});
    }
    reader.finish();
    return list;
}

} // namespace Tanagerbay::Lists
