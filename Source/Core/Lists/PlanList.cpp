#include "Lists/PlanList.h"

namespace Tanagerbay::Lists {

namespace {

constexpr std::int64_t kMinDeadlineMs = 1;
constexpr std::int64_t kMaxDeadlineMs = 24 * 3600 * 1000;
constexpr std::int64_t kMaxConcurrency = 1'000'000;
constexpr std::int64_t kMaxRatePerSecond = 1'000'000;
constexpr std::size_t kKeyDigestLength = 64;

Priority readPriority(Common::ObjectReader &reader, std::optional<std::string> fallback)
{
    const std::string name = reader.text("priority", std::move(fallback));
    const auto priority = Common::valueNamed<Priority>(name);
    if (!priority && !name.empty())
        reader.fault("priority", "must be interactive or patient, is " + name);
    return priority.value_or(Priority::Interactive);
}

ServiceLevel readServiceLevel(Common::ObjectReader &reader,
                              std::optional<std::string> priorityFallback)
{
    ServiceLevel serviceLevel;
    serviceLevel.deadline
        = Common::Milliseconds(reader.integer("deadlineMs", kMinDeadlineMs, kMaxDeadlineMs));
    serviceLevel.priority = readPriority(reader, std::move(priorityFallback));
    return serviceLevel;
}

void readServiceLevels(Common::ObjectReader &reader, Plan &plan, Common::JsonFaults &faults)
{
    const boost::json::array &entries = reader.array("promises", false);
    for (std::size_t i = 0; i < entries.size(); ++i) {
        Common::ObjectReader entry(entries[i], reader.pathOf("promises", i), faults);
        const std::string action = entry.text("for");
        const ServiceLevel serviceLevel = readServiceLevel(
            entry, std::string(Common::nameOf(plan.defaultServiceLevel.priority)));
        if (!action.empty() && !plan.serviceLevels.emplace(action, serviceLevel).second)
            entry.fault("for", "duplicate entry for " + action + " in the promises");
        entry.finish();
    }
}

Plan readPlan(const boost::json::value &value, std::string path, Common::JsonFaults &faults)
{
    Common::ObjectReader reader(value, std::move(path), faults);
    Plan plan;
    plan.name = Common::PlanName(reader.text("name"));
    plan.defaultServiceLevel = readServiceLevel(reader, std::nullopt);
    plan.concurrency = reader.integer("concurrency", 1, kMaxConcurrency);
    plan.ratePerSecond = reader.integer("ratePerSecond", 1, kMaxRatePerSecond);
    readServiceLevels(reader, plan, faults);
    reader.finish();
    return plan;
}

bool isDigest(const std::string &text)
{
    return text.size() == kKeyDigestLength
        && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

Workspace readWorkspace(const boost::json::value &value, std::string path,
                        Common::JsonFaults &faults)
{
    Common::ObjectReader reader(value, std::move(path), faults);
    Workspace workspace;
    workspace.id = Common::WorkspaceId(reader.text("id"));
    workspace.plan = Common::PlanName(reader.text("plan"));
    workspace.keyDigests = reader.textArray("keyDigests", true);
    for (std::size_t i = 0; i < workspace.keyDigests.size(); ++i) {
        if (!isDigest(workspace.keyDigests[i]))
            faults.push_back({reader.pathOf("keyDigests", i),
                              "must be a SHA-256 digest of 64 lower-case hexadecimal digits"});
    }
    reader.finish();
    return workspace;
}

void indexWorkspaces(PlanList &list, Common::JsonFaults &faults)
{
    for (std::size_t i = 0; i < list.workspaces.size(); ++i) {
        const Workspace &workspace = list.workspaces[i];
        const std::string path = "workspaces[" + std::to_string(i) + "]";
        if (!list.workspaceById.emplace(workspace.id, i).second)
            faults.push_back({path + ".id", "duplicate workspace " + workspace.id.value});
        if (!list.findPlan(workspace.plan))
            faults.push_back(
                {path + ".plan", "names a plan that is not in this list: " + workspace.plan.value});
        for (std::size_t k = 0; k < workspace.keyDigests.size(); ++k) {
            if (!list.workspaceByKey.emplace(workspace.keyDigests[k], i).second)
                faults.push_back({path + ".keyDigests[" + std::to_string(k) + "]",
                                  "duplicate key digest in the list"});
        }
    }
}

} // namespace

const ServiceLevel &Plan::serviceLevelFor(std::string_view action) const
{
    const auto found = this->serviceLevels.find(action);
    return found == this->serviceLevels.end() ? this->defaultServiceLevel : found->second;
}

const Plan *PlanList::findPlan(const Common::PlanName &name) const
{
    const auto found = this->plans.find(name);
    return found == this->plans.end() ? nullptr : &found->second;
}

const Workspace *PlanList::findByKeyDigest(const std::string &digest) const
{
    const auto found = this->workspaceByKey.find(digest);
    return found == this->workspaceByKey.end() ? nullptr : &this->workspaces[found->second];
}

PlanList parsePlanList(const boost::json::value &document, Common::JsonFaults &faults)
{
    Common::ObjectReader reader(document, "", faults);
    PlanList list;
    const boost::json::array &plans = reader.array("plans", true);
    for (std::size_t i = 0; i < plans.size(); ++i) {
        Plan plan = readPlan(plans[i], reader.pathOf("plans", i), faults);
        const Common::PlanName name = plan.name;
        if (!list.plans.emplace(name, std::move(plan)).second)
            faults.push_back({reader.pathOf("plans", i) + ".name", "duplicate plan " + name.value});
    }
    const boost::json::array &workspaces = reader.array("workspaces", true);
    for (std::size_t i = 0; i < workspaces.size(); ++i)
        list.workspaces.push_back(
            readWorkspace(workspaces[i], reader.pathOf("workspaces", i), faults));
    reader.finish();
    indexWorkspaces(list, faults);
    return list;
}

} // namespace Tanagerbay::Lists
