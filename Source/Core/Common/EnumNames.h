// Tables that map the values of an enumeration to their names.
#pragma once

#include <array>
#include <cstdlib>
#include <optional>
#include <string_view>
#include <utility>

namespace Tanagerbay::Common {

template <typename Enum, std::size_t Count>
using NameTable = std::array<std::pair<Enum, std::string_view>, Count>;

// Specialized for each enumeration that has names, with a constexpr member `table`.
template <typename Enum>
struct EnumNames;

// Returns the name of a value. Aborts if the value is missing from its table, which is a
// programming error.
template <typename Enum>
constexpr std::string_view nameOf(Enum value)
{
    for (const auto &[entry, name] : EnumNames<Enum>::table) {
        if (entry == value)
            return name;
    }
    std::abort();
}

// Returns the value with the given name, or nullopt if there is none.
template <typename Enum>
constexpr std::optional<Enum> valueNamed(std::string_view text)
{
    for (const auto &[entry, name] : EnumNames<Enum>::table) {
        if (name == text)
            return entry;
    }
    return std::nullopt;
}

} // namespace Tanagerbay::Common
