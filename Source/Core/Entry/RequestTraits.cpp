#include "Entry/RequestTraits.h"

#include "Common/Hash.h"

namespace Tanagerbay::Entry {

namespace {

// Seeds that keep a prompt part and a content with the same bytes apart.
constexpr std::uint64_t kPartSeed = 1;
constexpr std::uint64_t kContentSeed = 2;
// Callers choose the length of a name.
constexpr std::size_t kMaxNameLength = 32;

} // namespace

std::vector<Quarantine::Trait> traitsOf(const CallerRequest &request)
{
    std::vector<Quarantine::Trait> traits;
    const std::vector<PromptPart> &parts = request.prompt.parts;
    if (parts.size() < 2) {
        const std::uint64_t target = Common::hash64(
            request.host + ' ' + request.method + ' ' + request.target, kContentSeed);
        return {Common::hash64(request.body, target)};
    }
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
        traits.push_back(Common::hash64(parts[i].id, kPartSeed));
    return traits;
}

std::vector<std::string> traitNamesOf(const CallerRequest &request)
{
    const std::vector<PromptPart> &parts = request.prompt.parts;
    if (parts.size() < 2)
        return {"content of " + request.path.substr(0, kMaxNameLength)};
    std::vector<std::string> names;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
        names.push_back(parts[i].id.substr(0, kMaxNameLength));
    return names;
}

} // namespace Tanagerbay::Entry
