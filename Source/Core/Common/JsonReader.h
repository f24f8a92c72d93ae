// Strict reading of JSON objects that collects every validation error with the path of its key.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

namespace Tanagerbay::Common {

struct JsonFault
{
    // Path of the key, such as `pools[2].endpoints[0].address`.
    std::string path;
    std::string message;
};

using JsonFaults = std::vector<JsonFault>;

// Returns one line per fault, each with its path and message.
std::string describeFaults(const JsonFaults &faults);

// Parses a JSON text. On failure adds a fault with an empty path and returns nullopt.
std::optional<boost::json::value> parseJson(std::string_view text, JsonFaults &faults);

// Reads the members of one object. A member that no reader function asked for is a fault.
class ObjectReader
{
public:
    ObjectReader(const boost::json::value &value, std::string path, JsonFaults &faults);

    // The scalar readers return the fallback if the member is missing. A member of the wrong type
    // or outside the range adds a fault and also yields the fallback. Without a fallback the member
    // is required: a missing member adds a fault, and an empty string, the minimum or false is
    // returned.
    std::string text(std::string_view key, std::optional<std::string> fallback = std::nullopt);
    std::int64_t integer(std::string_view key, std::int64_t minimum, std::int64_t maximum,
                         std::optional<std::int64_t> fallback = std::nullopt);
    double number(std::string_view key, double minimum, double maximum,
                  std::optional<double> fallback = std::nullopt);
    bool flag(std::string_view key, std::optional<bool> fallback = std::nullopt);
    std::vector<std::string> textArray(std::string_view key, bool required);
    // Returns an array member, or an empty array if it is missing or not an array.
    const boost::json::array &array(std::string_view key, bool required);
    // Returns a member of any type, or nullptr if it is missing.
    const boost::json::value *member(std::string_view key);
    void fault(std::string_view key, std::string message);
    std::string pathOf(std::string_view key) const;
    std::string pathOf(std::string_view key, std::size_t index) const;
    // Adds a fault for each member that no reader function asked for. Must be called last.
    void finish();

private:
    const boost::json::value *find(std::string_view key, bool required);

    const boost::json::object *object = nullptr;
    std::string path;
    JsonFaults &faults;
    std::set<std::string, std::less<>> readKeys;
};

} // namespace Tanagerbay::Common
