#include "Lists/Snapshot.h"

#include "Common/Hash.h"

namespace Tanagerbay::Lists {

namespace {

// Replaces the parsed form of one list in the snapshot.
void parseList(Snapshot &snapshot, ListKind kind, std::string_view body, Common::JsonFaults &faults)
{
    const auto document = Common::parseJson(body, faults);
    if (!document)
        return;
    if (kind == ListKind::Plans)
        snapshot.plans = parsePlanList(*document, faults);
    else
        snapshot.entitlements = parseEntitlementList(*document, faults);
}

void warnAboutPlansWithoutEntitlement(const Snapshot &edited, Common::JsonFaults &warnings)
{
    for (std::size_t i = 0; i < edited.plans.workspaces.size(); ++i) {
        const Workspace &workspace = edited.plans.workspaces[i];
        const Entitlement *entitlement = edited.entitlements.find(workspace.plan);
        if (entitlement && !entitlement->isEmpty())
            continue;
        warnings.push_back({"workspaces[" + std::to_string(i) + "]",
                            "workspace " + workspace.id.value + " has plan " + workspace.plan.value
                                + ", which is not entitled to any pipeline or service"});
    }
}

void checkEntitledPlansExist(const Snapshot &edited, ListKind kind, EditCheck &check)
{
    // A missing plan is a fault if the entitlement list is the one edited. If an edit of the plan
    // list removes the plan, it is only a warning.
    Common::JsonFaults &target = kind == ListKind::Entitlements ? check.faults : check.warnings;
    for (const auto &[plan, entitlement] : edited.entitlements.entitlements) {
        if (!edited.plans.findPlan(plan))
            target.push_back({"entitlements", "plan " + plan.value + " is not in the plan list"});
    }
}

std::map<std::string, std::string> entriesByName(const boost::json::value &document,
                                                 std::string_view arrayName,
                                                 std::string_view keyName)
{
    std::map<std::string, std::string> entries;
    if (!document.is_object())
        return entries;
    const auto *array = document.get_object().if_contains({arrayName.data(), arrayName.size()});
    if (!array || !array->is_array())
        return entries;
    for (const boost::json::value &entry : array->get_array()) {
        if (!entry.is_object())
            continue;
        const auto *name = entry.get_object().if_contains({keyName.data(), keyName.size()});
        if (name && name->is_string())
            entries[std::string(name->get_string())] = boost::json::serialize(entry);
    }
    return entries;
}

void compareEntries(const std::map<std::string, std::string> &oldEntries,
                    const std::map<std::string, std::string> &newEntries,
                    std::string_view entryKind, std::vector<std::string> &lines)
{
    for (const auto &[name, text] : oldEntries) {
        const auto found = newEntries.find(name);
        if (found == newEntries.end())
            lines.push_back("- " + std::string(entryKind) + " " + name);
        else if (found->second != text)
            lines.push_back("~ " + std::string(entryKind) + " " + name);
    }
    for (const auto &[name, text] : newEntries) {
        if (!oldEntries.contains(name))
            lines.push_back("+ " + std::string(entryKind) + " " + name);
    }
}

} // namespace

ApplyResult applyDocument(const SnapshotPtr &current, ListKind kind, const Document &document)
{
    const std::uint64_t version = current->document(kind).version;
    if (document.version == version)
        return {ApplyOutcome::SameVersion, current};
    if (document.version < version)
        return {ApplyOutcome::StaleIgnored, current};
    Common::JsonFaults faults;
    auto next = std::make_shared<Snapshot>(*current);
    parseList(*next, kind, document.body, faults);
    if (!faults.empty())
        return {ApplyOutcome::Invalid, current};
    Document &target = kind == ListKind::Plans ? next->plansDocument : next->entitlementsDocument;
    target = document;
    return {ApplyOutcome::Applied, next};
}

EditCheck checkEdit(const Snapshot &current, ListKind kind, std::string_view body)
{
    EditCheck check;
    Snapshot edited = current;
    parseList(edited, kind, body, check.faults);
    if (!check.faults.empty())
        return check;
    checkEntitledPlansExist(edited, kind, check);
    warnAboutPlansWithoutEntitlement(edited, check.warnings);
    return check;
}

std::vector<std::string> describeDifference(ListKind kind, std::string_view oldBody,
                                            std::string_view newBody)
{
    Common::JsonFaults ignored;
    const auto oldDocument = Common::parseJson(oldBody, ignored).value_or(nullptr);
    const auto newDocument = Common::parseJson(newBody, ignored).value_or(nullptr);
    std::vector<std::string> lines;
    if (kind == ListKind::Plans) {
        compareEntries(entriesByName(oldDocument, "plans", "name"),
                       entriesByName(newDocument, "plans", "name"), "plan", lines);
        compareEntries(entriesByName(oldDocument, "workspaces", "id"),
                       entriesByName(newDocument, "workspaces", "id"), "workspace", lines);
    } else {
        compareEntries(entriesByName(oldDocument, "entitlements", "plan"),
                       entriesByName(newDocument, "entitlements", "plan"), "entitlement", lines);
    }
    return lines;
}

Common::Result<Access> findAccess(const Snapshot &snapshot, std::string_view callerKey)
{
    using Common::ErrorCode;
    if (callerKey.empty())
        return Common::notRun(ErrorCode::Unauthenticated,
                              "missing API key: send it as Authorization: Bearer");
    Access access;
    access.workspace = snapshot.plans.findByKeyDigest(Common::secretDigestOf(callerKey));
    if (!access.workspace)
        return Common::notRun(ErrorCode::Unauthenticated, "unknown API key");
    access.plan = snapshot.plans.findPlan(access.workspace->plan);
    access.entitlement = snapshot.entitlements.find(access.workspace->plan);
    if (!access.plan || !access.entitlement)
        return Common::notRun(ErrorCode::NotAllowed,
                              "plan " + access.workspace->plan.value
                                  + " is not entitled to any pipeline or service");
    return access;
}

} // namespace Tanagerbay::Lists
