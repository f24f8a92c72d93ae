// The plan and entitlement lists as an instance applies them. The version of a list never
// decreases.
#pragma once

#include "Common/EnumNames.h"
#include "Common/Error.h"
#include "Lists/EntitlementList.h"
#include "Lists/PlanList.h"

#include <memory>

namespace Tanagerbay::Lists {

enum class ListKind { Plans, Entitlements };

} // namespace Tanagerbay::Lists

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Lists::ListKind>
{
    using Kind = Lists::ListKind;
    static constexpr NameTable<Kind, 2> table
        = {{{Kind::Plans, "plans"}, {Kind::Entitlements, "entitlements"}}};
};

namespace Tanagerbay::Lists {

// A list as it is stored. Version zero means that the list has never been written.
struct Document
{
    std::uint64_t version = 0;
    std::string editId;
    std::string body;
};

struct Versions
{
    std::uint64_t plans = 0;
    std::uint64_t entitlements = 0;

    std::uint64_t of(ListKind kind) const
    {
        return kind == ListKind::Plans ? this->plans : this->entitlements;
    }
    // Returns whether neither version is lower than the other set's.
    bool isAtLeast(const Versions &other) const
    {
        return this->plans >= other.plans && this->entitlements >= other.entitlements;
    }
    bool operator==(const Versions &) const = default;
};

// Both lists, with their stored and parsed forms. Immutable once published.
struct Snapshot
{
    Document plansDocument;
    Document entitlementsDocument;
    PlanList plans;
    EntitlementList entitlements;

    Versions versions() const
    {
        return {this->plansDocument.version, this->entitlementsDocument.version};
    }
    const Document &document(ListKind kind) const
    {
        return kind == ListKind::Plans ? this->plansDocument : this->entitlementsDocument;
    }
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

enum class ApplyOutcome { Applied, SameVersion, StaleIgnored, Invalid };

struct ApplyResult
{
    ApplyOutcome outcome = ApplyOutcome::SameVersion;
    // The snapshot to use from now on.
    SnapshotPtr snapshot;
};

// Applies a document read from the store or received from a peer. A document whose version is not
// higher than the one in use, or whose body is invalid, is ignored.
ApplyResult applyDocument(const SnapshotPtr &current, ListKind kind, const Document &document);

struct EditCheck
{
    Common::JsonFaults faults;
    // Consequences that the operator should confirm before the edit takes effect.
    Common::JsonFaults warnings;
};

// Validates a new body for one list, also against the current other list.
EditCheck checkEdit(const Snapshot &current, ListKind kind, std::string_view body);

// Returns one line for each plan, workspace or entitlement that differs between two bodies: `+` for
// an added one, `-` for a removed one, `~` for a changed one.
std::vector<std::string> describeDifference(ListKind kind, std::string_view oldBody,
                                            std::string_view newBody);

// The workspace that a caller's key belongs to, with its plan and entitlement.
struct Access
{
    const Workspace *workspace = nullptr;
    const Plan *plan = nullptr;
    const Entitlement *entitlement = nullptr;
};

// Returns the access that a key grants, or an error which says that the request did not run.
Common::Result<Access> findAccess(const Snapshot &snapshot, std::string_view callerKey);

} // namespace Tanagerbay::Lists
