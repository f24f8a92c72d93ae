// HTTP messages as plain types, independent of the HTTP library.
#pragma once

#include "Common/Address.h"

#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace Tanagerbay::Http {

template <typename T>
using Awaitable = boost::asio::awaitable<T>;

struct Header
{
    std::string name;
    std::string value;
};

struct Headers
{
    std::vector<Header> fields;

    // Returns the value of the first field with the name, ignoring case; empty if absent.
    std::string_view find(std::string_view name) const;
    void add(std::string_view name, std::string_view value);
};

struct Request
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
    // Whether the request came with bytes of a body that were not kept.
    bool isBodyDropped = false;
};

struct Response
{
    unsigned status = 200;
    Headers headers;
    std::string body;
};

using Common::Address;
using Common::formatAddress;
using Common::parseAddress;

// Path of a request target and the query after `?`.
struct Target
{
    std::string_view path;
    std::string_view query;
};
Target splitTarget(std::string_view target);

// Returns the value of a query parameter without percent-decoding; empty if absent.
std::string_view queryValue(std::string_view query, std::string_view name);

// Returns the non-empty segments of a path between slashes.
std::vector<std::string_view> pathSegments(std::string_view path);

Response jsonResponse(unsigned status, std::string body);

} // namespace Tanagerbay::Http
