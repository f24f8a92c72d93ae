// Typed identifiers. Identifiers of different kinds cannot be compared with or converted to each
// other.
#pragma once

#include <algorithm>
#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace Tanagerbay::Common {

template <typename Tag>
struct Id
{
    std::string value;

    Id() = default;
    explicit Id(std::string text) : value(std::move(text))
    {
    }
    bool empty() const
    {
        return this->value.empty();
    }
    auto operator<=>(const Id &) const = default;
};

using WorkspaceId = Id<struct WorkspaceTag>;
using PlanName = Id<struct PlanTag>;
using RequestId = Id<struct RequestTag>;
using RunId = Id<struct RunTag>;
using AttemptId = Id<struct AttemptTag>;
using InstanceId = Id<struct InstanceTag>;
using EndpointId = Id<struct EndpointTag>;
using FailureDomain = Id<struct FailureDomainTag>;
using IdempotencyKey = Id<struct IdempotencyKeyTag>;

// Maximum length of a software version.
inline constexpr std::size_t kMaxVersionLength = 128;

// Whether the text has at most `maxLength` characters, all of them visible ASCII characters. Others
// must not be copied into header fields and logs.
inline bool isVisibleText(std::string_view text, std::size_t maxLength)
{
    return text.size() <= maxLength && std::all_of(text.begin(), text.end(), [](char character) {
               return character > ' ' && character < 127;
           });
}

} // namespace Tanagerbay::Common

template <typename Tag>
struct std::hash<Tanagerbay::Common::Id<Tag>>
{
    std::size_t operator()(const Tanagerbay::Common::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value);
    }
};
