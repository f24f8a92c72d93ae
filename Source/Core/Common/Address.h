// A TCP address: an IPv4 address and a port.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Tanagerbay::Common {

struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    bool isSet() const
    {
        return this->port != 0;
    }
    auto operator<=>(const Address &) const = default;
};

// Parses `ip:port`. Returns false, and leaves `address` unchanged, unless the text is an IPv4
// address and a port above zero.
bool parseAddress(std::string_view text, Address &address);
std::string formatAddress(const Address &address);

} // namespace Tanagerbay::Common

template <>
struct std::hash<Tanagerbay::Common::Address>
{
    std::size_t operator()(const Tanagerbay::Common::Address &address) const noexcept
    {
        return std::hash<std::string>()(address.ip) * 31 + address.port;
    }
};
