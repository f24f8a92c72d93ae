#include "Entry/RequestTraits.h"

#include "Common/Hash.h"

namespace Tanagerbay::Entry {

namespace {

// Seeds that keep hashes of the same bytes apart.
constexpr std::uint64_t kPartSeed = 1;
constexpr std::uint64_t kContentSeed = 2;
constexpr std::uint64_t kWorkspaceSeed = 3;
constexpr std::uint64_t kKeySeed = 4;
// Callers choose the length of a name.
constexpr std::size_t kMaxNameLength = 32;

// All that an endpoint gets of a request and that stays the same when its caller repeats it.
std::uint64_t contentHash(const CallerRequest &request)
{
    std::uint64_t hash
        = Common::hash64(request.host + ' ' + request.method + ' ' + request.target, kContentSeed);
    for (const PromptPart &part : request.prompt.parts)
        hash = Common::hash64(part.id, hash);
    return Common::hash64(request.body, hash);
}

// The last part of a prompt belongs to one request or session.
std::size_t sharedPartCount(const CallerRequest &request)
{
    const std::size_t parts = request.prompt.parts.size();
    return parts == 0 ? 0 : parts - 1;
}

} // namespace

std::vector<Quarantine::Trait> traitsOf(const CallerRequest &request,
                                        const Common::WorkspaceId &workspace)
{
    std::vector<Quarantine::Trait> traits;
    const std::size_t shared = sharedPartCount(request);
    for (std::size_t i = 0; i < shared; ++i)
        traits.push_back(
            Quarantine::partTrait(Common::hash64(request.prompt.parts[i].id, kPartSeed)));
    const std::uint64_t content = contentHash(request);
    traits.push_back(
        Quarantine::contentTrait(content, Common::hash64(workspace.value, kWorkspaceSeed)));
    if (shared == 0)
        traits.push_back(Quarantine::contentTrait(content, Common::hash64(request.key, kKeySeed)));
    return traits;
}

std::vector<std::string> traitNamesOf(const CallerRequest &request,
                                      const Common::WorkspaceId &workspace)
{
    std::vector<std::string> names;
    const std::size_t shared = sharedPartCount(request);
    for (std::size_t i = 0; i < shared; ++i)
        names.push_back(request.prompt.parts[i].id.substr(0, kMaxNameLength));
    const std::string content = "content of " + request.path.substr(0, kMaxNameLength);
    names.push_back(content + " from " + workspace.value.substr(0, kMaxNameLength));
    // The key itself is a secret.
    if (shared == 0)
        names.push_back(content + " with one key");
    return names;
}

} // namespace Tanagerbay::Entry
