#include "Common/Address.h"

#include <charconv>

#include <arpa/inet.h>

namespace Tanagerbay::Common {

bool parseAddress(std::string_view text, Address &address)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    const std::string ip(text.substr(0, colon));
    in_addr parsedIp = {};
    if (::inet_pton(AF_INET, ip.c_str(), &parsedIp) != 1)
        return false;
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size() || port == 0)
        return false;
    address = {ip, port};
    return true;
}

std::string formatAddress(const Address &address)
{
    return address.ip + ":" + std::to_string(address.port);
}

} // namespace Tanagerbay::Common
